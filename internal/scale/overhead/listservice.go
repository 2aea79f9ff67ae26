package overhead

// A fake list service that streams an endpoint list and its changes.

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

// ListService is a fake list service. It streams the complete endpoint list, then each change, both after an empty line.
// While nothing changes, it sends an empty line as a heartbeat.
type ListService struct {
	Addr string // host:port

	server  *http.Server
	serving sync.WaitGroup

	mu        sync.Mutex
	endpoints []discovery.Endpoint
	updates   []discovery.EndpointList // version v is updates[v-firstVersion-1]
	changed   chan struct{}            // closed at each change, and replaced
	closed    bool
	draining  int // number of the draining backend; negative: none
}

const (
	firstVersion      = 41
	heartbeatInterval = 2 * time.Second
	zoneName          = "a"
	kindName          = "k" // must be the kind in AgentConfig: an agent without a backend of a configured kind ends at its first call
)

// NewListService starts a service whose list contains the backends at addrs. The caller closes it.
func NewListService(addrs []string) (*ListService, error) {
	service := &ListService{changed: make(chan struct{}), draining: -1}
	for i, addr := range addrs {
		service.endpoints = append(service.endpoints, discovery.Endpoint{
			ID: fmt.Sprintf("b-%04d", i), Addr: addr, Zone: zoneName, Kind: kindName, Cell: i / 4, State: "ready", Weight: 1})
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

// Close ends all streams and the service, and returns when its goroutine has ended.
func (s *ListService) Close() {
	s.mu.Lock()
	s.closed = true
	s.notifyWatchers()
	s.mu.Unlock()
	s.server.Close()
	s.serving.Wait()
}

// notifyWatchers notifies all streams of a change. The caller holds s.mu.
func (s *ListService) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ChangeList sets the next backend to draining and the backend that was draining back to ready. It publishes the two
// entries, or the complete list if full is set, and returns the time of the change since base.
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

// serveWatch streams the list to one agent until the agent disconnects or the service is closed.
func (s *ListService) serveWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	sentVersion, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64) // absent or not a number: the complete list
	for {
		updates, latest, changed := s.updatesSince(sentVersion)
		if changed == nil {
			return
		}
		text := []byte("\n")
		for _, update := range updates {
			line, err := json.Marshal(update)
			if err != nil {
				panic(err) // an endpoint list always encodes
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

// updatesSince returns the updates for an agent that has the given version, the version after these updates, and a channel
// that is closed at the next change. The channel is nil if the service is closed. For an unknown version the update is the
// complete list.
func (s *ListService) updatesSince(version int64) (updates []discovery.EndpointList, latest int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, 0, nil
	}
	latest = firstVersion + int64(len(s.updates))
	if version >= firstVersion && version <= latest {
		return s.updates[version-firstVersion:], latest, s.changed
	}
	complete := discovery.EndpointList{Version: latest, Full: true, Endpoints: append([]discovery.Endpoint{}, s.endpoints...)}
	return []discovery.EndpointList{complete}, latest, s.changed
}

// waitForChange waits for a change or until a heartbeat is due. It returns false if ctx has ended.
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
