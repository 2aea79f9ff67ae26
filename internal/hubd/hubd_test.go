package hubd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/config"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
)

const patience = 30 * time.Second

// TestMain has what hubs keep beside the temporary files go with the tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hubd-")
	if err == nil {
		err = os.Setenv("TMPDIR", dir)
	}
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // a temporary folder: what is left does no harm
	os.Exit(code)
}

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

type logged struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logged) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

func start(t *testing.T, text string) (*Hub, *logged) {
	t.Helper()
	cfg, err := config.ParseHub("x.toml", "listen = \"127.0.0.1:0\"\nlabel = \""+t.Name()+"\"\n"+text)
	if err != nil {
		t.Fatal(err)
	}
	l := &logged{}
	h, err := New(cfg, "test", slog.New(slog.NewTextHandler(l, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := h.Run(ctx); err != nil {
			t.Log(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return h, l
}

// Settings given to one hub come to the next and are kept there; a wrong text goes no further than the hub that it is given to,
// and a lower version nowhere.
func TestSettingsFile(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file, state := filepath.Join(dir, "all.toml"), filepath.Join(dir, "state")
	give := func(text string) {
		if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	give("version = 3\n[attempts]\nmost = 4\n")
	one, log := start(t, "name = \"one\"\n[settings]\nfile = \""+file+"\"\n")
	two, _ := start(t, "name = \"two\"\nseeds = [\""+one.Addr()+"\"]\n[settings]\nstate = \""+state+"\"\n")
	has := func(v int64) func() bool { return func() bool { return two.settings.State().Version == v } }
	waitFor(t, "the settings", has(3))
	give("version = 4\n[attempts]\nmost = 400\n")
	waitFor(t, "that a wrong text is not used", func() bool { return log.has("attempts.most") })
	if v := one.settings.State().Version; v != 3 {
		t.Errorf("version %d in force", v)
	}
	give("version = 2\n")
	give("version = 5\n[attempts]\nmost = 3\n")
	waitFor(t, "the next settings", has(5))
	if log.has("version=2 ") && one.settings.State().Version == 2 {
		t.Error("a lower version is in force")
	}
	again, _ := start(t, "name = \"three\"\n[settings]\nstate = \""+state+"\"\n")
	if v := again.settings.State().Version; v != 5 {
		t.Errorf("version %d was kept", v)
	}
	for _, w := range two.fleet.Facts().Now(gossip.Settings) {
		if s, ok := documents.ParseStanding(w.Body); !ok || s.Version > 5 {
			t.Errorf("told: %+v", s)
		}
	}
}

// A hub follows the list service and passes its lists on; one without a service has none to pass on.
func TestListsPassThrough(t *testing.T) {
	t.Parallel()
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		for q.Context().Err() == nil {
			fmt.Fprintln(w, `{"version":7,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:9","zone":"a","state":"ready"}]}`)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-q.Context().Done():
			case <-time.After(time.Second):
			}
		}
	}))
	t.Cleanup(service.Close)
	with, _ := start(t, "name = \"with\"\ndiscovery = \""+service.Listener.Addr().String()+"\"\n")
	without, _ := start(t, "name = \"without\"\nseeds = [\""+with.Addr()+"\"]\n")
	ask := func(h *Hub) (version int64) {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Addr()+"/catalog/members?follow=1&since=0", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var m struct{ Version int64 }
		_ = json.NewDecoder(bufio.NewReader(resp.Body)).Decode(&m) // a refusal is none
		return m.Version
	}
	if v := ask(with); v != 7 {
		t.Errorf("version %d", v)
	}
	if v := ask(without); v != 0 {
		t.Errorf("version %d from a hub without a service", v)
	}
}
