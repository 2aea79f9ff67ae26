package discovery

import (
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"martenbeam/balancer"
)

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
