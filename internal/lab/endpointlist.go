package lab

// The endpoint list that discovery sends to a caller.

import (
	"slices"
	"time"
)

// endpointList is the list of backends in discovery's JSON form.
type endpointList struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

type endpoint struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// endpointChange is a published change of a backend.
type endpointChange struct {
	host        *host
	state       string
	started     time.Duration // negative: long before the run
	publishedAt time.Duration
}

// propagationDelay returns the time from the publication of a change until a caller can receive it.
func (d *fakeDiscovery) propagationDelay(caller int) time.Duration {
	r := d.lab.rng.Of("spread", caller)
	return time.Duration((16 + 80*r.Float64()) * float64(time.Millisecond))
}

// visible returns the version that a caller can receive at a time, and the time at which the caller can receive the next
// version. This time is negative if no later version has been published.
func (d *fakeDiscovery) visible(caller int, now time.Duration) (version int64, next time.Duration) {
	delay := d.propagationDelay(caller)
	for i, c := range d.changes {
		if c.publishedAt+delay > now {
			return d.baseVersion + int64(i), c.publishedAt + delay
		}
	}
	return d.baseVersion + int64(len(d.changes)), -1
}

// list returns the changes between two versions, or the full list.
func (d *fakeDiscovery) list(caller int, from, to int64, full bool) endpointList {
	m := endpointList{Version: to, Full: full, Servers: []endpoint{}}
	indexByID := map[string]int{}
	for _, c := range d.changes[from-d.baseVersion : to-d.baseVersion] {
		spec := &c.host.machine.Spec
		s := endpoint{ID: spec.ID, Addr: c.host.addr(caller), Zone: d.lab.Scenario.Fleet.Zones[spec.Zone],
			Kind: machineKinds[spec.Kind].name, Cell: spec.Cell, State: c.state, Weight: spec.Weight}
		if c.started >= 0 {
			s.Started = d.lab.wallTime(c.started).UnixMilli()
		}
		if i, known := indexByID[s.ID]; known {
			m.Servers[i] = s
		} else {
			indexByID[s.ID] = len(m.Servers)
			m.Servers = append(m.Servers, s)
		}
	}
	if full {
		m.Servers = slices.DeleteFunc(m.Servers, func(s endpoint) bool { return s.State == "gone" })
	}
	return m
}

// addr returns the address of the backend for an agent. Each agent has a separate address, by which the network identifies the
// agent. If agents relay lists to each other, all agents use the same address.
func (h *host) addr(agent int) string {
	if h.lab.Scenario.Shared.RelayedLists || agent >= len(h.gates) { // hubs send nothing to backends
		agent = 0
	}
	return h.gates[agent].Addr().String()
}

// cachedList returns the list for the configuration of an agent that starts, and reports it to the checker as delivered. Lab.mu
// is held.
func (d *fakeDiscovery) cachedList(a *agent, now time.Duration) endpointList {
	v, _ := d.visible(a.number, now)
	switch d.lab.Scenario.Discovery.CachedList {
	case "none":
		return endpointList{Servers: []endpoint{}}
	case "first": // the list at the start of the run
		v = d.baseVersion
		for _, c := range d.changes {
			if c.publishedAt < 0 {
				v++
			}
		}
	}
	m := d.list(a.number, d.baseVersion, v, true)
	d.notify(a.number, d.baseVersion, v, now)
	return m
}
