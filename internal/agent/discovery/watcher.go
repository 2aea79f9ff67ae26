// Package discovery follows discovery's endpoint list: a stream of JSON values over HTTP, each a complete list or a
// change.
//
// A Watcher supervises the connections to discovery (streams). Ownership:
//   - Run's goroutine owns the endpoint list, its version, all streams and the choice of the current stream. Only this
//     goroutine calls Config.Deliver, Watcher.Record and the Translator, so that they get lists one at a time, in the
//     order of arrival.
//   - Each stream has a goroutine that runs until its connection ends. It sends heartbeats and lists to Run as events.
//     Run reads the fields that this goroutine writes only after a later event, and returns after the goroutine has ended.
//   - The address of discovery is guarded by mu. Subscribe and SetAddr may be called from any goroutine.
//
// Bounds on delay: a change is delivered at the latest PropagationDeadline plus the grace for drains (0.5 s) after
// discovery had it and could be reached. A stream without a heartbeat or list counts as failed after OpenTimeout or
// HeartbeatTimeout. With Config.Sources, the watcher leaves a source after other sources have had a later list at
// maxLaggingChecks checks in a row, one every lagCheckInterval. Start times of backends are estimates, since wall
// clocks may be wrong (starttime.go).
package discovery

// This file defines the Watcher: its configuration, its state and its event loop.

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

// A change counts as received PropagationDeadline after discovery had it and could be reached, even if requests were
// refused, failed, hung or timed out in that time. The grace for drains adds half a second. Within the sum of both times,
// the watcher has to open a stream and to receive the list. Discovery sends an empty line every 2 s while nothing changes.
const (
	// PropagationDeadline is the time after which a change counts as received. It takes precedence over a longer
	// poll interval in the settings.
	PropagationDeadline = 6 * time.Second
	// heartbeatTimeout is short enough that one late heartbeat makes a stream overdue. Another stream is then opened
	// beside the overdue one, with 3 s left before PropagationDeadline: enough for several attempts.
	heartbeatTimeout = 3 * time.Second
	// pushedOpenTimeout and polledOpenTimeout are the times after which a stream that is being opened is overdue if no
	// heartbeat or list has arrived. In the 3 s that remain after a late heartbeat, there is time for seven attempts
	// where lists are pushed, since an attempt costs nothing there. Where the list is polled, there is time for two
	// attempts with the backoff between them, since a poll may have to wait for permission and costs discovery work.
	pushedOpenTimeout, polledOpenTimeout = 400 * time.Millisecond, time.Second
	// maxOpening bounds the streams besides the current one. Overdue streams stay open because discovery may answer
	// them when an outage ends.
	maxOpening = 2
	// initialBackoff and maxBackoff are the first and the highest ceiling of the backoff after a failure where lists
	// are pushed. The backoff has full jitter below a ceiling that doubles with each failure. The highest ceiling is
	// below the grace for drains, since after an outage discovery's list counts as received as soon as discovery
	// answers.
	initialBackoff, maxBackoff = 50 * time.Millisecond, 400 * time.Millisecond
	// lagCheckInterval is the time between two checks whether other sources have a later list. The watcher leaves its
	// source after maxLaggingChecks checks in a row that found one.
	lagCheckInterval, maxLaggingChecks = time.Second, 3
)

// errLagging is the error that ends a stream whose list is behind that of other sources.
var errLagging = errors.New("other sources have a later endpoint list")

// Config configures a Watcher. It is not changed after New.
type Config struct {
	Translator
	Addr string // of discovery, host:port
	// Polled: the watcher opens a stream when Subscribe is called, and after a change of address. Otherwise lists are
	// pushed, and the watcher keeps a stream open without calls.
	Polled         bool
	ConnectTimeout time.Duration // bounds the opening of a connection to discovery, unless Dial is set
	// Deliver receives each update, and each failure as an update of kind UpdateFailed. Run's goroutine calls it and
	// waits for it.
	Deliver func(Update)
	// Dial opens connections to discovery; nil: TCP, bounded by ConnectTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Sources decides where and when the list is requested; nil: from discovery, without delay.
	Sources source.Selector
}

// Watcher follows discovery's endpoint list. Where the list is polled, the caller decides when to open a stream and when
// to retry after a failure (Subscribe). After a change of address, the watcher opens a stream without a call. Where the
// list is pushed, the watcher opens streams and backs off without calls.
type Watcher struct {
	// Record, HeartbeatTimeout and OpenTimeout are set before Run.

	// Record stores the complete list and the address of its source for the successor process; may be nil. Run's
	// goroutine calls it and waits for it.
	Record func(from string, list *EndpointList)
	// A stream is overdue after OpenTimeout without its first heartbeat or list, and after HeartbeatTimeout without a
	// further one.
	HeartbeatTimeout, OpenTimeout time.Duration

	cfg         Config
	client      *http.Client  // to discovery
	relayClient *http.Client  // to another member of the fleet
	subscribed  chan struct{} // holds at most one call of Subscribe
	addrChanged chan struct{} // holds at most one change of addr

	mu   sync.Mutex
	addr string // of discovery

	// Only Run's goroutine uses the fields below, except that New and Restore set some of them before Run, and that the
	// streams' goroutines use events and tasks.

	version          int64
	versionAddr      string      // address that version is from; "": the complete list has to be requested
	endpoints        endpointSet // the complete list; kept only for Record and Sources
	opening          []*watchStream
	current          *watchStream // the stream that delivers the list; nil: none
	nextOpenAt       time.Time    // when the watcher opens a stream without a call of Subscribe; zero: not scheduled
	failures         int          // number since the latest list or change of address
	latestActivityAt time.Time    // the latest heartbeat or list of any stream
	receivedList     bool         // a list has arrived since New
	laggingChecks    int          // number of checks in a row that found a later list elsewhere
	backoff          *backoff.ExponentialBackOff
	events           chan watchEvent // from the streams' goroutines
	tasks            sync.WaitGroup  // the streams' goroutines
}

// New returns a watcher. It opens no stream before Run.
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

// newClient returns a client that opens a new connection for each request and follows no redirects.
func newClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true, // net/http may resend a request on a reused connection, so none is reused
			DisableCompression: true,
			DialContext:        dial,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Subscribe requests a stream, unless there is one that is not overdue. It does not block, and may be called from any
// goroutine. Several calls before Run handles the first count as one.
func (w *Watcher) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default:
	}
}

// SetAddr changes the address of discovery. It does not wait for a new stream, and may be called from any goroutine.
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

// discoveryAddr returns the address of discovery as last set.
func (w *Watcher) discoveryAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Restore sets the complete list to one that was recorded earlier, and returns it as an update of kind UpdateCached. It
// may only be called before Run.
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
	var lagChecks <-chan time.Time // nil without Sources: no checks
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
