package main

// Fake backends and fake discovery services.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fakeBackend is a backend that counts requests and responds to each with its path.
type fakeBackend struct {
	addr         string
	requestCount atomic.Int64
	requestIDs   sync.Map      // values of X-Trace-Id
	latency      time.Duration // of each response; set before the first request
}

func newFakeBackend(t *testing.T) *fakeBackend {
	t.Helper()
	b := &fakeBackend{}
	b.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		b.requestCount.Add(1)
		b.requestIDs.Store(r.Header.Get("X-Trace-Id"), nil)
		select {
		case <-time.After(b.latency):
		case <-r.Context().Done():
		}
		fmt.Fprint(w, r.URL.Path)
	})
	return b
}

// serveHTTP starts a server on a free port of 127.0.0.1 and returns its address. The server is closed when the test ends.
func serveHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

// endpoint is one entry of an endpoint list.
type endpoint struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// fakeDiscovery is a discovery service that pushes complete endpoint lists.
type fakeDiscovery struct {
	addr    string
	mu      sync.Mutex
	list    []endpoint
	version int
	changed chan struct{} // closed when the next list is published
}

// newFakeDiscovery starts a discovery service that first sends the given endpoints as version 1.
func newFakeDiscovery(t *testing.T, endpoints ...endpoint) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{list: endpoints, version: 1, changed: make(chan struct{})}
	d.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		for {
			d.mu.Lock()
			list, version, changed := d.list, d.version, d.changed
			d.mu.Unlock()
			_ = json.NewEncoder(w).Encode(map[string]any{"version": version, "full": true, "servers": list})
			_ = http.NewResponseController(w).Flush()
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
	})
	return d
}

// newEndpoint returns an endpoint in zone a with a state such as ready or draining.
func newEndpoint(id, addr, state string) endpoint {
	return endpoint{ID: id, Addr: addr, Zone: "a", Kind: "m", State: state, Weight: 1}
}

// readyEndpoint returns the endpoint of a backend in the state ready.
func readyEndpoint(id string, b *fakeBackend) endpoint { return newEndpoint(id, b.addr, "ready") }

// publish replaces the list and pushes the new list to all open watches.
func (d *fakeDiscovery) publish(list ...endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.version = list, d.version+1
	close(d.changed)
	d.changed = make(chan struct{})
}
