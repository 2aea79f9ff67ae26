package discovery

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

// A change counts as told 6 s after discovery had it and could be reached, whatever was refused, failed, hung or given up
// meanwhile, and the grace for drains is half a second: by then a watch has to be up and answered. Discovery sends an
// empty line every 2 s while nothing changes.
const (
	// PropagationDeadline is when a change counts as told at the latest. It goes before what the settings say of calls for lists.
	PropagationDeadline = 6 * time.Second
	// One late line makes a watch overdue, and another is opened beside it. With 3 s to go, several tries follow before
	// anything counts.
	heartbeatTimeout = 3 * time.Second
	// An opening without a word for so long is overdue: 3 s hold seven of them where lists are pushed, which costs nothing,
	// and two, with the waits between, where a call may wait for its turn and costs the list service work.
	pushedOpenTimeout, polledOpenTimeout = 400 * time.Millisecond, time.Second
	// Overdue ones stay open, since an outage's end may answer them, this many besides the one that lists come by.
	maxOpening = 2
	// Waits after a failure where lists are pushed: full jitter below a doubling ceiling, which stays under the grace
	// for drains, since what discovery holds counts as told the moment it is back.
	initialBackoff, maxBackoff = 50 * time.Millisecond, 400 * time.Millisecond
	// A source that others were ahead of for so many looks in a row is left.
	lagCheckInterval, maxLaggingChecks = time.Second, 3
)

var errLagging = errors.New("others have a later list")

// Config is what a Follower needs.
type Config struct {
	Translator
	Addr           string
	Polled         bool // lists come when the module asks; else they are pushed
	ConnectTimeout time.Duration
	Deliver        func(Update)
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the network's
	Sources        source.Selector                                                   // where and when lists are asked for; nil: of discovery, when the module asks
}

// Watcher follows the list of backends. Where lists are asked for, the module says when to watch, and when to try
// again after a failure; where they are pushed there is nobody to ask, and it opens watches by itself.
type Watcher struct {
	// All are set before Run. Record is where a successor finds the list, and may be nil. Silence is how long a
	// watch may say nothing, Hang how long one that is being opened.
	Record                        func(from string, list *EndpointList)
	HeartbeatTimeout, OpenTimeout time.Duration

	cfg         Config
	client      *http.Client
	relayClient *http.Client  // by way of another member of the fleet
	subscribed  chan struct{} // a Subscribe of the module, at most one waiting
	addrChanged chan struct{} // at most one waiting

	mu   sync.Mutex
	addr string

	// Run alone uses these.
	version        int64
	versionAddr    string      // the address where version counts; "": the whole list has to be asked for
	endpoints      endpointSet // where it is recorded
	opening        []*watchStream
	current        *watchStream // the one that lists come by; nil: none
	nextOpenAt     time.Time    // of the next opening, where the follower opens by itself; zero: none
	failures       int
	lastReceivedAt time.Time // the latest sign of life of any watch
	receivedList   bool      // discovery has told a list
	laggingChecks  int       // looks in a row at which others had a later list
	backoff        *backoff.ExponentialBackOff
	events         chan watchEvent
	tasks          sync.WaitGroup
}

// New returns a follower that is to Run.
func New(cfg Config) *Watcher {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1}).DialContext
	}
	w := &Watcher{cfg: cfg, addr: cfg.Addr, versionAddr: cfg.Addr, HeartbeatTimeout: heartbeatTimeout, OpenTimeout: pushedOpenTimeout,
		subscribed: make(chan struct{}, 1), addrChanged: make(chan struct{}, 1), events: make(chan watchEvent),
		// A factor of 1 around half the ceiling is full jitter below it.
		backoff: &backoff.ExponentialBackOff{InitialInterval: initialBackoff / 2, RandomizationFactor: 1, Multiplier: 2, MaxInterval: maxBackoff / 2},
		client:  newClient(cfg.Dial)}
	if cfg.Polled {
		w.OpenTimeout = polledOpenTimeout
	}
	if cfg.Sources != nil {
		w.relayClient = newClient(cfg.Sources.Dial)
	}
	return w
}

func newClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
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
func (w *Watcher) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default:
	}
}

// SetAddr says that discovery answers at another address from now on.
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

// presentAddr is where discovery answers by now.
func (w *Watcher) presentAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Restore goes on from a list that is known already, before Run.
func (w *Watcher) Restore(list *EndpointList) Update {
	w.version = list.Version
	w.endpoints.merge(list, true)
	return w.cfg.Translate(list, balancer.UpdateCached, 0)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer w.tasks.Wait()
	defer cancel()
	wake := time.NewTimer(0)
	defer wake.Stop()
	if !w.cfg.Polled {
		w.nextOpenAt = time.Now()
	}
	w.backoff.Reset()
	var lagChecks <-chan time.Time // at what others have told of
	if w.cfg.Sources != nil {
		tick := time.NewTicker(lagCheckInterval)
		defer tick.Stop()
		lagChecks = tick.C
	}
	for {
		w.markOverdue()
		w.openIfDue(ctx)
		if next := w.nextWakeAt(); next.IsZero() {
			wake.Stop()
		} else {
			wake.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-lagChecks:
			w.checkLag()
		case <-w.addrChanged:
			w.reopen()
		case <-w.subscribed:
			w.openUnlessWatching(ctx)
		case <-wake.C:
		case event := <-w.events:
			w.handleEvent(event)
		}
	}
}
