package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/scenario"
)

// fakeDiscovery is a stand-in for the platform's: it learns late, and each agent's copy hears a little later.
type fakeDiscovery struct {
	lab            *Lab
	servers        []*http.Server
	gates          []*gate
	changes        []endpointChange // version v is changes[v-base-1]
	baseVersion    int64
	silent         bool
	unavailable    bool
	disruptedUntil time.Duration // when it was last not itself
	epoch          int           // counts restarts
	listService    listServiceQueue
	changed        chan struct{} // closed at each change
}

const (
	firstVersion      = 41
	heartbeatInterval = 2 * time.Second
)

func newDiscovery(l *Lab) (*fakeDiscovery, error) {
	d := &fakeDiscovery{lab: l, baseVersion: firstVersion, changed: make(chan struct{}), disruptedUntil: -1}
	for _, h := range l.hosts {
		d.changes = append(d.changes, endpointChange{host: h, state: "ready", started: h.machine.StartedAt, learnedAt: -time.Hour})
	}
	for n := range l.agents {
		if err := d.listen(l.block.linkAddr(n), endpointOf(netfault.Agent, n), n); err != nil {
			return nil, err
		}
	}
	for n := range l.hubs {
		if err := d.listen(l.block.hubLinkAddr(n), endpointOf(netfault.Hub, n), len(l.agents)+n); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// listen opens the copy of a caller, which has a number among all of them.
func (d *fakeDiscovery) listen(ip string, caller netfault.Endpoint, n int) error {
	g, err := newGate(ip, func(c net.Conn) net.Conn { return c })
	if err != nil {
		return err
	}
	s := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.serveList(w, r, caller, n)
	})}
	d.gates, d.servers = append(d.gates, g), append(d.servers, s)
	d.lab.running.Go(func() { _ = s.Serve(g) }) // ends with close
	return nil
}

// moveAgent has an agent's copy answer at another address from now on. The old one takes no new connection, and closes its open
// ones after a while. The lab's lock is held.
func (d *fakeDiscovery) moveAgent(n int, now time.Duration) error {
	gate, server := d.gates[n], d.servers[n]
	if err := d.listen(d.lab.block.linkAddr(n), endpointOf(netfault.Agent, n), n); err != nil {
		return err
	}
	last := len(d.gates) - 1
	d.gates[n], d.servers[n] = d.gates[last], d.servers[last]
	d.gates[last], d.servers[last] = gate, server // closed with the lab in any case
	d.lab.running.Go(func() { gate.Close() })
	d.lab.scheduleAt(now+oldAddressGrace, func(time.Duration) { d.lab.running.Go(func() { server.Close() }) })
	return nil
}

const (
	oldAddressGrace = 1500 * time.Millisecond
	reloadDeadline  = 4 * time.Second // what the new address has to tell counts as told by then
	minReloadAge    = time.Second     // of a process's life, without a SIGHUP
)

// notifyAfterReload counts as told what a copy had at a time, but for what has changed since.
func (d *fakeDiscovery) notifyAfterReload(n int, upTo int64, now time.Duration) {
	latest := map[*host]int{}
	for i, c := range d.changes {
		latest[c.host] = i
	}
	for i, c := range d.changes[:min(int(upTo-d.baseVersion), len(d.changes))] {
		if latest[c.host] == i {
			d.lab.check.Notify(now, n, c.host.machine.ID, c.state != "ready", c.started)
		}
	}
}

func (d *fakeDiscovery) addr(caller int) string { return d.gates[caller].Addr().String() }

func (d *fakeDiscovery) close() {
	for i := range d.servers {
		d.gates[i].Close()
		d.servers[i].Close()
	}
}

// learn has discovery learn of a change after its time. The lab's lock is held.
func (d *fakeDiscovery) learn(now time.Duration, h *host, state string, late scenario.Range) {
	l := d.lab
	l.lastSeq++
	r := l.rng.Of("notice/"+h.machine.ID, int(l.lastSeq))
	started := h.machine.StartedAt
	h.lastChange = l.lastSeq
	seq := l.lastSeq
	l.scheduleAt(now+seconds(late[0]+(late[1]-late[0])*r.Float64()), func(t time.Duration) {
		if h.lastChange != seq {
			return // a machine that fell silent and came back before this was known: there is nothing left to tell
		}
		d.changes = append(d.changes, endpointChange{host: h, state: state, started: started, learnedAt: t})
		d.wakeWatches()
		l.scheduleAt(now+propagationDeadline, func(t time.Duration) {
			if h.lastChange == seq {
				d.notifyAtDeadline(now, h, state, started)
			}
		})
	})
}

// notifyAtDeadline counts a change as told once the time is over in which it should have been, where nothing was in
// the way.
func (d *fakeDiscovery) notifyAtDeadline(happened time.Duration, h *host, state string, started time.Duration) {
	if d.disruptedUntil >= happened {
		return
	}
	for _, a := range d.lab.agents {
		if a.up && a.readyAt <= happened {
			d.lab.check.Notify(d.lab.now(), a.number, h.machine.ID, state != "ready", started)
		}
	}
}

// wakeWatches wakes those who wait for a change. The lab's lock is held.
func (d *fakeDiscovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// notify tells the checker what is written to an agent; a hub has nothing to send to backends.
func (d *fakeDiscovery) notify(n int, from, to int64, now time.Duration) {
	if n >= len(d.lab.agents) {
		return
	}
	for _, c := range d.changes[from-d.baseVersion : to-d.baseVersion] {
		d.lab.check.Notify(now, n, c.host.machine.ID, c.state != "ready", c.started)
	}
}

// serveList answers one caller's call.
func (d *fakeDiscovery) serveList(w http.ResponseWriter, r *http.Request, caller netfault.Endpoint, n int) {
	l := d.lab
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	l.mu.Lock()
	away := d.unavailable
	l.mu.Unlock()
	if away {
		http.Error(w, "overbooked", http.StatusServiceUnavailable)
		return
	}
	follow := r.URL.Query().Get("follow") == "1"
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64) // absent or odd: the whole list
	if !follow {
		since = 0
	}
	if !d.awaitTurn(w, r, since == 0) {
		return
	}
	epoch := -1
	for {
		l.mu.Lock()
		now := l.now()
		silent := d.silent || l.network.Fault(endpointOf(netfault.Discovery, n), caller, netfault.TCP).Cut
		if epoch == -1 && !silent {
			epoch = d.epoch
		}
		ended := epoch != -1 && epoch != d.epoch || l.closing
		v, next := d.visible(n, now)
		var line []byte
		if !silent && !ended && (v != since || since == 0) {
			full := since < d.baseVersion || since > v
			from := since
			if full {
				from = d.baseVersion
			}
			line, _ = json.Marshal(d.list(n, from, v, full)) // it holds nothing that can't be written
			if l.Scenario.Discovery.Indented {
				var text bytes.Buffer
				_ = json.Indent(&text, line, " ", "\t") // it is what was just written
				line = text.Bytes()
			}
			d.listService.bytes += len(line)
			d.notify(n, from, v, now)
			since = v
		}
		changed := d.changed
		l.mu.Unlock()
		switch {
		case ended:
			panic(http.ErrAbortHandler)
		case line != nil:
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
		}
		if !follow && !silent {
			return
		}
		if !silent {
			if line == nil {
				if _, err := io.WriteString(w, "\n"); err != nil {
					return
				}
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
		wait := heartbeatInterval
		if next >= 0 {
			wait = min(wait, max(time.Millisecond, next-now))
		}
		if !waitFor(r.Context(), wait, changed) {
			return
		}
	}
}

// waitFor waits for a time or a change, and reports false once ctx has ended.
func waitFor(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-changed:
	}
	return true
}

// rewind starts discovery again from an old version: what came later it learns once more. The lab's lock is held.
func (d *fakeDiscovery) rewind(now time.Duration) {
	first := len(d.lab.hosts)
	for i, c := range d.changes {
		if c.learnedAt >= 0 {
			first = i
			break
		}
	}
	if first >= len(d.changes) {
		first = len(d.changes)
	}
	later := slices.Clone(d.changes[first:])
	d.changes = d.changes[:first]
	d.baseVersion -= 10 // it counts anew from below
	d.epoch++
	d.disruptedUntil = now
	for _, c := range later {
		d.learn(now, c.host, c.state, d.lab.Scenario.Discovery.AddDelaySeconds)
	}
	d.wakeWatches()
}
