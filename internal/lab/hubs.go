package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"martenbeam/internal/lab/netfault"
)

// hub is the process of a hub.
type hub struct {
	process
	number int
}

func newHub(l *Lab, n int) *hub {
	name := "hub" + strconv.Itoa(n)
	h := &hub{number: n}
	h.process = process{lab: l, role: h, kind: "hub", name: name, dir: filepath.Join(l.Dir, name), readyAt: -1}
	return h
}

func (h *hub) onReady(time.Duration)                 {}
func (h *hub) onKilled(time.Duration)                {}
func (h *hub) onPaused(time.Duration, time.Duration) {}
func (h *hub) onExit(time.Duration)                  {}

func (l *Lab) hubProcesses() (list []*process) {
	for _, h := range l.hubs {
		list = append(list, &h.process)
	}
	return list
}

// hubAddr returns the fleet address of a hub's process, and hubLinkAddr the one at which others reach it.
func (l *Lab) hubAddr(n int) string { return fmt.Sprintf("%s:%d", l.block.hubAddr(n), fleetPort) }
func (l *Lab) hubLink(n int) string { return fmt.Sprintf("%s:%d", l.block.hubLinkAddr(n), fleetPort) }

// isSource reports whether a hub is a source of the policy and of settings.
func (h *hub) isSource() bool { return h.number < h.lab.Scenario.Shared.Sources }

func (h *hub) policyFile() string   { return filepath.Join(h.dir, "policy.toml") }
func (h *hub) settingsFile() string { return filepath.Join(h.dir, "settings.toml") }

// start starts the process. Its state survives a restart unless the restart is to be empty. Lab.mu is held.
func (h *hub) start(_ time.Duration, keep bool) error {
	l := h.lab
	h.starts++
	state := filepath.Join(h.dir, "state")
	if !keep {
		if err := os.RemoveAll(state); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(state, 0o755); err != nil {
		return err
	}
	file := filepath.Join(h.dir, "hub.toml")
	if err := os.WriteFile(file, []byte(h.config(state)), 0o644); err != nil {
		return err
	}
	return h.launch(append(append([]string(nil), l.Hub...), "--config", file), append([]string{"TMPDIR=" + state}, l.Env...))
}

// config returns the TOML configuration of the process, in the form of docs/hub.md.
func (h *hub) config(state string) string {
	l, s := h.lab, &h.lab.Scenario.Shared
	var b strings.Builder
	line := func(key string, value any) {
		text, _ := json.Marshal(value) // JSON and TOML write names, numbers and lists of them alike
		fmt.Fprintf(&b, "%s = %s\n", key, text)
	}
	zones := l.Scenario.Fleet.Zones
	line("name", h.name)
	line("zone", zones[l.zone(endpointOf(netfault.Hub, h.number))])
	line("label", l.label())
	line("listen", l.hubAddr(h.number))
	line("advertise", l.hubLink(h.number))
	var seeds []string
	for _, other := range l.hubs {
		if other != h {
			seeds = append(seeds, l.hubLink(other.number))
		}
	}
	line("seeds", append([]string{}, seeds...))
	line("most", len(l.agents))
	line("matrix", s.LatencyMatrix)
	if s.RelayedLists {
		line("discovery", l.discovery.addr(len(l.agents)+h.number))
	}
	line("list_rate", l.Scenario.Discovery.Rate)
	line("trace", filepath.Join(h.dir, traceName))
	if regions := l.Scenario.Fleet.Regions; len(regions) > 0 {
		b.WriteString("[zones]\n")
		for i, zone := range zones {
			line(strconv.Quote(zone), regions[i])
		}
	} else {
		line("zones", zones)
	}
	b.WriteString("[settings]\n")
	if s.Settings != "" && h.isSource() {
		line("file", h.settingsFile())
	}
	line("state", filepath.Join(state, "settings"))
	if s.Policy != "" {
		b.WriteString("[residency]\n")
		if h.isSource() {
			line("file", h.policyFile())
		}
		line("state", filepath.Join(state, "residency"))
		line("bound", s.PolicyBound.Duration().String())
	}
	b.WriteString("[max_age]\n")
	for kind, d := range factBounds {
		line(kind, d.String())
	}
	return b.String()
}

// awaitReady waits until the hub answers on its fleet address.
func (h *hub) awaitReady(ctx context.Context, ended <-chan struct{}) error {
	return awaitOK(ctx, ended, "http://"+h.lab.hubAddr(h.number)+"/fleet/settings")
}

// HubsReport holds the resources used by all hubs together.
type HubsReport struct {
	Hubs int `json:"hubs"`
	Usage
	Busiest float64 `json:"cpu_s_busiest"`
	Bytes   float64 `json:"bytes_per_s_per_hub"` // sent and received
}

// hubsReport returns nil where there are no hubs. Lab.mu is held.
func (l *Lab) hubsReport() *HubsReport {
	if len(l.hubs) == 0 {
		return nil
	}
	r := &HubsReport{Hubs: len(l.hubs)}
	for _, h := range l.hubs {
		u := &h.usage
		r.RSS, r.FDs, r.CPU, r.Busiest = max(r.RSS, u.RSS), max(r.FDs, u.FDs), r.CPU+u.CPU, max(r.Busiest, u.CPU)
	}
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	r.Bytes = float64(l.fleet.hubBytes) / max(1, l.now().Seconds()) / float64(len(l.hubs))
	return r
}
