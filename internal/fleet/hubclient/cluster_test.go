// A cluster for tests: hubs as processes of their own, agents in the test process, and a monitor of all.

package hubclient

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
)

// clusterAgent is an agent that is nothing but its place in the fleet.
type clusterAgent struct {
	*Client
	monitor  *monitor
	settings *settings.Holder
	policy   *residency.Holder
	cancel   context.CancelFunc
	done     chan struct{}
}

// cluster is hubs of the zones a, b, c and d, each a process, and agents that are watched. a and b are of one region, c and d of
// another; hub x has the address 127.2.0.x, and agent n 127.1.x.n.
type cluster struct {
	t                      *testing.T
	monitor                *monitor
	maxAgents              int
	hubs                   map[string]*hubProcess
	stateDir               string
	untraced               bool
	preferredCheckInterval time.Duration // how long agents stay elsewhere; 0: as they do
	singleRegion           bool          // all zones are of one region
}

func newCluster(t *testing.T, maxAgents int, untraced bool, zones ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, monitor: newMonitor(), maxAgents: maxAgents, hubs: map[string]*hubProcess{}, stateDir: t.TempDir(), untraced: untraced}
	for _, z := range zones {
		c.startHub(z, "0")
	}
	return c
}

func (c *cluster) region(zone string) string {
	if zone < "c" || c.singleRegion {
		return "r"
	}
	return "q"
}

func hubIP(zone string) string { return fmt.Sprintf("127.2.0.%d", 1+zone[0]-'a') }

func agentIP(zone string, i int) string { return fmt.Sprintf("127.1.%d.%d", 1+zone[0]-'a', 1+i%250) }

func (c *cluster) startHub(zone, port string) {
	c.t.Helper()
	spec := hubSpec{Name: "hub " + zone, Site: zone, Listen: hubIP(zone) + ":" + port, MaxAgents: c.maxAgents, Untraced: c.untraced, Source: zone == "c"}
	for other, h := range c.hubs {
		if other != zone {
			spec.Seeds = append(spec.Seeds, h.addr)
		}
	}
	c.hubs[zone] = startHubProcess(c.t, c.monitor, spec)
}

// restartHub starts a hub's process where it was.
func (c *cluster) restartHub(zone string) {
	c.t.Helper()
	_, port, _ := strings.Cut(c.hubs[zone].addr, ":")
	c.startHub(zone, port)
}

// startAgent starts one of a zone, with what an earlier process of its name has kept.
func (c *cluster) startAgent(zone string, i int, name string) *clusterAgent {
	c.t.Helper()
	log := slog.New(slog.DiscardHandler)
	dir := c.stateDir + "/" + strings.ReplaceAll(name, " ", "-")
	a := &clusterAgent{monitor: c.monitor, done: make(chan struct{}), settings: settings.NewHolder(settings.Config{Save: settings.SaveFunc(dir), Log: log}),
		policy: residency.NewHolder([]string{"a", "b", "c", "d"}, time.Minute, false, log, nil)}
	if err := a.settings.Load(dir); err != nil {
		c.t.Fatal(err)
	}
	cfg := Config{Name: name, Site: zone, Region: c.region(zone), Listen: agentIP(zone, i) + ":0", Label: c.t.Name(), MaxAgents: c.maxAgents, Settings: a.settings, Residency: a.policy, Log: log}
	if !c.untraced {
		cfg.Trace = c.monitor
	}
	for z, h := range c.hubs {
		cfg.Hubs = append(cfg.Hubs, Hub{z, c.region(z), h.addr})
	}
	var err error
	if a.Client, err = New(cfg, []string{"a", "b", "c", "d"}, fleet.Callbacks{}); err != nil {
		c.t.Fatal(err)
	}
	if c.preferredCheckInterval > 0 {
		a.selector.preferredCheckInterval = c.preferredCheckInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	c.monitor.agentStarted(name, a.Status)
	go func() {
		defer close(a.done)
		_ = a.Run(ctx)
	}()
	a.Ready()
	c.t.Cleanup(func() { cancel(); <-a.done })
	return a
}

func (c *cluster) startAgents(zone string, count int) (list []*clusterAgent) {
	c.t.Helper()
	for i := range count {
		list = append(list, c.startAgent(zone, i, fmt.Sprint(zone, " ", i)))
	}
	return list
}

// kill ends an agent without a word: its sockets are closed, as a system does with those of a process that is killed.
func (a *clusterAgent) kill() {
	a.mu.Lock()
	if a.attachment != nil {
		a.attachment.conn.Close()
	}
	a.mu.Unlock()
	a.cancel()
	<-a.done
	a.monitor.agentStopped(a.cfg.Name)
}

func allOf(list []*clusterAgent, holds func(Status) bool) func() bool {
	return func() bool {
		for _, a := range list {
			if !holds(a.Status()) {
				return false
			}
		}
		return true
	}
}

func attachedTo(zones string) func(Status) bool {
	return func(status Status) bool { return status.Hub != "" && strings.Contains(zones, status.Hub[len("hub "):]) }
}

func hasSettings(version int64) func(Status) bool {
	return func(status Status) bool { return status.SettingsVersion == version }
}

func hasQuota(quota float64) func(Status) bool {
	return func(status Status) bool { return status.Quota == quota }
}

func settingsText(version int, most int) string {
	return fmt.Sprintf("version = %d\n[attempts]\nmost = %d\n", version, most)
}

func policyText(version int) string {
	return fmt.Sprintf("version = %d\n[regions]\nr = [\"a\", \"b\"]\n[others]\npermitted = [\"*\"]\n", version)
}

func waitWithin(t *testing.T, condition string, limit time.Duration, since time.Time, holds func() bool) {
	t.Helper()
	waitFor(t, condition, holds)
	if took := time.Since(since); took > limit {
		t.Errorf("%s: after %v, not within %v", condition, took, limit)
	} else {
		t.Logf("%s: after %v", condition, took)
	}
}
