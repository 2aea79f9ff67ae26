// A cluster for tests: hubs in separate processes, agents in the test process, and a monitor of both.

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

// clusterAgent is a running Client with its documents. It serves no requests.
type clusterAgent struct {
	*Client
	monitor  *monitor
	settings *settings.Holder
	policy   *residency.Holder
	cancel   context.CancelFunc
	done     chan struct{} // closed when Run has returned
}

// cluster is a fleet of agents and hub processes that the monitor observes, with one hub in each of up to four zones,
// a to d. Zones a and b form one region, c and d another. The hub of the n-th zone has the IP address 127.2.0.n, and
// agent i of the zone, counted from 0, has 127.1.n.(i+1).
type cluster struct {
	t                      *testing.T
	monitor                *monitor
	maxAgents              int
	hubs                   map[string]*hubProcess
	stateDir               string        // directory of the agents' stored settings, kept over restarts
	untraced               bool          // hubs and agents write no trace for the monitor
	preferredCheckInterval time.Duration // interval at which agents at other hubs try their preferred hub; 0: the default
	singleRegion           bool          // all zones are in one region
}

// newCluster starts the hubs of zones.
func newCluster(t *testing.T, maxAgents int, untraced bool, zones ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, monitor: newMonitor(), maxAgents: maxAgents, hubs: map[string]*hubProcess{},
		stateDir: t.TempDir(), untraced: untraced}
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

// startHub starts the hub process of a zone. The hub joins all other hubs.
func (c *cluster) startHub(zone, port string) {
	c.t.Helper()
	spec := hubSpec{Name: "hub " + zone, Site: zone, Listen: hubIP(zone) + ":" + port, MaxAgents: c.maxAgents,
		Untraced: c.untraced, Source: zone == "c"}
	for other, h := range c.hubs {
		if other != zone {
			spec.Seeds = append(spec.Seeds, h.addr)
		}
	}
	c.hubs[zone] = startHubProcess(c.t, c.monitor, spec)
}

// restartHub starts the hub of a zone again at its former address.
func (c *cluster) restartHub(zone string) {
	c.t.Helper()
	_, port, _ := strings.Cut(c.hubs[zone].addr, ":")
	c.startHub(zone, port)
}

// startAgent runs agent i of a zone, with the settings that an earlier agent of the same name stored.
func (c *cluster) startAgent(zone string, i int, name string) *clusterAgent {
	c.t.Helper()
	log := slog.New(slog.DiscardHandler)
	dir := c.stateDir + "/" + strings.ReplaceAll(name, " ", "-")
	a := &clusterAgent{monitor: c.monitor, done: make(chan struct{}),
		settings: settings.NewHolder(settings.Config{Save: settings.SaveFunc(dir), Log: log}),
		policy:   residency.NewHolder([]string{"a", "b", "c", "d"}, time.Minute, false, log, nil)}
	if err := a.settings.Load(dir); err != nil {
		c.t.Fatal(err)
	}
	cfg := Config{Name: name, Site: zone, Region: c.region(zone), Listen: agentIP(zone, i) + ":0", Label: c.t.Name(),
		MaxAgents: c.maxAgents, Settings: a.settings, Residency: a.policy, Log: log}
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

// startAgents runs the first count agents of a zone.
func (c *cluster) startAgents(zone string, count int) (list []*clusterAgent) {
	c.t.Helper()
	for i := range count {
		list = append(list, c.startAgent(zone, i, fmt.Sprint(zone, " ", i)))
	}
	return list
}

// kill ends an agent without a Leave frame. It closes the agent's connection first, as the kernel does when a process
// is killed.
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

// allOf returns a condition for waitFor: holds returns true for the status of every agent. attachedTo, hasSettings and
// hasQuota return functions to pass as holds. Each letter of attachedTo's zones is a zone.
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

// settingsText returns settings of a version. Different values of maxAttempts give different texts of that version.
func settingsText(version int, maxAttempts int) string {
	return fmt.Sprintf("version = %d\n[attempts]\nmost = %d\n", version, maxAttempts)
}

// policyText returns a residency policy of a version.
func policyText(version int) string {
	return fmt.Sprintf("version = %d\n[regions]\nr = [\"a\", \"b\"]\n[others]\npermitted = [\"*\"]\n", version)
}

// waitWithin waits until a condition holds, and fails the test if this takes longer than limit, counted from since.
func waitWithin(t *testing.T, condition string, limit time.Duration, since time.Time, holds func() bool) {
	t.Helper()
	waitFor(t, condition, holds)
	if took := time.Since(since); took > limit {
		t.Errorf("%s: took %v, want %v at most", condition, took, limit)
	} else {
		t.Logf("%s: took %v", condition, took)
	}
}
