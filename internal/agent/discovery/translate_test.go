package discovery

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"martenbeam/balancer"
)

// Entries without an id, or with an invalid address or state, are left out. Start times are converted to the agent's
// clock.
func TestTranslateLeavesOutInvalidEntries(t *testing.T) {
	base := time.UnixMilli(1e12)
	translator := Translator{Zones: []string{"a"}, Kinds: []string{"k"}, Log: slog.New(slog.DiscardHandler),
		AgentTime: func(at time.Time) time.Duration { return at.Sub(base) + time.Hour }}
	update := translator.Translate(&EndpointList{Endpoints: []Endpoint{
		{ID: "new", Addr: "127.0.0.1:9", State: "ready", Zone: "a", Kind: "k", Cell: 3, Weight: 2,
			StartedAt: base.Add(-3 * time.Second).UnixMilli()},
		{ID: "no start time", Addr: "127.0.0.1:9", State: "ready"},
		{ID: "bad address", Addr: "no-port", State: "ready"},
		{ID: "", Addr: "127.0.0.1:9", State: "ready"},
		{ID: "bad state", Addr: "127.0.0.1:9", State: "unknown"},
		{ID: "removed", State: "gone"},
	}}, balancer.UpdateFull, 0)
	want := []balancer.Backend{
		{ID: "new", Cell: 3, Weight: 2, Started: time.Hour - 3*time.Second},
		{ID: "no start time", Zone: -1, Kind: -1},
		{ID: "removed", State: balancer.Removed, Zone: -1, Kind: -1}}
	if !slices.Equal(update.Endpoints.Backends, want) || len(update.Addrs) != 2 {
		t.Errorf("backends %+v, addresses %v; want backends %+v and 2 addresses", update.Endpoints.Backends, update.Addrs, want)
	}
}
