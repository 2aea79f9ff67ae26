package callway

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

// Lists is a list service: the whole list first, then each change, and an empty line while there is none.
type Lists struct {
	Addr string

	server  *http.Server
	serving sync.WaitGroup

	mu      sync.Mutex
	members []discovery.Endpoint
	tells   []discovery.EndpointList // version v is tells[v-firstVersion-1]
	changed chan struct{}            // closed at each change
	closed  bool
	out     int // the backend that drains; below 0: none
}

const (
	firstVersion = 41
	emptyEvery   = 2 * time.Second
	zoneName     = "a"
	kindName     = "k" // an agent ends with its first call where its backends are of no kind that it knows
)

// NewLists starts a service that tells of the backends at these addresses.
func NewLists(addrs []string) (*Lists, error) {
	l := &Lists{changed: make(chan struct{}), out: -1}
	for i, addr := range addrs {
		l.members = append(l.members, discovery.Endpoint{ID: fmt.Sprintf("b-%04d", i), Addr: addr, Zone: zoneName, Kind: kindName, Cell: i / 4, State: "ready", Weight: 1})
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.Addr = ln.Addr().String()
	l.server = &http.Server{Handler: http.HandlerFunc(l.tell), ErrorLog: log.New(io.Discard, "", 0)}
	l.serving.Go(func() { _ = l.server.Serve(ln) }) // ends with Close
	return l, nil
}

// Close ends the service.
func (l *Lists) Close() {
	l.mu.Lock()
	l.closed = true
	l.stir()
	l.mu.Unlock()
	l.server.Close()
	l.serving.Wait()
}

func (l *Lists) stir() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Change has one backend drain and the one that drained before be ready again, and returns when it was told: as the two
// entries alone, or as the whole list.
func (l *Lists) Change(whole bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := discovery.EndpointList{Version: firstVersion + int64(len(l.tells)) + 1, Full: whole}
	was := l.out
	l.out = (l.out + 1) % len(l.members)
	for i, state := range map[int]string{was: "ready", l.out: "draining"} {
		if i >= 0 {
			l.members[i].State = state
			m.Endpoints = append(m.Endpoints, l.members[i])
		}
	}
	if whole {
		m.Endpoints = append([]discovery.Endpoint(nil), l.members...)
	}
	l.tells = append(l.tells, m)
	l.stir()
	return since()
}

func (l *Lists) tell(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	told, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64) // absent or odd: the whole list
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return
		}
		latest := firstVersion + int64(len(l.tells))
		var tell []discovery.EndpointList
		if told < firstVersion || told > latest {
			tell = []discovery.EndpointList{{Version: latest, Full: true, Endpoints: append([]discovery.Endpoint{}, l.members...)}}
		} else {
			tell = l.tells[told-firstVersion:]
		}
		changed := l.changed
		l.mu.Unlock()
		text := []byte("\n")
		for _, m := range tell {
			line, err := json.Marshal(m)
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
		told = latest
		if !wait(r.Context(), changed) {
			return
		}
	}
}

// wait waits for a change or until an empty line is due, and reports false once ctx has ended.
func wait(ctx context.Context, changed <-chan struct{}) bool {
	due := time.NewTimer(emptyEvery)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-due.C:
	case <-changed:
	}
	return true
}
