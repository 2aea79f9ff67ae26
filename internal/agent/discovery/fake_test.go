package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/balancer"
)

// fakeDiscovery is discovery in memory. It tells its versions to whoever watches, as its state says.
type fakeDiscovery struct {
	mu              sync.Mutex
	version         int64
	unresponsive    bool // new watches are taken and left without a word, and open ones fall silent
	refusing        bool // no connection comes up
	encode          func(m EndpointList) string
	sinceParams     []string // since= of each call
	changed         chan struct{}
	conns           chan net.Conn
	silenced        map[*http.Request]bool // watches that fell silent for good
	unansweredCalls int                    // so many of the next calls are taken, and never answered
	dripping        map[*http.Request]bool // watches that get the first bytes of a value, one each second, and no more
	unreachableAddr string                 // no connection comes up there
}

func newFakeDiscovery(t testing.TB) *fakeDiscovery {
	d := &fakeDiscovery{version: 41, changed: make(chan struct{}), conns: make(chan net.Conn, 64), silenced: map[*http.Request]bool{}, dripping: map[*http.Request]bool{},
		encode: func(m EndpointList) string { raw, _ := json.Marshal(m); return string(raw) }}
	server := &http.Server{Handler: d}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(&pipeListener{d, ctx}) }()
	t.Cleanup(func() { cancel(); server.Close(); <-done })
	return d
}

type pipeListener struct {
	discovery *fakeDiscovery
	ctx       context.Context
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.discovery.conns:
		return c, nil
	case <-p.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error { return nil }

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (d *fakeDiscovery) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	d.mu.Lock()
	refuses := d.refusing || addr == d.unreachableAddr
	d.mu.Unlock()
	if refuses {
		return nil, fmt.Errorf("refused")
	}
	near, far := net.Pipe()
	d.conns <- far
	return near, nil
}

// update changes the catalog, and wakes whoever watches.
func (d *fakeDiscovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var since int64
	fmt.Sscan(r.URL.Query().Get("since"), &since)
	d.mu.Lock()
	d.sinceParams = append(d.sinceParams, r.URL.Query().Get("since"))
	d.silenced[r] = d.unansweredCalls > 0
	d.unansweredCalls = max(0, d.unansweredCalls-1)
	d.mu.Unlock()
	defer func() { d.mu.Lock(); delete(d.silenced, r); delete(d.dripping, r); d.mu.Unlock() }()
	dripped := 0
	for first := true; ; {
		d.mu.Lock()
		response, changed, silenced, interval := "\n", d.changed, d.unresponsive || d.silenced[r], 2*time.Second
		if first || since != d.version {
			response = d.encode(EndpointList{Version: d.version, Full: since == 0 || since > d.version,
				Endpoints: []Endpoint{{ID: "s", Addr: "127.0.0.1:9", Zone: "b", State: "ready", Weight: float64(d.version)}}}) + "\n"
		}
		version, refusing := d.version, d.refusing
		if d.dripping[r] {
			response, interval, version = "{", time.Second, since
			if dripped++; dripped > 1 {
				response = " "
			}
		}
		d.mu.Unlock()
		if refusing {
			return
		}
		if !silenced {
			first, since = first && dripped > 0, version
			if _, err := io.WriteString(w, response); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(interval):
		case <-r.Context().Done():
			return
		}
	}
}

// runningWatcher is a follower that runs, and what it has posted.
type runningWatcher struct {
	*Watcher
	mu           sync.Mutex
	updates      []Update
	updatedAt    []time.Time
	done         chan struct{}
	log          bytes.Buffer
	version      float64 // by the weight of the only server
	waitPercent  int     // of each wait's ceiling, in a hundred; see module
	pollFailures int
	retryTimer   *time.Timer
}

func startWatcher(t testing.TB, discovery *fakeDiscovery, polled bool) *runningWatcher {
	running := &runningWatcher{done: make(chan struct{}), waitPercent: -1}
	running.Watcher = New(Config{Addr: "10.0.0.1:1", Polled: polled, ConnectTimeout: time.Second, Dial: discovery.dial, Deliver: func(u Update) {
		running.mu.Lock()
		defer running.mu.Unlock()
		running.updates, running.updatedAt = append(running.updates, u), append(running.updatedAt, time.Now())
		switch {
		case u.Endpoints.Kind == balancer.UpdateFailed && polled && running.waitPercent >= 0:
			running.scheduleRetry()
		case len(u.Endpoints.Backends) > 0:
			running.version, running.pollFailures = u.Endpoints.Backends[0].Weight, 0
		}
	}, Translator: Translator{Zones: []string{"a", "b"}, AgentTime: func(time.Time) time.Duration { return 0 },
		Log: slog.New(slog.NewTextHandler(&running.log, nil))}})
	running.Restore(&EndpointList{Version: 41})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { defer close(running.done); running.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-running.done })
	return running
}

func (w *runningWatcher) kinds() (list []balancer.UpdateKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, update := range w.updates {
		list = append(list, update.Endpoints.Kind)
	}
	return list
}

func (w *runningWatcher) lastVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int64(w.version)
}

// startPolling asks for a watch at once, and after each failure as the module would: by the root's backoff, of which each wait
// here is this part of the ceiling, in a hundred.
func (w *runningWatcher) startPolling(waitPercent int) {
	w.Subscribe()
	w.waitPercent = waitPercent
}

func (w *runningWatcher) setWait(waitPercent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitPercent = waitPercent
}

// scheduleRetry answers a failure as the module does. The lock is held.
func (w *runningWatcher) scheduleRetry() {
	w.pollFailures++
	ceiling := PropagationDeadline / 64 << min(w.pollFailures, 4)
	wait := ceiling * time.Duration(w.waitPercent) / 100
	if w.retryTimer != nil {
		w.retryTimer.Stop() // the latest timer counts
	}
	w.retryTimer = time.AfterFunc(wait, w.Subscribe)
}

// runInBubble runs a test on told time.
func runInBubble(t *testing.T, test func(t *testing.T)) { t.Helper(); synctest.Test(t, test) }
