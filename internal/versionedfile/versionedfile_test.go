package versionedfile

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestLoadReturnsWhatWasSaved(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made", "by", "save")
	if version, documents, err := Load(dir, "state.json"); version != 0 || documents != nil || err != nil {
		t.Errorf("before the first save: version %d, documents %q, error %v; want none", version, documents, err)
	}
	save := SaveFunc(dir, "state.json")
	for _, want := range []struct {
		version   int64
		documents []string
	}{{3, []string{"a", "b"}}, {4, nil}} {
		if err := save(want.version, want.documents); err != nil {
			t.Fatal(err)
		}
		if version, documents, err := Load(dir, "state.json"); version != want.version || !slices.Equal(documents, want.documents) || err != nil {
			t.Errorf("loaded version %d, documents %q, error %v; want %+v", version, documents, err, want)
		}
	}
}

// Other versions of the program read the stored form, so it must not change.
func TestStoredFormIsStable(t *testing.T) {
	dir := t.TempDir()
	if err := SaveFunc(dir, "state.json")(2, []string{"x"}); err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(filepath.Join(dir, "state.json")); string(data) != `{"format":1,"version":2,"texts":["x"]}` || err != nil {
		t.Errorf("stored %s, error %v; want format 1, version 2 and one text", data, err)
	}
	if digest := Digest("x"); digest != "5c80c09683041123" {
		t.Errorf("digest %s, want 5c80c09683041123", digest)
	}
}

func TestLoadFailsForAnUnusableFile(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "state.json")
	for _, data := range []string{"", "{", `{"format":2,"version":1}`, `{"format":1,"version":0}`} {
		if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Load(dir, "state.json"); err == nil || !strings.HasPrefix(err.Error(), file+": ") {
			t.Errorf("%q: error %v, want one that begins with the file", data, err)
		}
	}
}

func TestWatchReportsEachChangeAndTheRemovalOnce(t *testing.T) {
	file := filepath.Join(t.TempDir(), "document")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	type change struct {
		text string
		err  error
	}
	changes, done := make(chan change), make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, file, func(text string, err error) { changes <- change{text, err} })
	}()
	next := func() change {
		t.Helper()
		select {
		case c := <-changes:
			return c
		case <-time.After(30 * time.Second):
			t.Fatal("no change reported within 30 s")
			return change{}
		}
	}
	for _, text := range []string{"1", "2"} {
		if err := errors.Join(os.WriteFile(file+".new", []byte(text), 0o600), os.Rename(file+".new", file)); err != nil {
			t.Fatal(err)
		}
		if c := next(); c.text != text || c.err != nil {
			t.Errorf("%+v, want %q", c, text)
		}
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if c := next(); c.text != "" || !errors.Is(c.err, fs.ErrNotExist) {
		t.Errorf("%+v after the removal of the file, want no text and ErrNotExist", c)
	}
	select {
	case c := <-changes:
		t.Errorf("%+v reported a second time after the removal", c)
	case <-time.After(3 * pollInterval):
	}
	cancel()
	<-done
}
