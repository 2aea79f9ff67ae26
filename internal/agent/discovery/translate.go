package discovery

// This file translates lists into the types of package balancer, the decision module.

import (
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"martenbeam/balancer"
)

// Update is a list of discovery, or a failure to get one, in the decision module's types.
type Update struct {
	Endpoints balancer.EndpointUpdate
	Addrs     map[string]string // host:port by id, of each backend in Endpoints that is not removed
}

// backendStates maps Endpoint.State to the decision module's states.
var backendStates = map[string]balancer.BackendState{
	"ready":    balancer.Up,
	"draining": balancer.Draining,
	"gone":     balancer.Removed,
}

// Translator translates lists. It keeps the start times of backends and is not safe for concurrent use: a Watcher's
// translator is used by Restore and then by Run only.
type Translator struct {
	Zones, Kinds []string                      // the names, by the decision module's indexes
	AgentTime    func(time.Time) time.Duration // converts a time to the agent's clock
	Log          *slog.Logger

	startTimes startTimes
}

// Translate translates a list into an update of the given kind. Entries without an id, with an unknown state or with an
// invalid address are logged and left out; the others are used. A start time that is new for its backend counts as now
// if it is more than maxAge ago; maxAge 0: no bound.
func (t *Translator) Translate(list *EndpointList, kind balancer.UpdateKind, maxAge time.Duration) Update {
	update := Update{Endpoints: balancer.EndpointUpdate{Kind: kind}, Addrs: map[string]string{}}
	for _, endpoint := range list.Endpoints {
		state, ok := backendStates[endpoint.State]
		if !ok || endpoint.ID == "" {
			t.Log.Warn("endpoint rejected", "id", endpoint.ID, "state", endpoint.State)
			continue
		}
		if state != balancer.Removed {
			if _, err := netip.ParseAddrPort(endpoint.Addr); err != nil {
				t.Log.Warn("endpoint rejected", "id", endpoint.ID, "error", err)
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
