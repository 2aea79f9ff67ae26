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
	for laggingChecks := 0; ; {
		w.markOverdue()
		if now := time.Now(); !w.nextOpenAt.IsZero() && !now.Before(w.nextOpenAt) {
			w.nextOpenAt = time.Time{}
			if !w.hasCurrentWatch() {
				w.openWatch(ctx)
			}
		}
		if next := w.nextWakeAt(); next.IsZero() {
			wake.Stop()
		} else {
			wake.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-lagChecks:
			if laggingChecks++; w.current == nil || !w.cfg.Sources.Lagging(w.version) {
				laggingChecks = 0
			} else if laggingChecks == maxLaggingChecks {
				laggingChecks = 0
				w.cancelWatches(w.current)
				w.handleWatchEnd(watchEvent{stream: w.current, err: errLagging})
			}
		case <-w.addrChanged:
			// Nothing has failed. The present watch goes on, as long as discovery keeps it open at the old address, until the
			// new one has told a list: what it tells meanwhile counts as well.
			w.cancelWatches(w.opening...)
			w.opening, w.failures = nil, 0
			w.nextOpenAt = time.Now()
		case <-w.subscribed:
			if !w.hasCurrentWatch() {
				w.openWatch(ctx)
			}
		case <-wake.C:
		case event := <-w.events:
			w.handleEvent(event)
		}
	}
}

// hasCurrentWatch reports whether a watch is there, at the present address, that is not overdue.
func (w *Watcher) hasCurrentWatch() bool {
	w.mu.Lock()
	addr := w.addr
	w.mu.Unlock()
	for _, stream := range w.streams() {
		if stream.addr == addr && !stream.overdue {
			return true
		}
	}
	return false
}

func (w *Watcher) streams() []*watchStream {
	if w.current == nil {
		return w.opening
	}
	return append(slices.Clone(w.opening), w.current)
}

// overdueAt is when a watch is overdue that says no more; zero: it is, or waits for its turn.
func (w *Watcher) overdueAt(stream *watchStream) time.Time {
	switch {
	case stream.overdue || !stream.requested:
		return time.Time{}
	case stream.lastAliveAt.IsZero():
		return stream.openedAt.Add(w.OpenTimeout)
	}
	return stream.lastAliveAt.Add(cmp.Or(stream.source.SilenceTimeout, w.HeartbeatTimeout))
}

// nextWakeAt is when there is something to do even if nothing comes; zero: never.
func (w *Watcher) nextWakeAt() time.Time {
	next := w.nextOpenAt
	for _, stream := range w.streams() {
		if at := w.overdueAt(stream); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// markOverdue finds the watches that are overdue by now. Each has failed, as far as anyone can know, and stays open all the same.
func (w *Watcher) markOverdue() {
	for _, stream := range w.streams() {
		if at := w.overdueAt(stream); !at.IsZero() && !time.Now().Before(at) {
			if w.cfg.Sources != nil && (stream == w.current || stream.source.Relayed) {
				w.cancelWatches(stream) // there are others to ask
				w.handleWatchEnd(watchEvent{stream: stream, err: errSilent})
				continue
			}
			stream.overdue = true
			w.reportFailure(errSilent)
			if !w.cfg.Polled {
				w.nextOpenAt = time.Now()
			}
		}
	}
}

// openWatch begins a watch. Of those that are being opened one makes room: the oldest once all is told anyway, else
// the youngest, so that one call is always fresh and one may have waited for its turn.
func (w *Watcher) openWatch(ctx context.Context) {
	w.mu.Lock()
	addr := w.addr
	w.mu.Unlock()
	if len(w.opening) == maxOpening {
		i := len(w.opening) - 1
		if oldest := w.opening[0]; oldest.requested && time.Since(oldest.openedAt) >= PropagationDeadline {
			i = 0
		}
		stream := w.opening[i]
		w.cancelWatches(stream)
		w.opening = slices.Delete(w.opening, i, i+1)
		if w.cfg.Sources != nil && stream.requested {
			w.cfg.Sources.RecordAttempt(stream.source, 0, true, w.version)
		}
	}
	since := w.version
	if addr != w.versionAddr {
		since = 0 // it may count anew there, or what came made no sense
	}
	ctx, cancel := context.WithCancel(ctx)
	stream := &watchStream{addr: addr, sinceVersion: since, cancel: cancel}
	w.opening = append(w.opening, stream)
	failures := w.failures
	w.tasks.Go(func() {
		defer cancel()
		client, onAlive := w.client, func() {}
		if sources := w.cfg.Sources; sources != nil {
			var ok bool
			if stream.source, ok = sources.Next(ctx, failures); !ok {
				return
			}
			if stream.source.Relayed {
				client = w.relayClient
			}
			onAlive = func() { sources.RecordLiveness(stream.source) }
		}
		stream.openedAt = time.Now()
		stream.run(ctx, client, onAlive, func(event watchEvent) {
			select {
			case w.events <- event:
			case <-ctx.Done(): // nobody listens any more
			}
		})
	})
}

// cancelWatches ends watches, of which nothing is taken any more.
func (w *Watcher) cancelWatches(streams ...*watchStream) {
	for _, stream := range streams {
		stream.cancel()
	}
}

// handleEvent heeds what a watch's task tells.
func (w *Watcher) handleEvent(event watchEvent) {
	stream := event.stream
	if stream != w.current && !slices.Contains(w.opening, stream) {
		return // dropped
	}
	switch {
	case event.err != nil:
		w.handleWatchEnd(event)
		return
	case event.requested:
		stream.requested = true
		return
	}
	previousReceivedAt := w.lastReceivedAt
	stream.lastAliveAt = time.Now()
	w.lastReceivedAt = stream.lastAliveAt
	if stream.firstAliveAt.IsZero() {
		stream.firstAliveAt, stream.overdue = stream.lastAliveAt, false
	}
	// A watch is the one that lists come by once it has told one, or has spoken for so long that there is none to tell:
	// until then another may be the one that would have answered.
	confirmed := event.list != nil || stream.lastAliveAt.Sub(stream.firstAliveAt) >= w.HeartbeatTimeout
	if stream != w.current && (confirmed || w.current == nil) {
		w.opening = slices.DeleteFunc(w.opening, func(o *watchStream) bool { return o == stream })
		if w.current != nil {
			w.cancelWatches(w.current)
		}
		w.current = stream
	}
	w.mu.Lock()
	atPresentAddr := stream.addr == w.addr
	w.mu.Unlock()
	if stream == w.current && confirmed && atPresentAddr && !stream.overdue {
		w.cancelWatches(w.opening...)
		w.opening = nil
	}
	if event.list != nil {
		w.applyList(stream, event.list, previousReceivedAt)
	}
}

// applyList takes a list over. Before it the latest sign of life came at a time.
func (w *Watcher) applyList(stream *watchStream, list *EndpointList, previousReceivedAt time.Time) {
	w.failures = 0
	w.backoff.Reset()
	previousVersion := w.version
	if !stream.receivedList && !list.Full && stream.addr == w.versionAddr && list.Version < previousVersion {
		// Changes up to a version that is past: the watch before this one went on telling when it had been given up. What
		// follows is newer.
		stream.receivedList = true
		return
	}
	w.version, w.versionAddr = list.Version, stream.addr
	if w.Record != nil || w.cfg.Sources != nil {
		w.endpoints.merge(list, list.Full)
	}
	if w.Record != nil {
		w.Record(stream.addr, w.endpoints.list(list.Version))
	}
	if w.cfg.Sources != nil {
		w.publishList(stream, list, previousVersion)
	}
	stream.receivedList = true
	kind := balancer.UpdateDelta
	if list.Full {
		kind = balancer.UpdateFull
	}
	maxAge := time.Duration(0)
	if w.receivedList { // else what was told before may be old
		maxAge = time.Since(previousReceivedAt) + maxAnnounceDelay
	}
	w.receivedList = true
	w.cfg.startTimes.measureOffset(stream.dateHeader)
	w.cfg.Deliver(w.cfg.Translate(list, kind, maxAge))
}

// publishList tells the fleet of a list.
func (w *Watcher) publishList(stream *watchStream, list *EndpointList, previousVersion int64) {
	if !stream.receivedList {
		w.cfg.Sources.RecordAttempt(stream.source, time.Since(stream.openedAt), false, list.Version)
	}
	var change []byte
	if !list.Full {
		change = encodeList(list)
	}
	w.cfg.Sources.RecordUpdate(stream.source, previousVersion, list.Version, change, encodeList(w.endpoints.list(list.Version)))
}

func encodeList(list *EndpointList) []byte {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // it was read as JSON
	}
	return text
}

// handleWatchEnd takes the end of a watch, or of what should have become one.
func (w *Watcher) handleWatchEnd(event watchEvent) {
	w.opening = slices.DeleteFunc(w.opening, func(o *watchStream) bool { return o == event.stream })
	if event.stream == w.current {
		w.current = nil
	}
	if event.malformed {
		w.versionAddr = "" // the whole list may make sense
	}
	if w.cfg.Sources != nil && !event.stream.receivedList {
		w.cfg.Sources.RecordAttempt(event.stream.source, 0, true, w.version)
	}
	if event.stream.overdue {
		return // that was its failure
	}
	w.reportFailure(event.err)
	if !w.cfg.Polled && !w.hasCurrentWatch() {
		w.nextOpenAt = time.Now().Add(w.backoff.NextBackOff())
	}
}

// reportFailure tells the module, which asks anew where lists are asked for.
func (w *Watcher) reportFailure(err error) {
	w.failures++
	if w.failures == 1 || w.failures%20 == 0 { // not a line for every try while it is down
		w.cfg.Log.Warn("discovery watch ended", "error", err, "failures", w.failures)
	}
	w.cfg.Deliver(Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateFailed}})
}
