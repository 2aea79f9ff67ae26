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

// fakeDiscovery emulates the discovery service. It publishes a change after a delay, and each caller receives the change after a
// further propagation delay.
type fakeDiscovery struct {
	lab            *Lab
	servers        []*http.Server
	gates          []*gate
	changes        []endpointChange // version v is changes[v-baseVersion-1]
	baseVersion    int64
	unresponsive   bool
	unavailable    bool
	disruptedUntil time.Duration // end of the latest disruption; negative if there was none
	epoch          int           // number of restarts
	listService    listServiceQueue
	changed        chan struct{} // closed and replaced by updateWatches
}

const (
	firstVersion      = 41
	heartbeatInterval = 2 * time.Second
)

func newDiscovery(l *Lab) (*fakeDiscovery, error) {
	d := &fakeDiscovery{lab: l, baseVersion: firstVersion, changed: make(chan struct{}), disruptedUntil: -1}
	for _, h := range l.hosts {
		d.changes = append(d.changes, endpointChange{host: h, state: "ready", started: h.machine.StartedAt, publishedAt: -time.Hour})
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

// listen opens the listener of a caller. n is the number of the caller among all callers.
func (d *fakeDiscovery) listen(ip string, caller netfault.Endpoint, n int) error {
	g, err := newGate(ip, func(c net.Conn) net.Conn { return c })
	if err != nil {
		return err
	}
	s := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.serveList(w, r, caller, n)
	})}
	d.gates, d.servers = append(d.gates, g), append(d.servers, s)
	d.lab.running.Go(func() { _ = s.Serve(g) }) // returns an error after close
	return nil
}

// moveAgent moves an agent's discovery to another address. The old listener accepts no new connection, and closes open ones
// after oldAddressGrace. Lab.mu is held.
func (d *fakeDiscovery) moveAgent(n int, now time.Duration) error {
	gate, server := d.gates[n], d.servers[n]
	if err := d.listen(d.lab.block.linkAddr(n), endpointOf(netfault.Agent, n), n); err != nil {
		return err
	}
	last := len(d.gates) - 1
	d.gates[n], d.servers[n] = d.gates[last], d.servers[last]
	d.gates[last], d.servers[last] = gate, server // the old ones stay in the lists, so that close closes them
	d.lab.running.Go(func() { gate.Close() })
	d.lab.scheduleAt(now+oldAddressGrace, func(time.Duration) { d.lab.running.Go(func() { server.Close() }) })
	return nil
}

const (
	oldAddressGrace = 1500 * time.Millisecond
	reloadDeadline  = 4 * time.Second // after which the list at the new address counts as delivered
	minReloadAge    = time.Second     // a process that became ready more recently is sent no SIGHUP
)

// notifyAfterReload reports a version of the list to the checker as delivered to agent n. It leaves out backends with a change
// after this version.
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

// publish publishes a change of a backend after a delay drawn from the range delay, in seconds. Lab.mu is held.
func (d *fakeDiscovery) publish(now time.Duration, h *host, state string, delay scenario.Range) {
	l := d.lab
	l.lastSeq++
	r := l.rng.Of("notice/"+h.machine.ID, int(l.lastSeq))
	started := h.machine.StartedAt
	h.lastChange = l.lastSeq
	seq := l.lastSeq
	l.scheduleAt(now+seconds(delay[0]+(delay[1]-delay[0])*r.Float64()), func(t time.Duration) {
		if h.lastChange != seq {
			return // the backend has changed again before this change was published
		}
		d.changes = append(d.changes, endpointChange{host: h, state: state, started: started, publishedAt: t})
		d.updateWatches()
		l.scheduleAt(now+propagationDeadline, func(t time.Duration) {
			if h.lastChange == seq {
				d.notifyAtDeadline(now, h, state, started)
			}
		})
	})
}

// notifyAtDeadline reports a change to the checker as delivered to all agents that are up and were ready at the change. It
// reports nothing if discovery was disrupted at the change or later.
func (d *fakeDiscovery) notifyAtDeadline(changedAt time.Duration, h *host, state string, started time.Duration) {
	if d.disruptedUntil >= changedAt {
		return
	}
	for _, a := range d.lab.agents {
		if a.up && a.readyAt <= changedAt {
			d.lab.check.Notify(d.lab.now(), a.number, h.machine.ID, state != "ready", started)
		}
	}
}

// updateWatches makes all open watches send their next update now. Lab.mu is held.
func (d *fakeDiscovery) updateWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// notify reports to the checker the changes that a caller is sent. It ignores callers that are hubs, since hubs send nothing to
// backends.
func (d *fakeDiscovery) notify(n int, from, to int64, now time.Duration) {
	if n >= len(d.lab.agents) {
		return
	}
	for _, c := range d.changes[from-d.baseVersion : to-d.baseVersion] {
		d.lab.check.Notify(now, n, c.host.machine.ID, c.state != "ready", c.started)
	}
}

// listCall is a poll or a watch of the endpoint list by one caller.
type listCall struct {
	caller   netfault.Endpoint
	number   int   // of the caller among all callers
	watching bool  // the response continues with changes
	version  int64 // the version that was sent last, or that the caller stated; 0 for none
	epoch    int   // the epoch of discovery at the first update; -1 before it
}

// serveList answers a poll or a watch of one caller.
func (d *fakeDiscovery) serveList(w http.ResponseWriter, r *http.Request, caller netfault.Endpoint, n int) {
	l := d.lab
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	l.mu.Lock()
	unavailable := d.unavailable
	l.mu.Unlock()
	if unavailable {
		http.Error(w, "overbooked", http.StatusServiceUnavailable)
		return
	}
	call := &listCall{caller: caller, number: n, watching: r.URL.Query().Get("follow") == "1", epoch: -1}
	if call.watching {
		call.version, _ = strconv.ParseInt(r.URL.Query().Get("since"), 10, 64) // 0, the full list, if it is absent or malformed
	}
	if !d.awaitTurn(w, r, call.version == 0) {
		return
	}
	for {
		l.mu.Lock()
		update := d.nextUpdate(call)
		l.mu.Unlock()
		if update.ended {
			panic(http.ErrAbortHandler)
		}
		if !call.write(w, update) {
			return
		}
		if !waitFor(r.Context(), update.wait, update.changed) {
			return
		}
	}
}

// listUpdate is one step of the response to a call.
type listUpdate struct {
	line         []byte          // the list or its changes; nil if there is nothing new
	unresponsive bool            // nothing is written, not even a heartbeat
	ended        bool            // the connection is aborted
	wait         time.Duration   // until the next update, unless a change comes first
	changed      <-chan struct{} // closed at a change
}

// nextUpdate returns the update that a call is sent now, and reports its changes to the checker as delivered. Lab.mu is held.
func (d *fakeDiscovery) nextUpdate(call *listCall) listUpdate {
	l, now := d.lab, d.lab.now()
	u := listUpdate{changed: d.changed, wait: heartbeatInterval}
	u.unresponsive = d.unresponsive || l.network.Fault(endpointOf(netfault.Discovery, call.number), call.caller, netfault.TCP).Cut
	if call.epoch == -1 && !u.unresponsive {
		call.epoch = d.epoch
	}
	u.ended = call.epoch != -1 && call.epoch != d.epoch || l.closing
	version, next := d.visible(call.number, now)
	if !u.unresponsive && !u.ended && (version != call.version || call.version == 0) {
		u.line = d.encode(call, version)
		d.notify(call.number, d.deltaStart(call, version), version, now)
		call.version = version
	}
	if next >= 0 {
		u.wait = min(u.wait, max(time.Millisecond, next-now))
	}
	return u
}

// deltaStart returns the version after which the changes sent to a call begin. It returns the base version if discovery does
// not have the version of the caller.
func (d *fakeDiscovery) deltaStart(call *listCall, version int64) int64 {
	if call.version < d.baseVersion || call.version > version {
		return d.baseVersion
	}
	return call.version
}

// encode returns the changes up to a version, or the full list, in discovery's JSON form.
func (d *fakeDiscovery) encode(call *listCall, version int64) []byte {
	full := call.version < d.baseVersion || call.version > version
	line, _ := json.Marshal(d.list(call.number, d.deltaStart(call, version), version, full)) // the type can always be encoded
	if d.lab.Scenario.Discovery.Indented {
		var text bytes.Buffer
		_ = json.Indent(&text, line, " ", "\t") // the text was just encoded
		line = text.Bytes()
	}
	d.listService.bytes += len(line)
	return line
}

// write writes an update, or a heartbeat if there is nothing new. It reports false if the call has ended.
func (c *listCall) write(w http.ResponseWriter, u listUpdate) bool {
	if u.line != nil {
		if _, err := w.Write(append(u.line, '\n')); err != nil {
			return false
		}
	}
	if u.unresponsive {
		return true
	}
	if !c.watching {
		return false
	}
	if u.line == nil {
		if _, err := io.WriteString(w, "\n"); err != nil {
			return false
		}
	}
	return http.NewResponseController(w).Flush() == nil
}

// waitFor waits for d or until changed is closed. It reports false if ctx ends first.
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

// rewind restarts discovery with the list from the start of the run, and publishes all later changes again. Lab.mu is held.
func (d *fakeDiscovery) rewind(now time.Duration) {
	first := len(d.lab.hosts)
	for i, c := range d.changes {
		if c.publishedAt >= 0 {
			first = i
			break
		}
	}
	if first >= len(d.changes) {
		first = len(d.changes)
	}
	later := slices.Clone(d.changes[first:])
	d.changes = d.changes[:first]
	d.baseVersion -= 10 // version numbers decrease, too
	d.epoch++
	d.disruptedUntil = now
	for _, c := range later {
		d.publish(now, c.host, c.state, d.lab.Scenario.Discovery.AddDelaySeconds)
	}
	d.updateWatches()
}
