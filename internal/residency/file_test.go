package residency

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A version stays in force across a restart: an older version does not return, and an unusable one still refuses restricted
// tenants. If the state file can't be read, no tenant is permitted any zone.
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
		t.Error("older version applied after a restart")
	}
	if h.Apply(3, "version = 3\nhalf") == nil {
		t.Error("invalid policy applied without an error")
	}
	if h, err = start(); err != nil {
		t.Fatal(err)
	}
	assertPermitted(t, h, "post", "update")
	if h.Apply(2, policyText(2, `"kurzeme"`, "serve")) == nil {
		t.Error("the version before an unusable one applied after a restart")
	}
	if err := os.WriteFile(filepath.Join(dir, stateFileName), []byte(`{"format":9`), 0o600); err != nil {
		t.Fatal(err)
	}
	if h, err = start(); err == nil || !strings.Contains(err.Error(), stateFileName) {
		t.Errorf("truncated state file: error %v, want one that names the file", err)
	}
	assertPermitted(t, h, "someone", "update")
}

// A watched file is applied whenever it changes. An unusable or removed file changes nothing.
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
