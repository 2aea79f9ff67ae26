package settings

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// settingsText returns a document that sets attempts.most.
func settingsText(version, maxAttempts int) string {
	return fmt.Sprintf("version = %d\n[attempts]\nmost = %d\n", version, maxAttempts)
}

// writeFile replaces a file atomically, as operators do.
func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := errors.Join(os.WriteFile(file+".w", []byte(text), 0o600), os.Rename(file+".w", file)); err != nil {
		t.Fatal(err)
	}
}

// assertInForce checks that text is in force, and that the reported reason contains reason. An empty text or reason means
// none.
func assertInForce(t *testing.T, h *Holder, text, reason string) {
	t.Helper()
	status := h.Status()
	if digest := Digest(text); text != "" && status.Digest != digest || text == "" && status != (Status{Reason: status.Reason}) {
		t.Errorf("%+v is in force, want %q", status, text)
	}
	if reason == "" && status.Reason != "" || !strings.Contains(status.Reason, reason) || len(status.Reason) > maxReasonBytes {
		t.Errorf("reason %q, want one of limited length that contains %q", status.Reason, reason)
	}
}

// Versions only grow, also across restarts. If two documents have one version, the same document is in force before and after
// a restart.
func TestVersionsSurviveRestart(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	start := func(check func(*Settings) error) *Holder {
		h := NewHolder(Config{Check: check, Save: SaveFunc(dir)})
		if err := h.Load(dir); err != nil {
			t.Fatal(err)
		}
		return h
	}
	first, other := settingsText(2, 6), settingsText(2, 7)
	h := start(nil)
	for _, text := range []string{settingsText(1, 5), first} {
		if err := h.Apply(0, text); err != nil {
			t.Fatal(err)
		}
	}
	if !h.ShouldFetch(2, Digest(other)) || h.Apply(2, other) == nil || h.ShouldFetch(2, Digest(other)) {
		t.Error("second document of a version applied, or fetched twice")
	}
	for range 2 {
		assertInForce(t, h, first, "2 texts have version 2")
		if h.Apply(1, settingsText(1, 5)) == nil || h.ShouldFetch(1, "") || h.Apply(2, first) != nil || h.Apply(2, other) == nil {
			t.Error("older version or conflicting document applied")
		}
		if _, got, ok := h.Text(Digest(other)); !ok || got != other {
			t.Error("conflicting document not served")
		}
		h = start(nil)
	}
	// The agent's own file has changed: no saved document is usable, but older ones are still rejected.
	h = start(func(*Settings) error { return errors.New("conflicts with this file") })
	assertInForce(t, h, "", "conflicts with this file")
	if err := h.Apply(1, settingsText(1, 5)); !errors.Is(err, errOutdated) {
		t.Errorf("applying an older version: %v", err)
	}
	h = start(nil)
	if err := h.Apply(3, settingsText(3, 5)); err != nil {
		t.Error(err)
	}
	assertInForce(t, h, settingsText(3, 5), "")
}

// A state file that can't be read is an error, and the next document is applied.
func TestBrokenStateFileIsAnErrorAndNextDocumentIsApplied(t *testing.T) {
	for _, data := range []string{"", "{", `{"format":9,"version":3}`, `{"format":1,"version":0}`, "version = 3"} {
		dir := t.TempDir()
		writeFile(t, filepath.Join(dir, stateFileName), data)
		h := NewHolder(Config{Save: SaveFunc(dir)})
		if err := h.Load(dir); err == nil || !strings.Contains(err.Error(), stateFileName) {
			t.Errorf("%q: %v", data, err)
		}
		if err := h.Apply(1, settingsText(1, 5)); err != nil {
			t.Error(err)
		}
		assertInForce(t, h, settingsText(1, 5), "")
	}
}

// A document is checked, saved and applied in this order, and the channel of Changed is closed.
func TestDocumentIsCheckedAndSavedBeforeItIsApplied(t *testing.T) {
	var order []string
	diskFull := false
	h := NewHolder(Config{
		Check: func(s *Settings) error { order = append(order, "check"); return nil },
		Apply: func(s *Settings) ([]string, error) { order = append(order, "apply"); return []string{"k"}, nil },
		Save: func(v int64, documents []string) error {
			order = append(order, "save")
			if diskFull {
				return errors.New("no space")
			}
			return nil
		}})
	changed := h.Changed()
	if err := h.Apply(1, settingsText(1, 5)); err != nil || !slices.Equal(order, []string{"check", "save", "apply"}) {
		t.Error(err, order)
	}
	<-changed
	if st := h.State(); st.Version != 1 || !slices.Equal(st.PendingRestart, []string{"k"}) {
		t.Errorf("%+v", st)
	}
	for _, bad := range []string{settingsText(2, 99), settingsText(3, 5), "version = 2\n\"" + strings.Repeat("ü", 300) + "\" = 1"} {
		if h.Apply(2, bad) == nil || h.ShouldFetch(2, Digest(bad)) {
			t.Errorf("%.40q applied, or fetched again", bad)
		}
		assertInForce(t, h, settingsText(1, 5), "not taken: settings, version 2")
	}
	if len(order) != 3 {
		t.Errorf("steps run for a document that can't be parsed: %v", order[3:])
	}
	diskFull = true
	if err := h.Apply(2, settingsText(2, 5)); err != nil {
		t.Error(err)
	}
	assertInForce(t, h, settingsText(2, 5), "not kept over a restart: no space")
}

// A watched file is applied whenever it changes. An unusable file changes nothing, and the reported reason names file, line
// and key.
func TestWatchAppliesEachUsableChangeOfTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	h := NewHolder(Config{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	changed := h.Changed()
	writeFile(t, file, settingsText(1, 5))
	go func() { defer close(done); h.Watch(ctx, file, h.cfg.Log) }()
	defer func() { cancel(); <-done }()
	awaitChange := func() {
		t.Helper()
		select {
		case <-changed:
		case <-time.After(30 * time.Second):
			t.Fatal("no change within 30 s")
		}
		changed = h.Changed()
	}
	awaitChange()
	assertInForce(t, h, settingsText(1, 5), "")
	writeFile(t, file, settingsText(2, 99))
	awaitChange()
	assertInForce(t, h, settingsText(1, 5), file+":3: attempts.most: 99 is not between 1 and 20")
	writeFile(t, file, settingsText(1, 5)) // the version in force again
	awaitChange()
	assertInForce(t, h, settingsText(1, 5), "")
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	writeFile(t, file, settingsText(2, 6))
	awaitChange()
	assertInForce(t, h, settingsText(2, 6), "")
}

// Settings override keys of the agent's own file. Discovery changes immediately; the other keys wait for the next start.
func TestDiscoveryAppliesAtOnceAndOtherKeysAwaitRestart(t *testing.T) {
	own := filepath.Join(t.TempDir(), "agent.toml")
	writeFile(t, own, "discovery = \"127.0.0.1:1\"\n[attempts]\nmost = 4\n"+
		"[[class]]\nname = \"get\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n")
	var discoveryChanges []string
	agent := NewAgentConfig(own, func(to string) { discoveryChanges = append(discoveryChanges, to) })
	h := NewHolder(Config{Check: agent.Check, Apply: agent.Apply})
	apply := func(text string, pendingRestart ...string) {
		t.Helper()
		if err := h.Apply(0, text); err != nil {
			t.Error(err)
		}
		if st := h.State(); !slices.Equal(st.PendingRestart, pendingRestart) {
			t.Errorf("%q: keys %q wait for a restart, want %q", text, st.PendingRestart, pendingRestart)
		}
	}
	apply(settingsText(1, 5)) // before the start no key waits
	if c, err := agent.Read(); err != nil || c.Attempts.Max != 5 {
		t.Fatal(c, err)
	}
	class := "[[class]]\nname = \"get\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"3s\"\n"
	apply("version = 2\ndiscovery = \"127.0.0.1:2\"\nprices = {cross_zone = 0.5}\n"+class,
		"attempts.most", "prices.cross_zone", "class[0].deadline")
	apply("version = 3\ndiscovery = \"127.0.0.1:2\"\n[attempts]\nmost = 5\n"+class+class, "class")
	apply(settingsText(4, 5))
	if !slices.Equal(discoveryChanges, []string{"127.0.0.1:2", "127.0.0.1:1"}) {
		t.Errorf("discovery changed to %q", discoveryChanges)
	}
	writeFile(t, own, "discovery = \"no\"\n")
	if h.Apply(0, settingsText(5, 5)) == nil {
		t.Error("settings applied although the agent's file is unusable")
	}
	assertInForce(t, h, settingsText(4, 5), own+":1: discovery")
}
