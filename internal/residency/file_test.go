package residency

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A version stays in force over a restart: an older one does not come back, an unusable one still refuses, and after a state
// file that can't be read nothing is permitted to any tenant.
func TestVersionsSurviveRestart(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	start := func() (*Holder, error) {
		h := NewHolder(zones, time.Minute, true, discardLog, SaveFunc(dir))
		return h, h.Load(dir)
	}
	h, err := start()
	if err != nil {
		t.Fatal(err)
	}
	for v, permitted := range []string{`"riga"`, `"kurzeme"`} {
		if err := h.Apply(int64(v+1), policyText(v+1, permitted, "serve")); err != nil {
			t.Fatal(err)
		}
	}
	if h, err = start(); err != nil {
		t.Fatal(err)
	}
	assertPermitted(t, h, "post", "update", "liepaja")
	if h.Apply(1, policyText(1, `"riga"`, "serve")) == nil {
		t.Error("an older version is applied after a restart")
	}
	if h.Apply(3, "version = 3\nhalf") == nil {
		t.Error("half a policy is applied without an error")
	}
	if h, err = start(); err != nil {
		t.Fatal(err)
	}
	assertPermitted(t, h, "post", "update")
	if h.Apply(2, policyText(2, `"kurzeme"`, "serve")) == nil {
		t.Error("the version before an unusable one is applied after a restart")
	}
	if err := os.WriteFile(filepath.Join(dir, stateFileName), []byte(`{"format":9`), 0o600); err != nil {
		t.Fatal(err)
	}
	if h, err = start(); err == nil || !strings.Contains(err.Error(), stateFileName) {
		t.Errorf("the state file is cut off: %v", err)
	}
	assertPermitted(t, h, "someone", "update")
}

// A watched file is applied whenever it changes; one that can't be used, or is gone, changes nothing.
func TestWatchAppliesEachUsableChangeOfTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "policy.toml")
	writeFile := func(s string) {
		t.Helper()
		if err := os.WriteFile(file+".new", []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	h := NewHolder(zones, time.Minute, true, discardLog, nil)
	writeFile(policyText(1, `"riga"`, "serve"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); h.Watch(ctx, file, discardLog) }()
	defer func() { cancel(); <-done }()
	awaitVersion := func(v int64) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); h.State().Version != v; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("version %d, want %d", h.State().Version, v)
			}
		}
	}
	awaitVersion(1)
	writeFile("version = 7\nhalf")
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	writeFile(policyText(2, `"kurzeme"`, "serve"))
	awaitVersion(2)
	assertPermitted(t, h, "post", "update", "liepaja")
}
