package discovery

// This file defines a fake of discovery in memory, and a watcher that runs against it.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/balancer"
)

// fakeDiscovery serves a list of one backend over in-memory connections, and sends each version to all open streams.
type fakeDiscovery struct {
	conns chan net.Conn // dialled and not yet accepted

	mu                 sync.Mutex // guards the fields below; tests change them through update
	version            int64
	encode             func(m EndpointList) string
	changed            chan struct{}          // closed by the next update
	sinceParams        []string               // query parameter since of each request
	unresponsive       bool                   // no stream receives anything, open or new
	refusing           bool                   // connections are refused, and open streams end
	unreachableAddr    string                 // connections to this address are refused
	unansweredRequests int                    // number of next requests that get no response
	openStreams        map[*http.Request]bool // has an entry for each open stream; true: the stream receives nothing
	sendingPartial     map[*http.Request]bool // streams that receive a value that never ends, one byte each second
}

func newFakeDiscovery(t testing.TB) *fakeDiscovery {
	d := &fakeDiscovery{version: 41, changed: make(chan struct{}), conns: make(chan net.Conn, 64),
		openStreams: map[*http.Request]bool{}, sendingPartial: map[*http.Request]bool{},
		encode: func(m EndpointList) string { raw, _ := json.Marshal(m); return string(raw) }}
	server := &http.Server{Handler: d}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(&pipeListener{d, ctx}) }()
	t.Cleanup(func() { cancel(); server.Close(); <-done })
	return d
}

// pipeListener accepts the connections that are dialled to a fakeDiscovery.
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
	refused := d.refusing || addr == d.unreachableAddr
	d.mu.Unlock()
	if refused {
		return nil, fmt.Errorf("connection refused by the fake")
	}
	clientConn, serverConn := net.Pipe()
	d.conns <- serverConn
	return clientConn, nil
}

// update changes the fake and notifies its streams.
func (d *fakeDiscovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP serves one stream until it ends.
func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	d.mu.Lock()
	d.sinceParams = append(d.sinceParams, r.URL.Query().Get("since"))
	d.openStreams[r] = d.unansweredRequests > 0
	d.unansweredRequests = max(0, d.unansweredRequests-1)
	d.mu.Unlock()
	defer func() { d.mu.Lock(); delete(d.openStreams, r); delete(d.sendingPartial, r); d.mu.Unlock() }()
	partialBytes := 0
	for first := true; ; {
		d.mu.Lock()
		response, changed, stalled, interval := "\n", d.changed, d.unresponsive || d.openStreams[r], 2*time.Second
		if first || since != d.version {
			response = d.encode(d.list(since)) + "\n"
		}
		version, refusing := d.version, d.refusing
		if d.sendingPartial[r] {
			response, interval, version = "{", time.Second, since
			if partialBytes++; partialBytes > 1 {
				response = " "
			}
		}
		d.mu.Unlock()
		if refusing {
			return
		}
		if !stalled {
			first, since = first && partialBytes > 0, version
			if !send(w, response) {
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

// list returns the next list for a stream that has version since. The caller holds mu.
func (d *fakeDiscovery) list(since int64) EndpointList {
	return EndpointList{
		Version:   d.version,
		Full:      since == 0 || since > d.version,
		Endpoints: []Endpoint{{ID: "s", Addr: "127.0.0.1:9", Zone: "b", State: "ready", Weight: float64(d.version)}},
	}
}

// send writes part of a response, and reports whether the stream is still open.
func send(w http.ResponseWriter, text string) bool {
	if _, err := io.WriteString(w, text); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// runningWatcher is a running watcher with the updates that it has delivered.
type runningWatcher struct {
	*Watcher
	done chan struct{} // closed when Run returns
	log  bytes.Buffer  // written by Run's goroutine

	mu           sync.Mutex // guards the fields below
	updates      []Update
	version      float64 // of the latest list, which the fake sends as the weight of its only backend
	waitPercent  int     // wait before each retry, in percent of the backoff ceiling; below 0: no retries
	pollFailures int     // number in a row
	retryTimer   *time.Timer
}

// startWatcher runs a watcher of discovery until the test ends. The test doesn't poll before startPolling.
func startWatcher(t testing.TB, discovery *fakeDiscovery, polled bool) *runningWatcher {
	w := &runningWatcher{done: make(chan struct{}), waitPercent: -1}
	w.Watcher = New(Config{
		Addr: "10.0.0.1:1", Polled: polled, ConnectTimeout: time.Second, Dial: discovery.dial,
		Deliver: func(u Update) { w.deliver(u, polled) },
		Translator: Translator{Zones: []string{"a", "b"}, AgentTime: func(time.Time) time.Duration { return 0 },
			Log: slog.New(slog.NewTextHandler(&w.log, nil))},
	})
	w.Restore(&EndpointList{Version: 41})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { defer close(w.done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-w.done })
	return w
}

// deliver records an update and schedules a poll after a failure.
func (w *runningWatcher) deliver(u Update, polled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updates = append(w.updates, u)
	switch {
	case u.Endpoints.Kind == balancer.UpdateFailed && polled && w.waitPercent >= 0:
		w.scheduleRetry()
	case len(u.Endpoints.Backends) > 0:
		w.version, w.pollFailures = u.Endpoints.Backends[0].Weight, 0
	}
}

// kinds returns the kinds of all updates so far.
func (w *runningWatcher) kinds() (list []balancer.UpdateKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, update := range w.updates {
		list = append(list, update.Endpoints.Kind)
	}
	return list
}

// lastVersion returns the version of the latest list.
func (w *runningWatcher) lastVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int64(w.version)
}

// startPolling polls at once, and after each failure with the decision module's backoff, where each wait is waitPercent
// of the ceiling.
func (w *runningWatcher) startPolling(waitPercent int) {
	w.Subscribe()
	w.waitPercent = waitPercent
}

// setWait changes waitPercent.
func (w *runningWatcher) setWait(waitPercent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitPercent = waitPercent
}

// scheduleRetry schedules a poll after a failure. The caller holds mu.
func (w *runningWatcher) scheduleRetry() {
	w.pollFailures++
	ceiling := PropagationDeadline / 64 << min(w.pollFailures, 4)
	wait := ceiling * time.Duration(w.waitPercent) / 100
	if w.retryTimer != nil {
		w.retryTimer.Stop() // one retry is scheduled at a time
	}
	w.retryTimer = time.AfterFunc(wait, w.Subscribe)
}

// runInBubble runs a test with a fake clock, which advances when all goroutines are blocked.
func runInBubble(t *testing.T, test func(t *testing.T)) { t.Helper(); synctest.Test(t, test) }
