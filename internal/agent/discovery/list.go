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

// EndpointList is a list of backends, or what has changed of it, as discovery writes it.
type EndpointList struct {
	Version   int64      `json:"version"`
	Full      bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is one backend of a list.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"started_ms"` // Unix time; 0: long ago
}

var errNoEndpoints = errors.New("a value that names no servers")

// Update is one message of discovery in the module's terms, with the addresses that go with it.
type Update struct {
	Endpoints balancer.EndpointUpdate
	Addrs     map[string]string // by id; gone backends have none
}

var backendStates = map[string]balancer.BackendState{"ready": balancer.Up, "draining": balancer.Draining, "gone": balancer.Removed}

// Translator puts lists into the module's terms.
type Translator struct {
	Zones, Kinds []string
	AgentTime    func(time.Time) time.Duration // the agent's clock
	Log          *slog.Logger

	startTimes startTimes
}

// Translate translates a list. An entry that makes no sense is left out and logged: the others still count. What the list tells
// anew has happened within a span; 0: that is not known.
func (t *Translator) Translate(list *EndpointList, kind balancer.UpdateKind, maxAge time.Duration) Update {
	update := Update{Endpoints: balancer.EndpointUpdate{Kind: kind}, Addrs: map[string]string{}}
	for _, endpoint := range list.Endpoints {
		state, ok := backendStates[endpoint.State]
		if !ok || endpoint.ID == "" {
			t.Log.Warn("list entry left out", "id", endpoint.ID, "state", endpoint.State)
			continue
		}
		if state != balancer.Removed {
			if _, err := netip.ParseAddrPort(endpoint.Addr); err != nil {
				t.Log.Warn("list entry left out", "id", endpoint.ID, "error", err)
				continue
			}
			update.Addrs[endpoint.ID] = endpoint.Addr
		}
		backend := balancer.Backend{ID: endpoint.ID, State: state, Zone: slices.Index(t.Zones, endpoint.Zone),
			Kind: slices.Index(t.Kinds, endpoint.Kind), Cell: endpoint.Cell, Weight: endpoint.Weight}
		if state != balancer.Removed {
			backend.Started = t.startTimes.resolve(endpoint.ID, endpoint.StartedAt, t.readClocks, maxAge)
		}
		update.Endpoints.Backends = append(update.Endpoints.Backends, backend)
	}
	if kind != balancer.UpdateDelta {
		t.startTimes.evictUnlisted(update.Addrs)
	}
	return update
}

// endpointSet is the list as told by now.
type endpointSet map[string]Endpoint

// merge takes m in.
func (s *endpointSet) merge(list *EndpointList, complete bool) {
	if complete || *s == nil {
		*s = endpointSet{}
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.State == "gone" {
			delete(*s, endpoint.ID)
		} else {
			(*s)[endpoint.ID] = endpoint
		}
	}
}

func (s endpointSet) list(version int64) *EndpointList {
	list := &EndpointList{Version: version, Full: true}
	for _, id := range slices.Sorted(maps.Keys(s)) {
		list.Endpoints = append(list.Endpoints, s[id])
	}
	return list
}
