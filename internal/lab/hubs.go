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

// hubAddr returns the fleet address on which hub n listens. hubLink returns the address at which others reach the hub.
func (l *Lab) hubAddr(n int) string { return fmt.Sprintf("%s:%d", l.block.hubAddr(n), fleetPort) }
func (l *Lab) hubLink(n int) string { return fmt.Sprintf("%s:%d", l.block.hubLinkAddr(n), fleetPort) }

// isSource reports whether a hub is a source of the policy and of settings.
func (h *hub) isSource() bool { return h.number < h.lab.Scenario.Shared.Sources }

func (h *hub) policyFile() string   { return filepath.Join(h.dir, "policy.toml") }
func (h *hub) settingsFile() string { return filepath.Join(h.dir, "settings.toml") }

// start writes the configuration and starts the process. Without keep, it first deletes the hub's state directory. Lab.mu is
// held.
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

// tomlWriter writes the configuration of a hub.
type tomlWriter struct{ strings.Builder }

func (w *tomlWriter) table(name string) { w.WriteString("[" + name + "]\n") }

func (w *tomlWriter) set(key string, value any) {
	text, _ := json.Marshal(value) // strings, numbers and lists of them have the same form in JSON and TOML
	fmt.Fprintf(w, "%s = %s\n", key, text)
}

// config returns the TOML configuration of the process, in the form of docs/hub.md.
func (h *hub) config(stateDir string) string {
	l, shared := h.lab, &h.lab.Scenario.Shared
	w := &tomlWriter{}
	w.set("name", h.name)
	w.set("zone", l.Scenario.Fleet.Zones[l.zone(endpointOf(netfault.Hub, h.number))])
	w.set("label", l.label())
	w.set("listen", l.hubAddr(h.number))
	w.set("advertise", l.hubLink(h.number))
	w.set("seeds", h.seeds())
	w.set("most", len(l.agents))
	w.set("matrix", shared.LatencyMatrix)
	if shared.RelayedLists {
		w.set("discovery", l.discovery.addr(len(l.agents)+h.number))
	}
	w.set("list_rate", l.Scenario.Discovery.Rate)
	w.set("trace", filepath.Join(h.dir, traceName))
	h.writeZones(w)
	h.writeDocuments(w, stateDir)
	w.table("max_age")
	for kind, bound := range entryAgeBounds {
		w.set(kind, bound.String())
	}
	return w.String()
}

// seeds returns the fleet addresses of the other hubs.
func (h *hub) seeds() []string {
	seeds := []string{}
	for _, other := range h.lab.hubs {
		if other != h {
			seeds = append(seeds, h.lab.hubLink(other.number))
		}
	}
	return seeds
}

// writeZones writes the zones, with their regions if the scenario has regions.
func (h *hub) writeZones(w *tomlWriter) {
	fleet := &h.lab.Scenario.Fleet
	if len(fleet.Regions) == 0 {
		w.set("zones", fleet.Zones)
		return
	}
	w.table("zones")
	for i, zone := range fleet.Zones {
		w.set(strconv.Quote(zone), fleet.Regions[i])
	}
}

// writeDocuments writes the source files and the state files of the settings and of the residency policy.
func (h *hub) writeDocuments(w *tomlWriter, stateDir string) {
	shared := &h.lab.Scenario.Shared
	w.table("settings")
	if shared.Settings != "" && h.isSource() {
		w.set("file", h.settingsFile())
	}
	w.set("state", filepath.Join(stateDir, "settings"))
	if shared.Policy == "" {
		return
	}
	w.table("residency")
	if h.isSource() {
		w.set("file", h.policyFile())
	}
	w.set("state", filepath.Join(stateDir, "residency"))
	w.set("bound", shared.PolicyBound.Duration().String())
}

// awaitReady waits until the hub answers on its fleet address.
func (h *hub) awaitReady(ctx context.Context, ended <-chan struct{}) error {
	return awaitOK(ctx, ended, "http://"+h.lab.hubAddr(h.number)+"/fleet/settings")
}

// HubsReport holds the resources that the hubs used.
type HubsReport struct {
	Hubs int `json:"hubs"`
	Usage
	Busiest float64 `json:"cpu_s_busiest"`
	Bytes   float64 `json:"bytes_per_s_per_hub"` // sent and received
}

// hubsReport returns the resources that the hubs used, or nil if the run has no hubs. Lab.mu is held.
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
