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

// waitTimeout is how long a test waits for a condition: far longer than any condition takes.
const waitTimeout = 30 * time.Second

// TestMain redirects the files that hubs store in the temporary directory into a directory that it removes after the
// tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hubd-")
	if err == nil {
		err = os.Setenv("TMPDIR", dir)
	}
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // leftover files in a temporary directory do no harm
	os.Exit(code)
}

// waitFor waits until condition returns true, and fails the test after waitTimeout. what describes the condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %v", what, waitTimeout)
		}
	}
}

// logBuffer stores the log of a hub. Its methods may be called from any goroutine.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

// startHub runs a hub until the test ends. The hub's configuration is toml, with a listening address and a label added.
func startHub(t *testing.T, toml string) (*Hub, *logBuffer) {
	t.Helper()
	cfg, err := config.ParseHub("x.toml", "listen = \"127.0.0.1:0\"\nlabel = \""+t.Name()+"\"\n"+toml)
	if err != nil {
		t.Fatal(err)
	}
	logs := &logBuffer{}
	h, err := New(cfg, "test", slog.New(slog.NewTextHandler(logs, nil)))
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
	return h, logs
}

// A hub receives and stores the settings from another hub's file. The hub that reads invalid settings from its
// file rejects them and does not pass them on, and no hub applies a lower version.
func TestSettingsFileReachesOtherHubs(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file, state := filepath.Join(dir, "all.toml"), filepath.Join(dir, "state")
	writeSettings := func(text string) {
		if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	writeSettings("version = 3\n[attempts]\nmost = 4\n")
	source, log := startHub(t, "name = \"one\"\n[settings]\nfile = \""+file+"\"\n")
	replica, _ := startHub(t, "name = \"two\"\nseeds = [\""+source.Addr()+"\"]\n[settings]\nstate = \""+state+"\"\n")
	hasVersion := func(v int64) func() bool { return func() bool { return replica.settings.State().Version == v } }
	waitFor(t, "first settings", hasVersion(3))
	writeSettings("version = 4\n[attempts]\nmost = 400\n")
	waitFor(t, "rejection of invalid settings", func() bool { return log.contains("attempts.most") })
	if v := source.settings.State().Version; v != 3 {
		t.Errorf("settings version %d is applied, want 3", v)
	}
	writeSettings("version = 2\n")
	writeSettings("version = 5\n[attempts]\nmost = 3\n")
	waitFor(t, "next settings", hasVersion(5))
	if log.contains("version=2 ") && source.settings.State().Version == 2 {
		t.Error("settings version 2 is applied after version 3, want it rejected")
	}
	restarted, _ := startHub(t, "name = \"three\"\n[settings]\nstate = \""+state+"\"\n")
	if v := restarted.settings.State().Version; v != 5 {
		t.Errorf("settings version %d was stored, want 5", v)
	}
	for _, entry := range replica.fleet.Gossip().Entries(gossip.SettingsVersion) {
		if applied, ok := documents.ParseAppliedVersion(entry.Body); !ok || applied.Version > 5 {
			t.Errorf("published settings version %+v, want at most 5", applied)
		}
	}
}

// A hub with a list service relays the endpoint list; a hub without a list service relays none.
func TestEndpointListIsRelayed(t *testing.T) {
	t.Parallel()
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			fmt.Fprintln(w, `{"version":7,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:9","zone":"a","state":"ready"}]}`)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		}
	}))
	t.Cleanup(service.Close)
	withService, _ := startHub(t, "name = \"with\"\ndiscovery = \""+service.Listener.Addr().String()+"\"\n")
	withoutService, _ := startHub(t, "name = \"without\"\nseeds = [\""+withService.Addr()+"\"]\n")
	relayedVersion := func(h *Hub) (version int64) {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
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
		_ = json.NewDecoder(bufio.NewReader(resp.Body)).Decode(&m) // an error response has no version
		return m.Version
	}
	if v := relayedVersion(withService); v != 7 {
		t.Errorf("relayed list version %d, want 7", v)
	}
	if v := relayedVersion(withoutService); v != 0 {
		t.Errorf("list version %d from a hub without a list service, want none", v)
	}
}
