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

func text(version, most int) string {
	return fmt.Sprintf("version = %d\n[attempts]\nmost = %d\n", version, most)
}

func put(t *testing.T, file, text string) {
	t.Helper()
	if err := errors.Join(os.WriteFile(file+".w", []byte(text), 0o600), os.Rename(file+".w", file)); err != nil {
		t.Fatal(err)
	}
}

func want(t *testing.T, h *Holder, text, why string) {
	t.Helper()
	st := h.Standing()
	if digest := Digest(text); text != "" && st.Digest != digest || text == "" && st != (Standing{Why: st.Why}) {
		t.Errorf("%+v is in force, want %q", st, text)
	}
	if why == "" && st.Why != "" || !strings.Contains(st.Why, why) || len(st.Why) > mostWhy {
		t.Errorf("told %q, want %q", st.Why, why)
	}
}

// A version never goes back, also over restarts; of two texts under one version the same stands before and after.
func TestVersionsOutliveTheProcess(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	begin := func(check func(*Settings) error) *Holder {
		h := NewHolder(Config{Check: check, Keep: Keep(dir)})
		if err := h.Load(dir); err != nil {
			t.Fatal(err)
		}
		return h
	}
	first, other := text(2, 6), text(2, 7)
	h := begin(nil)
	for _, x := range []string{text(1, 5), first} {
		if err := h.Take(0, x); err != nil {
			t.Fatal(err)
		}
	}
	if !h.Wants(2, Digest(other)) || h.Take(2, other) == nil || h.Wants(2, Digest(other)) {
		t.Error("a second text under a version is taken, or asked for twice")
	}
	for range 2 {
		want(t, h, first, "2 texts have version 2")
		if h.Take(1, text(1, 5)) == nil || h.Wants(1, "") || h.Take(2, first) != nil || h.Take(2, other) == nil {
			t.Error("an older version, or another text, is taken")
		}
		if _, got, ok := h.Text(Digest(other)); !ok || got != other {
			t.Error("what others must hear of is not to be had")
		}
		h = begin(nil)
	}
	// The agent's own file has changed: nothing kept can be used, and still nothing older is.
	h = begin(func(*Settings) error { return errors.New("not over this file") })
	want(t, h, "", "not over this file")
	if err := h.Take(1, text(1, 5)); !errors.Is(err, errOld) {
		t.Errorf("an older version: %v", err)
	}
	h = begin(nil)
	if err := h.Take(3, text(3, 5)); err != nil {
		t.Error(err)
	}
	want(t, h, text(3, 5), "")
}

// What was kept and can't be read is an error, and the next text is taken.
func TestKeptFileIsBroken(t *testing.T) {
	for _, data := range []string{"", "{", `{"format":9,"version":3}`, `{"format":1,"version":0}`, "version = 3"} {
		dir := t.TempDir()
		put(t, filepath.Join(dir, keptName), data)
		h := NewHolder(Config{Keep: Keep(dir)})
		if err := h.Load(dir); err == nil || !strings.Contains(err.Error(), keptName) {
			t.Errorf("%q: %v", data, err)
		}
		if err := h.Take(1, text(1, 5)); err != nil {
			t.Error(err)
		}
		want(t, h, text(1, 5), "")
	}
}

// A text is checked before it counts, and kept before it is applied; who waits hears of it.
func TestCheckedBeforeItCounts(t *testing.T) {
	var order []string
	full := false
	h := NewHolder(Config{
		Check: func(s *Settings) error { order = append(order, "check"); return nil },
		Apply: func(s *Settings) ([]string, error) { order = append(order, "apply"); return []string{"k"}, nil },
		Keep: func(v int64, texts []string) error {
			order = append(order, "keep")
			if full {
				return errors.New("no space")
			}
			return nil
		}})
	changed := h.Changed()
	if err := h.Take(1, text(1, 5)); err != nil || !slices.Equal(order, []string{"check", "keep", "apply"}) {
		t.Error(err, order)
	}
	<-changed
	if st := h.State(); st.Version != 1 || !slices.Equal(st.Later, []string{"k"}) {
		t.Errorf("%+v", st)
	}
	for _, bad := range []string{text(2, 99), text(3, 5), "version = 2\n\"" + strings.Repeat("ü", 300) + "\" = 1"} {
		if h.Take(2, bad) == nil || h.Wants(2, Digest(bad)) {
			t.Errorf("%.40q is taken, or asked for again", bad)
		}
		want(t, h, text(1, 5), "not taken: settings, version 2")
	}
	if len(order) != 3 {
		t.Errorf("a text that can't be read gets to %v", order[3:])
	}
	full = true
	if err := h.Take(2, text(2, 5)); err != nil {
		t.Error(err)
	}
	want(t, h, text(2, 5), "not kept over a restart: no space")
}

// A file is followed; what can't be used changes nothing, and is told with file, line and key.
func TestFileIsFollowed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	h := NewHolder(Config{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	changed := h.Changed()
	put(t, file, text(1, 5))
	go func() { defer close(done); h.Follow(ctx, file, h.cfg.Log) }()
	defer func() { cancel(); <-done }()
	next := func() {
		t.Helper()
		select {
		case <-changed:
		case <-time.After(30 * time.Second):
			t.Fatal("nothing changes")
		}
		changed = h.Changed()
	}
	next()
	want(t, h, text(1, 5), "")
	put(t, file, text(2, 99))
	next()
	want(t, h, text(1, 5), file+":3: attempts.most: 99 is not between 1 and 20")
	put(t, file, text(1, 5)) // as it was
	next()
	want(t, h, text(1, 5), "")
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	put(t, file, text(2, 6))
	next()
	want(t, h, text(2, 6), "")
}

// Settings go over the agent's own file; discovery moves at once, and the rest waits for the next start.
func TestAgent(t *testing.T) {
	own := filepath.Join(t.TempDir(), "agent.toml")
	put(t, own, "discovery = \"127.0.0.1:1\"\n[attempts]\nmost = 4\n[[class]]\nname = \"get\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n")
	var moved []string
	a := NewAgent(own, func(to string) { moved = append(moved, to) })
	h := NewHolder(Config{Check: a.Check, Apply: a.Apply})
	take := func(text string, later ...string) {
		t.Helper()
		if err := h.Take(0, text); err != nil {
			t.Error(err)
		}
		if st := h.State(); !slices.Equal(st.Later, later) {
			t.Errorf("%q: %q wait, want %q", text, st.Later, later)
		}
	}
	take(text(1, 5)) // before the start: nothing waits
	if c, err := a.Read(); err != nil || c.Attempts.Most != 5 {
		t.Fatal(c, err)
	}
	class := "[[class]]\nname = \"get\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"3s\"\n"
	take("version = 2\ndiscovery = \"127.0.0.1:2\"\nprices = {cross_zone = 0.5}\n"+class, "attempts.most", "prices.cross_zone", "class[0].deadline")
	take("version = 3\ndiscovery = \"127.0.0.1:2\"\n[attempts]\nmost = 5\n"+class+class, "class")
	take(text(4, 5))
	if !slices.Equal(moved, []string{"127.0.0.1:2", "127.0.0.1:1"}) {
		t.Errorf("discovery moved to %q", moved)
	}
	put(t, own, "discovery = \"no\"\n")
	if h.Take(0, text(5, 5)) == nil {
		t.Error("taken over a file that can't be read")
	}
	want(t, h, text(4, 5), own+":1: discovery")
}
