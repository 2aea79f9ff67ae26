package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"martenbeam/balancer"
	"martenbeam/internal/fleet/source"
)

// A change counts as told 6 s after discovery had it and could be reached, whatever was refused, failed, hung or given up
// meanwhile, and the grace for drains is half a second: by then a watch has to be up and answered. Discovery sends an
// empty line every 2 s while nothing changes.
const (
	// ToldWithin is when a change counts as told at the latest. It goes before what the settings say of calls for lists.
	ToldWithin = 6 * time.Second
	// One late line makes a watch overdue, and another is opened beside it. With 3 s to go, several tries follow before
	// anything counts.
	silence = 3 * time.Second
	// An opening without a word for so long is overdue: 3 s hold seven of them where lists are pushed, which costs nothing,
	// and two, with the waits between, where a call may wait for its turn and costs the list service work.
	hangPushed, hangAsked = 400 * time.Millisecond, time.Second
	// Overdue ones stay open, since an outage's end may answer them, this many besides the one that lists come by.
	mostOpening = 2
	// Waits after a failure where lists are pushed: full jitter below a doubling ceiling, which stays under the grace
	// for drains, since what discovery holds counts as told the moment it is back.
	waitFirst, waitMost = 50 * time.Millisecond, 400 * time.Millisecond
	// A source that others were ahead of for so many looks in a row is left.
	lookEvery, behindMost = time.Second, 3
)

var errBehind = errors.New("others have a later list")

// Config is what a Follower needs.
type Config struct {
	Translator
	Addr           string
	Asked          bool // lists come when the module asks; else they are pushed
	ConnectTimeout time.Duration
	Post           func(Update)
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the network's
	Sources        source.Sources                                                    // where and when lists are asked for; nil: of discovery, when the module asks
}

// Follower follows the list of backends. Where lists are asked for, the module says when to watch, and when to try
// again after a failure; where they are pushed there is nobody to ask, and it opens watches by itself.
type Follower struct {
	// All are set before Run. Record is where a successor finds the list, and may be nil. Silence is how long a
	// watch may say nothing, Hang how long one that is being opened.
	Record        func(from string, list *Members)
	Silence, Hang time.Duration

	cfg     Config
	client  *http.Client
	relayed *http.Client  // by way of another member of the fleet
	asks    chan struct{} // a Subscribe of the module, at most one waiting
	moved   chan struct{} // at most one waiting

	mu   sync.Mutex
	addr string

	// Run alone uses these.
	version int64
	counted string // the address where version counts; "": the whole list has to be asked for
	whole   whole  // where it is recorded
	opening []*watch
	current *watch    // the one that lists come by; nil: none
	due     time.Time // of the next opening, where the follower opens by itself; zero: none
	fails   int
	heard   time.Time // the latest sign of life of any watch
	listing bool      // discovery has told a list
	waits   *backoff.ExponentialBackOff
	told    chan news
	tasks   sync.WaitGroup
}

// New returns a follower that is to Run.
func New(cfg Config) *Follower {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1}).DialContext
	}
	f := &Follower{cfg: cfg, addr: cfg.Addr, counted: cfg.Addr, Silence: silence, Hang: hangPushed,
		asks: make(chan struct{}, 1), moved: make(chan struct{}, 1), told: make(chan news),
		// A factor of 1 around half the ceiling is full jitter below it.
		waits:  &backoff.ExponentialBackOff{InitialInterval: waitFirst / 2, RandomizationFactor: 1, Multiplier: 2, MaxInterval: waitMost / 2},
		client: clientOver(cfg.Dial)}
	if cfg.Asked {
		f.Hang = hangAsked
	}
	if cfg.Sources != nil {
		f.relayed = clientOver(cfg.Sources.Dial)
	}
	return f
}

func clientOver(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true, // a watch has its own connection; nothing may be resent on an old one
			DisableCompression: true,
			DialContext:        dial,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Subscribe asks for a watch. While one is being started a further call adds nothing.
func (f *Follower) Subscribe() {
	select {
	case f.asks <- struct{}{}:
	default:
	}
}

// Move says that discovery answers at another address from now on.
func (f *Follower) Move(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if addr == f.addr {
		return
	}
	f.addr = addr
	select {
	case f.moved <- struct{}{}:
	default:
	}
}

// Known goes on from a list that is known already, before Run.
func (f *Follower) Known(m *Members) Update {
	f.version = m.Version
	f.whole.merge(m, true)
	return f.cfg.Update(m, balancer.ListCached, 0)
}

// Run watches until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ctx, end := context.WithCancel(ctx)
	defer f.tasks.Wait()
	defer end()
	wake := time.NewTimer(0)
	defer wake.Stop()
	if !f.cfg.Asked {
		f.due = time.Now()
	}
	f.waits.Reset()
	var look <-chan time.Time // at what others have told of
	if f.cfg.Sources != nil {
		tick := time.NewTicker(lookEvery)
		defer tick.Stop()
		look = tick.C
	}
	for behind := 0; ; {
		f.age()
		if now := time.Now(); !f.due.IsZero() && !now.Before(f.due) {
			f.due = time.Time{}
			if !f.attended() {
				f.open(ctx)
			}
		}
		if next := f.next(); next.IsZero() {
			wake.Stop()
		} else {
			wake.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-look:
			if behind++; f.current == nil || !f.cfg.Sources.Behind(f.version) {
				behind = 0
			} else if behind == behindMost {
				behind = 0
				f.drop(f.current)
				f.lost(news{from: f.current, err: errBehind})
			}
		case <-f.moved:
			// Nothing has failed. The present watch goes on, as long as discovery keeps it open at the old address, until the
			// new one has told a list: what it tells meanwhile counts as well.
			f.drop(f.opening...)
			f.opening, f.fails = nil, 0
			f.due = time.Now()
		case <-f.asks:
			if !f.attended() {
				f.open(ctx)
			}
		case <-wake.C:
		case n := <-f.told:
			f.take(n)
		}
	}
}

// attended reports whether a watch is there, at the present address, that is not overdue.
func (f *Follower) attended() bool {
	f.mu.Lock()
	addr := f.addr
	f.mu.Unlock()
	for _, w := range f.watches() {
		if w.addr == addr && !w.overdue {
			return true
		}
	}
	return false
}

func (f *Follower) watches() []*watch {
	if f.current == nil {
		return f.opening
	}
	return append(slices.Clone(f.opening), f.current)
}

// dueAt is when a watch is overdue that says no more; zero: it is, or waits for its turn.
func (f *Follower) dueAt(w *watch) time.Time {
	switch {
	case w.overdue || !w.asked:
		return time.Time{}
	case w.alive.IsZero():
		return w.began.Add(f.Hang)
	}
	return w.alive.Add(cmp.Or(w.via.Silence, f.Silence))
}

// next is when there is something to do even if nothing comes; zero: never.
func (f *Follower) next() time.Time {
	next := f.due
	for _, w := range f.watches() {
		if at := f.dueAt(w); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// age finds the watches that are overdue by now. Each has failed, as far as anyone can know, and stays open all the same.
func (f *Follower) age() {
	for _, w := range f.watches() {
		if at := f.dueAt(w); !at.IsZero() && !time.Now().Before(at) {
			if f.cfg.Sources != nil && (w == f.current || w.via.Relayed) {
				f.drop(w) // there are others to ask
				f.lost(news{from: w, err: errSilent})
				continue
			}
			w.overdue = true
			f.failed(errSilent)
			if !f.cfg.Asked {
				f.due = time.Now()
			}
		}
	}
}

// open begins a watch. Of those that are being opened one makes room: the oldest once all is told anyway, else
// the youngest, so that one call is always fresh and one may have waited for its turn.
func (f *Follower) open(ctx context.Context) {
	f.mu.Lock()
	addr := f.addr
	f.mu.Unlock()
	if len(f.opening) == mostOpening {
		i := len(f.opening) - 1
		if oldest := f.opening[0]; oldest.asked && time.Since(oldest.began) >= ToldWithin {
			i = 0
		}
		w := f.opening[i]
		f.drop(w)
		f.opening = slices.Delete(f.opening, i, i+1)
		if f.cfg.Sources != nil && w.asked {
			f.cfg.Sources.Answered(w.via, 0, true, f.version)
		}
	}
	since := f.version
	if addr != f.counted {
		since = 0 // it may count anew there, or what came made no sense
	}
	ctx, drop := context.WithCancel(ctx)
	w := &watch{addr: addr, since: since, drop: drop}
	f.opening = append(f.opening, w)
	fails := f.fails
	f.tasks.Go(func() {
		defer drop()
		client, heard := f.client, func() {}
		if from := f.cfg.Sources; from != nil {
			var ok bool
			if w.via, ok = from.Next(ctx, fails); !ok {
				return
			}
			if w.via.Relayed {
				client = f.relayed
			}
			heard = func() { from.Heard(w.via) }
		}
		w.began = time.Now()
		w.run(ctx, client, heard, func(n news) {
			select {
			case f.told <- n:
			case <-ctx.Done(): // nobody listens any more
			}
		})
	})
}

// drop ends watches, of which nothing is taken any more.
func (f *Follower) drop(list ...*watch) {
	for _, w := range list {
		w.drop()
	}
}

// take heeds what a watch's task tells.
func (f *Follower) take(n news) {
	w := n.from
	if w != f.current && !slices.Contains(f.opening, w) {
		return // dropped
	}
	switch {
	case n.err != nil:
		f.lost(n)
		return
	case n.opened:
		w.asked = true
		return
	}
	before := f.heard
	w.alive = time.Now()
	f.heard = w.alive
	if w.came.IsZero() {
		w.came, w.overdue = w.alive, false
	}
	// A watch is the one that lists come by once it has told one, or has spoken for so long that there is none to tell:
	// until then another may be the one that would have answered.
	sure := n.list != nil || w.alive.Sub(w.came) >= f.Silence
	if w != f.current && (sure || f.current == nil) {
		f.opening = slices.DeleteFunc(f.opening, func(o *watch) bool { return o == w })
		if f.current != nil {
			f.drop(f.current)
		}
		f.current = w
	}
	f.mu.Lock()
	here := w.addr == f.addr
	f.mu.Unlock()
	if w == f.current && sure && here && !w.overdue {
		f.drop(f.opening...)
		f.opening = nil
	}
	if n.list != nil {
		f.listed(w, n.list, before)
	}
}

// listed takes a list over. Before it the latest sign of life came at a time.
func (f *Follower) listed(w *watch, m *Members, before time.Time) {
	f.fails = 0
	f.waits.Reset()
	was := f.version
	if !w.listed && !m.Full && w.addr == f.counted && m.Version < was {
		// Changes up to a version that is past: the watch before this one went on telling when it had been given up. What
		// follows is newer.
		w.listed = true
		return
	}
	f.version, f.counted = m.Version, w.addr
	if f.Record != nil || f.cfg.Sources != nil {
		f.whole.merge(m, m.Full)
	}
	if f.Record != nil {
		f.Record(w.addr, f.whole.members(m.Version))
	}
	if f.cfg.Sources != nil {
		f.passOn(w, m, was)
	}
	w.listed = true
	kind := balancer.ListDelta
	if m.Full {
		kind = balancer.ListFull
	}
	within := time.Duration(0)
	if f.listing { // else what was told before may be old
		within = time.Since(before) + noticedWithin
	}
	f.listing = true
	f.cfg.starts.compare(w.date)
	f.cfg.Post(f.cfg.Update(m, kind, within))
}

// passOn tells the fleet of a list.
func (f *Follower) passOn(w *watch, m *Members, was int64) {
	if !w.listed {
		f.cfg.Sources.Answered(w.via, time.Since(w.began), false, m.Version)
	}
	var change []byte
	if !m.Full {
		change = encode(m)
	}
	f.cfg.Sources.Listed(w.via, was, m.Version, change, encode(f.whole.members(m.Version)))
}

func encode(m *Members) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // it was read as JSON
	}
	return text
}

// lost takes the end of a watch, or of what should have become one.
func (f *Follower) lost(n news) {
	f.opening = slices.DeleteFunc(f.opening, func(o *watch) bool { return o == n.from })
	if n.from == f.current {
		f.current = nil
	}
	if n.bad {
		f.counted = "" // the whole list may make sense
	}
	if f.cfg.Sources != nil && !n.from.listed {
		f.cfg.Sources.Answered(n.from.via, 0, true, f.version)
	}
	if n.from.overdue {
		return // that was its failure
	}
	f.failed(n.err)
	if !f.cfg.Asked && !f.attended() {
		f.due = time.Now().Add(f.waits.NextBackOff())
	}
}

// failed tells the module, which asks anew where lists are asked for.
func (f *Follower) failed(err error) {
	f.fails++
	if f.fails == 1 || f.fails%20 == 0 { // not a line for every try while it is down
		f.cfg.Log.Warn("discovery watch ended", "error", err, "failures", f.fails)
	}
	f.cfg.Post(Update{List: balancer.List{Kind: balancer.ListFailed}})
}
