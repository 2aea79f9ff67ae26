package hubclient

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/hub"
)

// realHub runs a hub as it is, and returns its address and what ends it.
func realHub(t *testing.T, name string, seeds ...string) (addr string, end func()) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	s := hub.New(hub.Config{Name: name, Label: t.Name(), Incarnation: uint64(time.Now().UnixMilli()), Most: 10, Log: log})
	f, err := fleet.New(fleet.Config{Name: name, Site: name, Listen: "127.0.0.1:0", Seeds: seeds, Label: t.Name(), Most: 10, ListRate: 50, Hub: true, Calls: s, Log: log},
		[]string{"a", "b"}, fleet.Told{})
	if err != nil {
		t.Fatal(err)
	}
	return f.Addr(), run(t, func(ctx context.Context) error {
		var tasks sync.WaitGroup
		defer tasks.Wait()
		tasks.Go(func() { s.Run(ctx, f) })
		_ = f.Run(ctx) // on a busy machine nobody may hear its goodbye in time
		return nil
	})
}

// Two agents at two hubs as they are: one agent says goodbye, and the other has its share of that part. Its hub ends: it goes to
// the other.
func TestWithHubsAsTheyAre(t *testing.T) {
	t.Parallel()
	a, endA := realHub(t, "a")
	b, _ := realHub(t, "b", a)
	at := func(name, site string) *agent {
		return newAgent(t, func(c *Config) {
			c.Name, c.Site, c.Label, c.Hubs = name, site, t.Name(), []Hub{{"a", "r", a}, {"b", "r", b}}
		})
	}
	x, y := at("x", "a"), at("y", "b")
	await(t, "the stream to a", x.at("a"))
	await(t, "the stream to b", y.at("b"))
	await(t, "a census of both", func() bool { return x.Known().Census.Attached == 2 && y.Known().Census.Attached == 2 })
	await(t, "an even part", x.has(1./10))
	y.end()
	await(t, "its share of the other's part", x.has(1./9))
	endA()
	await(t, "the stream to b", x.at("b"))
}
