package upstream

import "testing"

// TestBufferSizeFollowsBudget: beyond the budget buffers are small, and buffers that are given back count again.
func TestBufferSizeFollowsBudget(t *testing.T) {
	b := newBuffers(1) // MB
	var free []func()
	for range 1 << 20 / 8 / streamBufferSize {
		buf, give := b.Get()
		if len(buf) != streamBufferSize {
			t.Fatalf("%d bytes within the budget", len(buf))
		}
		free = append(free, give)
	}
	if buf, give := b.Get(); len(buf) != minBufferSize {
		t.Errorf("%d bytes past the budget", len(buf))
	} else {
		give()
	}
	free[0]()
	if buf, _ := b.Get(); len(buf) != streamBufferSize {
		t.Errorf("%d bytes after one was given back", len(buf))
	}
}
