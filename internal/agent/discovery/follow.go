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

	"brookferry"
	"brookferry/internal/fleet/source"
)

// Discovery sends an empty line every 2 s while nothing changes: a machine that is cut off closes nothing. What a
// silent watch misses counts as told 6 s after it fell silent, at the latest, and the grace for drains is half a
// second: by then the next watch has to be up and answered, also where the first try to open it hangs.
const (
	// Pushed lists cost discovery nothing: one late line is enough to open the watch anew. With 3 s to go, five
	// tries follow before anything counts.
	silentPushed = 3 * time.Second
	// A call that is asked for costs the list service work: two lines have to be missed.
	silentAsked = 4500 * time.Millisecond
	// An opening that hangs is left open, since an outage's end may answer it, and another is begun beside it.
	hangs       = 400 * time.Millisecond
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
	// Both are set before Run. Record is where a successor finds the list, and may be nil; Silence is how long a
	// watch may say nothing.
	Record  func(from string, list *Members)
	Silence time.Duration

	cfg     Config
	client  *http.Client
	relayed *http.Client  // by way of another member of the fleet
	asks    chan struct{} // a Subscribe of the module, at most one waiting
	moved   chan struct{} // at most one waiting

	mu   sync.Mutex
	addr string

	// Run alone uses these.
	version int64
	watched string // where the latest watch went
	whole   whole  // where it is recorded
	opening []*watch
	current *watch // the one that has answered; nil: none
	fails   int
	waits   *backoff.ExponentialBackOff
	told    chan news
	tasks   sync.WaitGroup
}

// New returns a follower that is to Run.
func New(cfg Config) *Follower {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1}).DialContext
	}
	f := &Follower{cfg: cfg, addr: cfg.Addr, watched: cfg.Addr, Silence: silentPushed,
		asks: make(chan struct{}, 1), moved: make(chan struct{}, 1), told: make(chan news),
		// A factor of 1 around half the ceiling is full jitter below it.
		waits:  &backoff.ExponentialBackOff{InitialInterval: waitFirst / 2, RandomizationFactor: 1, Multiplier: 2, MaxInterval: waitMost / 2},
		client: clientOver(cfg.Dial)}
	if cfg.Asked {
		f.Silence = silentAsked
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
	return f.cfg.Update(m, brookferry.ListCached)
}

// Run watches until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ctx, end := context.WithCancel(ctx)
	defer f.tasks.Wait()
	defer end()
	due := time.NewTimer(0) // of the next opening, where lists are pushed
	defer due.Stop()
	if f.cfg.Asked {
		due.Stop()
	}
	f.waits.Reset()
	var look <-chan time.Time // at what others have told of
	if f.cfg.Sources != nil {
		tick := time.NewTicker(lookEvery)
		defer tick.Stop()
		look = tick.C
	}
	for behind := 0; ; {
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
		case <-f.moved: // nothing has failed: on to the new address
			f.drop(f.opening...)
			if f.current != nil {
				f.drop(f.current)
			}
			f.opening, f.current, f.fails = nil, nil, 0
			f.open(ctx)
		case <-f.asks:
			if f.current == nil && len(f.opening) == 0 {
				f.open(ctx)
			}
		case <-due.C:
			f.open(ctx)
		case n := <-f.told:
			f.take(n)
		}
		switch {
		case f.cfg.Asked:
		case f.current != nil:
			due.Stop()
		case f.fails > 0 && len(f.opening) == 0:
			due.Reset(f.waits.NextBackOff())
		default:
			due.Reset(hangs)
		}
	}
}

// open begins a watch. Of those that are being opened the oldest makes room.
func (f *Follower) open(ctx context.Context) {
	f.mu.Lock()
	addr := f.addr
	f.mu.Unlock()
	if addr != f.watched {
		f.version, f.watched = 0, addr // it may count anew there: the whole list is asked for
	}
	if len(f.opening) == mostOpening {
		oldest := f.opening[0]
		f.drop(oldest)
		f.lost(news{from: oldest, err: errSilent})
	}
	ctx, drop := context.WithCancel(ctx)
	w := &watch{addr: addr, since: f.version, drop: drop}
	f.opening = append(f.opening, w)
	fails := f.fails
	f.tasks.Go(func() {
		defer drop()
		client, silence, heard := f.client, f.Silence, func() {}
		if from := f.cfg.Sources; from != nil {
			var ok bool
			if w.via, ok = from.Next(ctx, fails); !ok {
				return
			}
			if w.via.Relayed {
				client = f.relayed
			}
			silence = cmp.Or(w.via.Silence, silence)
			heard = func() { from.Heard(w.via) }
		}
		w.began = time.Now()
		w.run(ctx, client, silence, heard, func(n news) {
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
	if n.err != nil {
		f.lost(n)
		return
	}
	if w != f.current { // the first that answers is it
		f.opening = slices.DeleteFunc(f.opening, func(o *watch) bool { return o == w })
		f.drop(f.opening...)
		f.opening, f.current = nil, w
	}
	if n.list == nil {
		return
	}
	f.fails = 0
	f.waits.Reset()
	was := f.version
	f.version = n.list.Version
	if f.Record != nil || f.cfg.Sources != nil {
		f.whole.merge(n.list, n.list.Full)
	}
	if f.Record != nil {
		f.Record(w.addr, f.whole.members(n.list.Version))
	}
	if f.cfg.Sources != nil {
		f.passOn(w, n.list, was)
	}
	kind := brookferry.ListDelta
	if n.list.Full {
		kind = brookferry.ListFull
	}
	f.cfg.Post(f.cfg.Update(n.list, kind))
}

// passOn tells the fleet of a list.
func (f *Follower) passOn(w *watch, m *Members, was int64) {
	if !w.listed {
		w.listed = true
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
		f.version = 0 // the whole list may make sense
	}
	if f.cfg.Sources != nil && !n.from.listed {
		f.cfg.Sources.Answered(n.from.via, 0, true, f.version)
	}
	f.fails++
	if f.fails == 1 || f.fails%20 == 0 { // not a line for every try while it is down
		f.cfg.Log.Warn("discovery watch ended", "error", n.err, "failures", f.fails)
	}
	f.cfg.Post(Update{List: brookferry.List{Kind: brookferry.ListFailed}})
}
