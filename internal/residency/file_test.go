package residency

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A version that was in force stays so over a restart: an older one does not come back, one that could not be read still
// refuses, and what can't be read of it permits nothing to anyone.
func TestVersionsOutliveTheProcess(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	begin := func() (*Holder, error) {
		h := NewHolder(zones, time.Minute, true, silent, Keep(dir))
		return h, h.Load(dir)
	}
	h, err := begin()
	if err != nil {
		t.Fatal(err)
	}
	for v, permitted := range []string{`"riga"`, `"kurzeme"`} {
		if err := h.Take(int64(v+1), text(v+1, permitted, "serve")); err != nil {
			t.Fatal(err)
		}
	}
	if h, err = begin(); err != nil {
		t.Fatal(err)
	}
	want(t, h, "post", "update", "liepaja")
	if h.Take(1, text(1, `"riga"`, "serve")) == nil {
		t.Error("an older version is taken after a restart")
	}
	if h.Take(3, "version = 3\nhalf") == nil {
		t.Error("half a policy is taken")
	}
	if h, err = begin(); err != nil {
		t.Fatal(err)
	}
	want(t, h, "post", "update")
	if h.Take(2, text(2, `"kurzeme"`, "serve")) == nil {
		t.Error("the version before one that can't be read is taken after a restart")
	}
	if err := os.WriteFile(filepath.Join(dir, keptName), []byte(`{"format":9`), 0o600); err != nil {
		t.Fatal(err)
	}
	if h, err = begin(); err == nil || !strings.Contains(err.Error(), keptName) {
		t.Errorf("what was kept is cut off: %v", err)
	}
	want(t, h, "someone", "update")
}

// The policy's file is followed; one that can't be read, or is gone, changes nothing.
func TestFileIsFollowed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "policy.toml")
	give := func(s string) {
		t.Helper()
		if err := os.WriteFile(file+".new", []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	h := NewHolder(zones, time.Minute, true, silent, nil)
	give(text(1, `"riga"`, "serve"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); h.Follow(ctx, file, silent) }()
	defer func() { cancel(); <-done }()
	version := func(v int64) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); h.State().Version != v; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("version %d, want %d", h.State().Version, v)
			}
		}
	}
	version(1)
	give("version = 7\nhalf")
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	give(text(2, `"kurzeme"`, "serve"))
	version(2)
	want(t, h, "post", "update", "liepaja")
}
