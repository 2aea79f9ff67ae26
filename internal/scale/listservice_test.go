package scale

// A fake list service, which streams an endpoint list and its changes.

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/agent/discovery"
)

// fakeListService streams the endpoint list and its changes, and an empty line as a heartbeat.
type fakeListService struct {
	addr   string
	server *http.Server

	mu       sync.Mutex
	version  int64
	changed  chan struct{}
	requests int
}

// startListService starts the service, which ends with the test.
func startListService(t testing.TB) *fakeListService {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeListService{addr: ln.Addr().String(), version: firstListVersion, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.server.Serve(ln) }) // ends with Close
	t.Cleanup(func() {
		s.server.Close()
		serving.Wait()
	})
	return s
}

// endpointAt returns endpoint i of the list.
func endpointAt(i int) discovery.Endpoint {
	return discovery.Endpoint{ID: fmt.Sprintf("s-%08x", i*2654435761), Addr: fmt.Sprintf("127.0.0.1:%d", 20000+i),
		Zone: zones[i%len(zones)], State: "ready", Weight: 4}
}

// change changes the weight of one backend, and returns the list's new version and the time of the change.
func (s *fakeListService) change() (version int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, time.Now()
}

// ServeHTTP streams the list to one agent until the agent disconnects.
func (s *fakeListService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sentVersion, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64) // no parameter: 0, for the complete list
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		version, changed := s.version, s.changed
		s.mu.Unlock()
		line := []byte{}
		if sentVersion != version {
			update := discovery.EndpointList{Version: version, Full: sentVersion < firstListVersion}
			if update.Full {
				for i := range numBackends {
					update.Endpoints = append(update.Endpoints, endpointAt(i))
				}
			} else {
				for v := sentVersion; v < version; v++ {
					endpoint := endpointAt(int(v % numBackends))
					endpoint.Weight = float64(1 + v%8)
					update.Endpoints = append(update.Endpoints, endpoint)
				}
			}
			line, _ = json.Marshal(update) // an endpoint list always encodes
			sentVersion = version
		}
		if _, err := w.Write(append(line, '\n')); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		heartbeat := time.NewTimer(heartbeatInterval)
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-r.Context().Done():
			heartbeat.Stop()
			return
		}
		heartbeat.Stop()
	}
}

const (
	numBackends       = 100
	firstListVersion  = 41
	heartbeatInterval = 2 * time.Second
	numSeeds          = 3
)
