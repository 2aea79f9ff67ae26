package overhead

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"martenbeam/internal/agent/discovery"
)

// ListService is a list service: the whole list first, then each change, and an empty line while there is none.
type ListService struct {
	Addr string

	server  *http.Server
	serving sync.WaitGroup

	mu        sync.Mutex
	endpoints []discovery.Endpoint
	updates   []discovery.EndpointList // version v is tells[v-firstVersion-1]
	changed   chan struct{}            // closed at each change
	closed    bool
	draining  int // the backend that drains; below 0: none
}

const (
	firstVersion      = 41
	heartbeatInterval = 2 * time.Second
	zoneName          = "a"
	kindName          = "k" // an agent ends with its first call where its backends are of no kind that it knows
)

// NewListService starts a service that tells of the backends at these addresses.
func NewListService(addrs []string) (*ListService, error) {
	service := &ListService{changed: make(chan struct{}), draining: -1}
	for i, addr := range addrs {
		service.endpoints = append(service.endpoints, discovery.Endpoint{ID: fmt.Sprintf("b-%04d", i), Addr: addr, Zone: zoneName, Kind: kindName, Cell: i / 4, State: "ready", Weight: 1})
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	service.Addr = ln.Addr().String()
	service.server = &http.Server{Handler: http.HandlerFunc(service.serveWatch), ErrorLog: log.New(io.Discard, "", 0)}
	service.serving.Go(func() { _ = service.server.Serve(ln) }) // ends with Close
	return service, nil
}

// Close ends the service.
func (s *ListService) Close() {
	s.mu.Lock()
	s.closed = true
	s.notifyWatchers()
	s.mu.Unlock()
	s.server.Close()
	s.serving.Wait()
}

func (s *ListService) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ChangeList has one backend drain and the one that drained before be ready again, and returns when it was told: as the two
// entries alone, or as the whole list.
func (s *ListService) ChangeList(full bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := discovery.EndpointList{Version: firstVersion + int64(len(s.updates)) + 1, Full: full}
	previous := s.draining
	s.draining = (s.draining + 1) % len(s.endpoints)
	for i, state := range map[int]string{previous: "ready", s.draining: "draining"} {
		if i >= 0 {
			s.endpoints[i].State = state
			update.Endpoints = append(update.Endpoints, s.endpoints[i])
		}
	}
	if full {
		update.Endpoints = append([]discovery.Endpoint(nil), s.endpoints...)
	}
	s.updates = append(s.updates, update)
	s.notifyWatchers()
	return sinceBase()
}

func (s *ListService) serveWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	sentVersion, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64) // absent or odd: the whole list
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return
		}
		latest := firstVersion + int64(len(s.updates))
		var updates []discovery.EndpointList
		if sentVersion < firstVersion || sentVersion > latest {
			updates = []discovery.EndpointList{{Version: latest, Full: true, Endpoints: append([]discovery.Endpoint{}, s.endpoints...)}}
		} else {
			updates = s.updates[sentVersion-firstVersion:]
		}
		changed := s.changed
		s.mu.Unlock()
		text := []byte("\n")
		for _, update := range updates {
			line, err := json.Marshal(update)
			if err != nil {
				panic(err) // it holds nothing that can't be written
			}
			text = append(append(text, line...), '\n')
		}
		if _, err := w.Write(text); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		sentVersion = latest
		if !waitForChange(r.Context(), changed) {
			return
		}
	}
}

// waitForChange waits for a change or until an empty line is due, and reports false once ctx has ended.
func waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-heartbeat.C:
	case <-changed:
	}
	return true
}
