package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"brookferry"
	"brookferry/internal/agent/discovery"
)

// handover is what two processes of one agent know of each other, while the platform replaces one
// by the other. It stands in $TMPDIR: the operators' calls, the list, and what the module hands on.
type handover struct {
	log  *slog.Logger
	dir  string
	turn int64 // of this process; the next one's is higher

	alone bool // no older process was there when this one started

	legacy chan brookferry.Legacy // of the loop, the latest

	mu      sync.Mutex
	owner   *os.File    // locked by the process that was there first, until it ends
	second  *os.File    // locked by a process that started beside it, until it ends or is the first; else nil
	known   record      // as last read or written here
	seen    os.FileInfo // of that file
	applied record      // the calls in it that hold in this process
}

// record is the file's content. Times are Unix milliseconds.
type record struct {
	Format   int                `json:"format"`
	Turn     int64              `json:"turn"`     // of the youngest process
	Saved    int64              `json:"saved"`    // when the process that serves was last heard of
	Detached map[string]int64   `json:"detached"` // backends, with when they were called out
	Attached map[string]int64   `json:"attached"` // and those called back since
	Lame     bool               `json:"lame"`
	From     string             `json:"from"` // discovery, that told the list
	List     *discovery.Members `json:"list"`
	Legacy   *brookferry.Legacy `json:"legacy"`
}

const (
	recordFormat = 1
	recordName   = "handover.json"
	lookEvery    = 50 * time.Millisecond  // for calls to the other process
	saveEvery    = 500 * time.Millisecond // what the module would hand on
	longGone     = 30 * time.Second       // a process not heard of for so long left nothing that still counts
	attachedKept = 2 * time.Minute        // far longer than any backend needs to get warm
	lockWithin   = 300 * time.Millisecond // the other process writes a small file meanwhile
	lockEvery    = 5 * time.Millisecond
	readyWithin  = 3 * time.Second // clients are taken even without a list by then: a yes is due within 6 s
)

// newHandover reads what an earlier process left. A record that can't be used is worked around.
func newHandover(dir string, log *slog.Logger) (*handover, error) {
	h := &handover{log: log, dir: dir, legacy: make(chan brookferry.Legacy, 1)}
	owner, err := os.OpenFile(filepath.Join(dir, "owner"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	h.owner = owner
	if h.alone = h.first(); !h.alone { // before the record names it: the older process takes one without a lock for gone
		if h.second, err = h.lock("second"); err != nil {
			owner.Close()
			return nil, fmt.Errorf("handover: %w", err)
		}
	}
	err = h.change(func(r *record) {
		if gone := time.Since(time.UnixMilli(r.Saved)); r.Turn > 0 && h.alone && gone > longGone {
			log.Warn("what an earlier process left is not used", "age", gone)
			*r = record{Turn: r.Turn}
		}
		r.Turn++
		h.turn = r.Turn
	})
	if err != nil {
		h.close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return h, nil
}

// close gives up what this process holds: as its end does.
func (h *handover) close() {
	h.owner.Close()
	if h.second != nil {
		h.second.Close()
	}
}

// first reports whether no older process of this agent is there, and from then on is the older one.
func (h *handover) first() bool {
	if syscall.Flock(int(h.owner.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return false
	}
	if h.second != nil {
		h.second.Close() // another may start beside this one
		h.second = nil
	}
	return true
}

// lock takes one of the locks that the processes share, while nobody else does for long.
func (h *handover) lock(name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(h.dir, name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockWithin); ; time.Sleep(lockEvery) {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if time.Now().After(end) {
			f.Close()
			return nil, fmt.Errorf("lock %s: %w", name, err)
		}
	}
}

// deserted reports whether the younger process has ended while this one serves. From then on this one speaks for the agent
// again, in the record too.
func (h *handover) deserted() bool {
	f, err := os.OpenFile(filepath.Join(h.dir, "second"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return false
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return false
	}
	err = h.change(func(r *record) {
		r.Turn++
		h.turn = r.Turn
	})
	if err != nil {
		h.log.Warn("the record can't be taken back", "error", err)
	}
	return err == nil
}

// followed reports whether a younger process has started.
func (h *handover) followed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known.Turn > h.turn
}

// change reads the record, changes it and writes it whole, while the other process does not.
func (h *handover) change(by func(*record)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	lock, err := h.lock("lock")
	if err != nil {
		return err
	}
	defer lock.Close() // and with it unlock
	r := h.read()
	by(&r)
	r.Format = recordFormat
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	path := filepath.Join(h.dir, recordName)
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	h.known = r
	h.seen, _ = os.Stat(path) // where that fails the next look reads it again
	return nil
}

// read returns the record as it stands. One that makes no sense counts as what was known before.
func (h *handover) read() record {
	raw, err := os.ReadFile(filepath.Join(h.dir, recordName))
	if errors.Is(err, fs.ErrNotExist) {
		return h.known
	}
	var r record
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	if err == nil && r.Format != recordFormat {
		err = fmt.Errorf("format %d", r.Format)
	}
	if err != nil {
		h.log.Warn("the record of an earlier process can't be used", "error", err)
		return h.known
	}
	return r
}

// look reads the record if it has changed, and returns the calls that hold by it and not here yet.
func (h *handover) look(ck clock) (list []*call, lame bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if info, err := os.Stat(filepath.Join(h.dir, recordName)); err == nil &&
		(h.seen == nil || !os.SameFile(info, h.seen) || !info.ModTime().Equal(h.seen.ModTime())) {
		h.seen, h.known = info, h.read()
	}
	list = carried(h.applied, h.known, ck)
	h.applied = h.known
	return list, h.known.Lame
}

// keep records an operator's call that holds here, before its yes.
func (h *handover) keep(s standing) error {
	err := h.change(func(r *record) { r.note(s) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied.note(s)
	if err != nil {
		h.known.note(s) // not recorded, but not taken back either
	}
	return err
}

// note takes a call into a record. Its maps may be in other records too, and are not changed.
func (r *record) note(s standing) {
	if s.backend == "" {
		r.Lame = s.out
		return
	}
	detached, attached := map[string]int64{}, map[string]int64{}
	maps.Copy(detached, r.Detached)
	maps.Copy(attached, r.Attached)
	maps.DeleteFunc(attached, func(_ string, at int64) bool { return s.at.Sub(time.UnixMilli(at)) > attachedKept })
	if _, out := detached[s.backend]; s.out && !out {
		detached[s.backend] = s.at.UnixMilli()
		delete(attached, s.backend)
	} else if out && !s.out {
		delete(detached, s.backend)
		attached[s.backend] = s.at.UnixMilli()
	}
	r.Detached, r.Attached = detached, attached
}

// offer keeps what the module would hand on now, in place of what it would have before.
func (h *handover) offer(l brookferry.Legacy) {
	select {
	case <-h.legacy:
	default:
	}
	h.legacy <- l
}

// save records what the module would hand on, and that this process is there. Once a younger one
// has started it is that one's to say.
func (h *handover) save(l brookferry.Legacy) {
	if h.followed() {
		return
	}
	if err := h.change(func(r *record) {
		if r.Turn == h.turn {
			r.Legacy, r.Saved = &l, time.Now().UnixMilli()
		}
	}); err != nil {
		h.log.Warn("nothing is recorded for a successor", "error", err)
	}
}

// saveList records the list as discovery has told it by now.
func (h *handover) saveList(from string, list *discovery.Members) {
	if err := h.change(func(r *record) {
		if r.Turn == h.turn || r.List == nil || r.From == from && r.List.Version < list.Version {
			r.From, r.List = from, list
		}
	}); err != nil {
		h.log.Warn("the list is not recorded for a successor", "error", err)
	}
}

// carried are the calls that hold in one record and not in the other.
func carried(before, now record, ck clock) (list []*call) {
	for id := range now.Detached {
		if _, out := before.Detached[id]; !out {
			list = append(list, &call{ctx: context.Background(), backend: id, detach: true, carried: true})
		}
	}
	for id, at := range now.Attached {
		_, out := now.Detached[id]
		if was, back := before.Attached[id]; !out && (!back || was != at) {
			list = append(list, &call{ctx: context.Background(), backend: id, carried: true, at: ck.at(time.UnixMilli(at))})
		}
	}
	return list
}

// prepareHandover finds out whether an older process of this agent is there. While it is, the two
// share out what one may use. Where nothing can be written this process serves like one that is alone.
func (a *Agent) prepareHandover() {
	h, err := newHandover(a.cfg.Scratch, a.log)
	if err != nil {
		a.log.Error("nothing can be handed on", "error", err)
		return
	}
	a.handover = h
	if a.admin != nil {
		a.admin.record = a.handover.keep
	}
	a.discovery.Record = a.handover.saveList
	a.loop.handOn = a.handover.offer
	if !a.handover.alone {
		a.listener.Reserve(a.halfOfAccepts())
		a.allow(a.cfg.halved())
	}
}

func (a *Agent) halfOfAccepts() int {
	return acceptSockets(a.cfg.shareable()) - acceptSockets(a.cfg.halved().shareable())
}

// allow keeps this process to the limits of c.
func (a *Agent) allow(c *Config) {
	a.backends.allow(backendSockets(c.shareable()))
	a.front.allow(clientSockets(c.shareable()))
	c.LimitMemory()
}

// inherit goes on where an earlier process of this agent was, before the loop runs.
func (a *Agent) inherit() {
	calls, lame := a.handover.look(a.loop.clock)
	r := a.handover.known // as it stands by now: the older process has gone on recording
	a.front.setLame(lame)
	if r.List != nil && r.From == a.cfg.Discovery {
		a.cfg.Known = r.List // later than the one in the configuration, which is as old as the first process
	}
	a.log.Info("handover", "turn", a.handover.turn, "alone", a.handover.alone, "calls", len(calls), "lame", lame,
		"list", r.List != nil)
	if r.Legacy != nil {
		a.loop.pending = append(a.loop.pending, brookferry.Inherit{Legacy: *r.Legacy})
	}
	for _, c := range calls {
		c.taken = make(chan bool, 1)
		a.loop.takeCall(c)
	}
}

// awaitList waits for a list of backends: before, no client could be served. Those that connect
// meanwhile have the older process to serve them.
func (a *Agent) awaitList(stop context.Context) {
	within := time.NewTimer(readyWithin)
	defer within.Stop()
	look := time.NewTicker(lookEvery / 10)
	defer look.Stop()
	for !a.loop.ready.Load() {
		select {
		case <-look.C:
		case <-within.C:
			a.log.Warn("taking clients without a list")
			return
		case <-stop.Done():
			return
		}
	}
}

// share keeps to the calls that another process of this agent takes, and to half of the limits while
// there is one, until ctx ends.
func (a *Agent) share(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	halved, followed := !a.handover.alone, false
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-a.handover.legacy:
			a.handover.save(l)
			continue
		case <-tick.C:
		}
		calls, lame := a.handover.look(a.loop.clock)
		for _, c := range calls {
			if _, err := a.loop.call(ctx, c); err != nil {
				a.log.Warn("a call to another process does not hold here", "backend", c.backend, "error", err)
			}
		}
		if a.loop.lame.Load() != lame {
			a.front.setLame(lame)
			a.log.Info("lame duck, by a call to another process", "on", lame)
		}
		switch {
		case halved && !followed && a.handover.first():
			halved = false
			a.listener.Reserve(-a.halfOfAccepts())
			a.allow(a.cfg)
			a.log.Info("the older process has ended")
		case !followed && a.handover.followed():
			followed = true
			a.allow(a.cfg.halved())
			debug.FreeOSMemory()
			a.log.Info("a successor has started")
		case followed && a.handover.deserted():
			followed = false
			a.allow(a.cfg)
			a.log.Warn("the successor has ended before it took the clients")
		}
	}
}
