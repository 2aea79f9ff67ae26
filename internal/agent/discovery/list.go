// Package discovery follows the list of backends: a stream of JSON values over HTTP, of which each connection is
// one task (watch.go), watched over by one supervisor that alone posts (follow.go).
package discovery

import (
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"time"

	"martenbeam/balancer"
)

// Members is a list of backends, or what has changed of it, as discovery writes it.
type Members struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// Member is one backend of a list.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix time; 0: long ago
}

var errNoList = errors.New("a value that names no servers")

// Update is one message of discovery in the module's terms, with the addresses that go with it.
type Update struct {
	List  balancer.List
	Addrs map[string]string // by id; gone backends have none
}

var states = map[string]balancer.BackendState{"ready": balancer.Up, "draining": balancer.Draining, "gone": balancer.Gone}

// Translator puts lists into the module's terms.
type Translator struct {
	Zones, Kinds []string
	At           func(time.Time) time.Duration // the agent's clock
	Log          *slog.Logger

	starts startTimes
}

// Update translates a list. An entry that makes no sense is left out and logged: the others still count. What the list tells
// anew has happened within a span; 0: that is not known.
func (t *Translator) Update(m *Members, kind balancer.ListKind, within time.Duration) Update {
	u := Update{List: balancer.List{Kind: kind}, Addrs: map[string]string{}}
	for _, s := range m.Servers {
		state, ok := states[s.State]
		if !ok || s.ID == "" {
			t.Log.Warn("list entry left out", "id", s.ID, "state", s.State)
			continue
		}
		if state != balancer.Gone {
			if _, err := netip.ParseAddrPort(s.Addr); err != nil {
				t.Log.Warn("list entry left out", "id", s.ID, "error", err)
				continue
			}
			u.Addrs[s.ID] = s.Addr
		}
		b := balancer.Backend{ID: s.ID, State: state, Zone: slices.Index(t.Zones, s.Zone),
			Kind: slices.Index(t.Kinds, s.Kind), Cell: s.Cell, Weight: s.Weight}
		if state != balancer.Gone {
			b.Started = t.starts.at(s.ID, s.Started, t.clocks, within)
		}
		u.List.Backends = append(u.List.Backends, b)
	}
	if kind != balancer.ListDelta {
		t.starts.forget(u.Addrs)
	}
	return u
}

// whole is the list as told by now.
type whole map[string]Member

// merge takes m in.
func (w *whole) merge(m *Members, full bool) {
	if full || *w == nil {
		*w = whole{}
	}
	for _, s := range m.Servers {
		if s.State == "gone" {
			delete(*w, s.ID)
		} else {
			(*w)[s.ID] = s
		}
	}
}

func (w whole) members(version int64) *Members {
	list := &Members{Version: version, Full: true}
	for _, id := range slices.Sorted(maps.Keys(w)) {
		list.Servers = append(list.Servers, w[id])
	}
	return list
}
