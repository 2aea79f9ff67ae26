// Package discovery follows discovery's endpoint list: a stream of JSON values over HTTP, each a complete list or a
// change.
//
// A Watcher supervises the connections to discovery (streams). Who owns what:
//   - Run's goroutine owns the endpoint list, its version, all streams and the decision which of them is the current
//     one. It alone calls Config.Deliver, Watcher.Record and the Translator, so that these see lists one at a time, in
//     the order of arrival.
//   - Each stream has a goroutine, which runs until its connection ends and is waited for by Run. It hands what arrives
//     over as events. The fields of a stream that it writes are read by Run only after a later event.
//   - The address of discovery is guarded by mu. Subscribe and SetAddr may be called from any goroutine.
//
// How old it may be: a change has been delivered at the latest PropagationDeadline and the grace for drains (0.5 s)
// after discovery had it and could be reached. A stream that shows no sign of life counts as failed after OpenTimeout
// or HeartbeatTimeout. Where lists come by a fleet (Config.Sources), a source that others are ahead of is left after
// maxLaggingChecks seconds. Start times of backends are estimates, since wall clocks may be wrong (starttime.go).
package discovery

// This file is the Watcher: its configuration, its state and its loop.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"martenbeam/balancer"
	"martenbeam/internal/fleet/source"
)

// A change counts as received PropagationDeadline after discovery had it and could be reached, whatever was refused,
// failed, hung or was given up meanwhile, and the grace for drains is half a second: by then a stream has to be open
// and answered. Discovery sends an empty line every 2 s while nothing changes.
const (
	// PropagationDeadline is when a change counts as received at the latest. It takes precedence over a longer poll
	// interval of the settings.
	PropagationDeadline = 6 * time.Second
	// One late heartbeat makes a stream overdue, and another is opened beside it. That leaves 3 s, for several
	// attempts, before the deadline.
	heartbeatTimeout = 3 * time.Second
	// A stream that is being opened is overdue after this time without an answer. Those 3 s have room for seven
	// attempts where lists are pushed, which costs nothing, and for two, with the backoff between, where a poll may
	// wait for its turn and costs the list service work.
	pushedOpenTimeout, polledOpenTimeout = 400 * time.Millisecond, time.Second
	// Overdue streams stay open, since they may be answered when an outage ends: so many, besides the current one.
	maxOpening = 2
	// Backoff after a failure where lists are pushed: full jitter below a ceiling that doubles. The highest ceiling is
	// below the grace for drains, since what discovery holds counts as received the moment it is back.
	initialBackoff, maxBackoff = 50 * time.Millisecond, 400 * time.Millisecond
	// A source is left once others have had a later list at so many checks in a row.
	lagCheckInterval, maxLaggingChecks = time.Second, 3
)

// errLagging ends a stream whose source others are ahead of.
var errLagging = errors.New("others have a later list")

// Config is what a Watcher needs. It is not changed after New.
type Config struct {
	Translator
	Addr string // of discovery, host:port
	// Polled: a stream is opened when Subscribe is called. Else lists are pushed, and the watcher opens streams by
	// itself.
	Polled         bool
	ConnectTimeout time.Duration
	// Deliver takes each update, and each failure as an update of kind UpdateFailed. Run's goroutine calls it and waits
	// for it.
	Deliver func(Update)
	// Dial opens connections to discovery; nil: TCP, bounded by ConnectTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Sources decides from whom and when the list is requested; nil: from discovery, at once.
	Sources source.Selector
}

// Watcher follows discovery's endpoint list. Where the list is polled, its user decides when to open a stream and when
// to retry after a failure (Subscribe); a new address alone is opened at once. Where the list is pushed, the watcher
// opens streams and backs off by itself.
type Watcher struct {
	// All three are set before Run.

	// Record keeps the complete list for the process that follows this one, with the address it is from; may be nil.
	// Run's goroutine calls it and waits for it.
	Record func(from string, list *EndpointList)
	// A stream is overdue after HeartbeatTimeout without a sign of life, and after OpenTimeout without the first one.
	HeartbeatTimeout, OpenTimeout time.Duration

	cfg         Config
	client      *http.Client  // to discovery
	relayClient *http.Client  // to another member of the fleet
	subscribed  chan struct{} // holds at most one call of Subscribe
	addrChanged chan struct{} // holds at most one change of addr

	mu   sync.Mutex
	addr string // of discovery

	// All that follows but events and tasks is used by Run's goroutine alone, and by Restore before it.

	version        int64
	versionAddr    string      // where version is from; "": the complete list has to be requested
	endpoints      endpointSet // the complete list; kept only for Record and Sources
	opening        []*watchStream
	current        *watchStream // the one that the list comes from; nil: none
	nextOpenAt     time.Time    // when the watcher opens a stream by itself; zero: not
	failures       int          // since the latest list
	lastActivityAt time.Time    // the latest sign of life of any stream
	receivedList   bool         // a list has come from discovery
	laggingChecks  int          // in a row
	backoff        *backoff.ExponentialBackOff
	events         chan watchEvent // from the streams' goroutines
	tasks          sync.WaitGroup  // the streams' goroutines
}

// New returns a watcher that does nothing before Run.
func New(cfg Config) *Watcher {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1}).DialContext
	}
	w := &Watcher{
		HeartbeatTimeout: heartbeatTimeout, OpenTimeout: pushedOpenTimeout,
		cfg: cfg, client: newClient(cfg.Dial), addr: cfg.Addr, versionAddr: cfg.Addr,
		subscribed: make(chan struct{}, 1), addrChanged: make(chan struct{}, 1), events: make(chan watchEvent),
		// A randomization factor of 1 around half the ceiling is full jitter below the ceiling.
		backoff: &backoff.ExponentialBackOff{InitialInterval: initialBackoff / 2, RandomizationFactor: 1,
			Multiplier: 2, MaxInterval: maxBackoff / 2},
	}
	if cfg.Polled {
		w.OpenTimeout = polledOpenTimeout
	}
	if cfg.Sources != nil {
		w.relayClient = newClient(cfg.Sources.Dial)
	}
	return w
}

// newClient returns a client that opens a connection for each request and follows no redirects.
func newClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true, // each stream has its own connection; no request may be repeated on an old one
			DisableCompression: true,
			DialContext:        dial,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Subscribe requests a stream, unless there is one that is not overdue. It returns at once. Calls that Run has not yet
// taken up count as one.
func (w *Watcher) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default:
	}
}

// SetAddr changes the address of discovery. It returns at once.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr = addr
	select {
	case w.addrChanged <- struct{}{}:
	default:
	}
}

// discoveryAddr is the address of discovery as last set.
func (w *Watcher) discoveryAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Restore continues from a complete list that was recorded earlier, and returns it as an update of kind UpdateCached.
// It may be called before Run, and only then.
func (w *Watcher) Restore(list *EndpointList) Update {
	w.version = list.Version
	w.endpoints.merge(list, true)
	return w.cfg.Translate(list, balancer.UpdateCached, 0)
}

// Run follows the list until ctx is done, and then waits for its streams to end. It is called once.
func (w *Watcher) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer w.tasks.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	if !w.cfg.Polled {
		w.nextOpenAt = time.Now()
	}
	w.backoff.Reset()
	var lagChecks <-chan time.Time // never, without Sources
	if w.cfg.Sources != nil {
		tick := time.NewTicker(lagCheckInterval)
		defer tick.Stop()
		lagChecks = tick.C
	}
	for {
		w.markOverdue()
		w.openScheduled(ctx)
		if next := w.nextTimerAt(); next.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-lagChecks:
			w.checkLag()
		case <-w.addrChanged:
			w.reopen()
		case <-w.subscribed:
			w.openUnlessServed(ctx)
		case <-timer.C:
		case event := <-w.events:
			w.handleEvent(event)
		}
	}
}
