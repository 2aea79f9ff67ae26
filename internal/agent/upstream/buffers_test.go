package upstream

import "testing"

// TestBufferSizeFollowsBudget: beyond the budget buffers are small, and buffers that are given back count again.
func TestBufferSizeFollowsBudget(t *testing.T) {
	buffers := newBuffers(1) // MB
	var releases []func()
	for range 1 << 20 / 8 / streamBufferSize {
		buf, release := buffers.Get()
		if len(buf) != streamBufferSize {
			t.Fatalf("%d bytes within the budget", len(buf))
		}
		releases = append(releases, release)
	}
	if buf, release := buffers.Get(); len(buf) != minBufferSize {
		t.Errorf("%d bytes past the budget", len(buf))
	} else {
		release()
	}
	releases[0]()
	if buf, _ := buffers.Get(); len(buf) != streamBufferSize {
		t.Errorf("%d bytes after one was given back", len(buf))
	}
}
