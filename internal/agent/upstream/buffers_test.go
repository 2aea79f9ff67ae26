package upstream

import (
	"testing"

	"martenbeam/internal/agent/membudget"
)

// TestBufferSizeFollowsBudget: buffers beyond the budget are small, and a released buffer can be allocated again.
func TestBufferSizeFollowsBudget(t *testing.T) {
	buffers := &Buffers{membudget.New(32 << 20)}
	var releases []func()
	for range membudget.Size(32<<20) / 100 * 60 / streamBufferSize {
		buf, release := buffers.Get()
		if len(buf) != streamBufferSize {
			t.Fatalf("buffer of %d bytes within the budget, want %d", len(buf), streamBufferSize)
		}
		releases = append(releases, release)
	}
	if buf, release := buffers.Get(); len(buf) != minBufferSize {
		t.Errorf("buffer of %d bytes beyond the budget, want %d", len(buf), minBufferSize)
	} else {
		release()
	}
	releases[0]()
	if buf, _ := buffers.Get(); len(buf) != streamBufferSize {
		t.Errorf("buffer of %d bytes after a release, want %d", len(buf), streamBufferSize)
	}
}
