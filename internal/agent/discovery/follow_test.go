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
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

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
func (p *pipeListener) Close() error   { return nil }
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

// runInBubble runs a test on told time.
func runInBubble(t *testing.T, test func(t *testing.T)) { t.Helper(); synctest.Test(t, test) }

// A value is a value however it is laid out, and a bad one ends the watch alone: the next asks for the whole list.
func TestStreamAcceptsAnyLayoutAndRecoversFromBadValues(t *testing.T) {
	indented := func(m EndpointList) string {
		raw, _ := json.MarshalIndent(m, "  ", "\t")
		return "\n\r\n " + string(raw)
	}
	for name, form := range map[string]func(EndpointList) string{
		"indented": indented,
		"two on a line": func(m EndpointList) string {
			raw, _ := json.Marshal(m)
			return string(raw) + string(raw)
		},
		"long": func(m EndpointList) string { return strings.Repeat(" ", maxValueBytes/2) + indented(m) },
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				discovery := newFakeDiscovery(t)
				discovery.encode = form
				watcher := startWatcher(t, discovery, false)
				for v := int64(42); v < 45; v++ {
					discovery.update(func() { discovery.version = v })
					synctest.Wait()
					if watcher.lastVersion() != v {
						t.Fatalf("version %d, not %d: %s", watcher.lastVersion(), v, watcher.log.String())
					}
				}
				time.Sleep(time.Minute) // empty lines are signs of life
				if slices.Contains(watcher.kinds(), balancer.UpdateFailed) || len(discovery.sinceParams) != 1 {
					t.Errorf("%d calls: %s", len(discovery.sinceParams), watcher.log.String())
				}
			})
		})
	}
	for name, bad := range map[string]string{"cut short": `{"version":1,"servers":[}`, "no list": `{"version":7,"full":true}`, "a number": "17",
		"another kind": `{"version":"x","servers":[]}`, "endless": `{"version":1,"x":"` + strings.Repeat("x", maxValueBytes+1<<17)} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				discovery := newFakeDiscovery(t)
				watcher := startWatcher(t, discovery, false)
				synctest.Wait()
				good := discovery.encode
				discovery.update(func() { discovery.version, discovery.encode = 42, func(EndpointList) string { return bad } })
				time.Sleep(time.Millisecond)
				discovery.update(func() { discovery.encode = good })
				time.Sleep(time.Second)
				if watcher.lastVersion() != 42 || !slices.Contains(discovery.sinceParams, "0") || !slices.Contains(watcher.kinds(), balancer.UpdateFailed) {
					t.Errorf("told %d, calls %v, %s", watcher.lastVersion(), discovery.sinceParams, watcher.log.String())
				}
			})
		})
	}
}

// Where lists are asked for the module says when: a failure is told, and no call follows by itself.
func TestPolledWatcherOpensOnlyOnSubscribe(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		watcher := startWatcher(t, discovery, true)
		time.Sleep(time.Minute)
		discovery.update(func() { discovery.refusing = true })
		watcher.Subscribe()
		time.Sleep(time.Minute)
		if k := watcher.kinds(); len(discovery.sinceParams) != 0 || len(k) != 1 || k[0] != balancer.UpdateFailed {
			t.Errorf("%d calls, posts %v", len(discovery.sinceParams), k)
		}
		discovery.update(func() { discovery.refusing = false })
		watcher.Subscribe()
		synctest.Wait()
		watcher.Subscribe() // one is open
		time.Sleep(time.Minute)
		discovery.update(func() { discovery.unresponsive = true }) // a call may wait: it is not made twice
		time.Sleep(heartbeatTimeout + time.Millisecond)
		if k := watcher.kinds(); len(discovery.sinceParams) != 1 || len(k) != 3 || k[1] != balancer.UpdateDelta || k[2] != balancer.UpdateFailed {
			t.Errorf("%d calls, posts %v", len(discovery.sinceParams), k)
		}
	})
}

// Discovery may move at any time. The watch goes on at the new address at once, from the whole list, and nothing has failed.
func TestAddressChangeReopensAtOnceWithoutFailure(t *testing.T) {
	for _, polled := range []bool{false, true} {
		for _, unresponsive := range []bool{false, true} {
			t.Run(fmt.Sprint("asked ", polled, " down ", unresponsive), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					discovery := newFakeDiscovery(t)
					discovery.unresponsive = unresponsive
					watcher := startWatcher(t, discovery, polled)
					watcher.Subscribe()
					synctest.Wait()
					watcher.SetAddr("10.0.0.1:1") // no move
					synctest.Wait()
					if len(discovery.sinceParams) != 1 {
						t.Errorf("calls %v", discovery.sinceParams)
					}
					discovery.update(func() { discovery.unresponsive, discovery.version = false, 7 })
					watcher.SetAddr("10.0.0.2:1")
					synctest.Wait()
					if got := discovery.sinceParams[len(discovery.sinceParams)-1]; got != "0" || watcher.lastVersion() != 7 || slices.Contains(watcher.kinds(), balancer.UpdateFailed) {
						t.Errorf("since %s, told %d, posts %v", got, watcher.lastVersion(), watcher.kinds())
					}
					time.Sleep(time.Minute)
					if len(discovery.sinceParams) != 2 || len(discovery.silenced) != 1 {
						t.Errorf("calls %v, %d of them open", discovery.sinceParams, len(discovery.silenced))
					}
				})
			})
		}
	}
}

// The one clock: whatever befalls discovery and the watches, and however often discovery moves, a change is heeded before the
// grace for drains is over, from when it counts as told: 6 s after discovery had it and could be reached. Where lists are
// pushed what discovery holds counts the moment that it speaks again; where they are asked for the module asks anew a wait
// after each failure, as it would here.
func TestChangesArriveByPropagationDeadline(t *testing.T) {
	const grace = 500 * time.Millisecond
	for _, polled := range []bool{false, true} {
		t.Run(fmt.Sprint("asked ", polled), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				type step struct{ kind, ms, wait int } // drawn beforehand: a shrinking check ends where it draws
				steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
					return step{rapid.IntRange(0, 6).Draw(r, "kind"), rapid.IntRange(0, 9000).Draw(r, "ms"), rapid.IntRange(1, 100).Draw(r, "wait")}
				}), 1, 12).Draw(r, "steps")
				failure := ""
				defer func() {
					if failure != "" {
						r.Fatal(failure)
					}
				}()
				runInBubble(t, func(t *testing.T) {
					discovery := newFakeDiscovery(t)
					watcher := startWatcher(t, discovery, polled)
					watcher.startPolling(steps[0].wait)
					synctest.Wait()
					var unresponsiveAt time.Time // since then nobody is spoken to; zero: all is well
					for i, s := range steps {
						watcher.setWait(s.wait)
						switch k := s.kind; {
						case k == 0:
							discovery.update(func() { discovery.unresponsive = true })
						case k == 1: // all connections end, and no new one comes up
							discovery.update(func() { discovery.refusing = true })
						case k <= 3: // open watches fall silent for good; new ones are served, but the first may hang
							discovery.update(func() {
								discovery.unansweredCalls = (k - 2) * 2
								for w := range discovery.silenced {
									discovery.silenced[w] = true
								}
							})
						case k == 4: // open watches are kept alive by a value that never ends
							discovery.update(func() {
								for w := range discovery.silenced {
									discovery.dripping[w] = true
								}
							})
						case k == 5: // a replaced configuration, and another at once
							watcher.SetAddr(fmt.Sprintf("10.0.1.%d:1", i))
							discovery.update(func() { discovery.unansweredCalls = s.wait % 3 })
							watcher.SetAddr(fmt.Sprintf("10.0.2.%d:1", i))
						}
						if unresponsiveAt.IsZero() {
							unresponsiveAt = time.Now()
						}
						time.Sleep(time.Duration(s.ms) * time.Millisecond)
						outage := discovery.unresponsive || discovery.refusing
						discovery.update(func() {
							discovery.version, discovery.unresponsive, discovery.refusing = discovery.version+1, false, false
						})
						untilDeadline := time.Until(unresponsiveAt.Add(PropagationDeadline))
						if polled && outage {
							untilDeadline = PropagationDeadline // since it can be reached
						} else if outage || untilDeadline < 0 {
							untilDeadline = 0
						}
						time.Sleep(untilDeadline + grace)
						synctest.Wait()
						if watcher.lastVersion() != discovery.version {
							failure = fmt.Sprintf("step %d: version %d is known, not %d, %v after it counts as told; %s", i, watcher.lastVersion(), discovery.version, grace, watcher.log.String())
							return
						}
						unresponsiveAt = time.Time{}
					}
					if len(discovery.silenced) > maxOpening+1 {
						failure = fmt.Sprintf("%d watches are open", len(discovery.silenced))
					}
				})
			})
		})
	}
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

// A watch whose value never ends is not alive by its bytes, and a new one that only shows signs of life does not end an
// older one that would have answered.
func TestPartialValuesAreNoSignOfLife(t *testing.T) {
	for _, polled := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			discovery := newFakeDiscovery(t)
			watcher := startWatcher(t, discovery, polled)
			watcher.startPolling(50)
			synctest.Wait()
			discovery.update(func() {
				for stream := range discovery.silenced {
					discovery.dripping[stream] = true
				}
			})
			time.Sleep(time.Second)
			discovery.update(func() { discovery.version++ })
			time.Sleep(PropagationDeadline)
			synctest.Wait()
			if watcher.lastVersion() != discovery.version {
				t.Errorf("asked %v: a value that never ends kept its watch alive: %s", polled, watcher.log.String())
			}
		})
	}
	runInBubble(t, func(t *testing.T) {
		watcher := New(Config{Addr: "10.0.0.1:1", Deliver: func(Update) {}, Translator: Translator{Log: slog.New(slog.DiscardHandler)}})
		cancelled := map[*watchStream]bool{}
		openWatch := func() *watchStream {
			stream := &watchStream{addr: watcher.addr, requested: true, openedAt: time.Now()}
			stream.cancel = func() { cancelled[stream] = true }
			watcher.opening = append(watcher.opening, stream)
			return stream
		}
		older, newer := openWatch(), openWatch()
		watcher.handleEvent(watchEvent{stream: newer})
		if cancelled[older] || watcher.current != newer {
			t.Fatal("a sign of life ended the opening before")
		}
		watcher.handleEvent(watchEvent{stream: older, list: &EndpointList{Version: 50, Full: true}})
		if watcher.version != 50 || watcher.current != older || !cancelled[newer] {
			t.Errorf("version %d: the list of the older one was not taken", watcher.version)
		}
		late := openWatch()
		late.sinceVersion = 40
		watcher.current.overdue = true
		watcher.handleEvent(watchEvent{stream: late, list: &EndpointList{Version: 45}})
		if watcher.version != 50 {
			t.Errorf("version %d by changes that are past", watcher.version)
		}
		watcher.handleEvent(watchEvent{stream: late, list: &EndpointList{Version: 30}}) // in its own stream a version may go back
		if watcher.version != 30 {
			t.Errorf("version %d", watcher.version)
		}
	})
}

// While discovery moves, the watch at the old address tells what it is told, until the new one has told a list; also where
// the new address is down, and is replaced by another.
func TestOldWatchServesUntilNewOneHasList(t *testing.T) {
	for _, polled := range []bool{false, true} {
		runInBubble(t, func(t *testing.T) {
			discovery := newFakeDiscovery(t)
			discovery.unreachableAddr = "10.0.0.2:1"
			watcher := startWatcher(t, discovery, polled)
			watcher.startPolling(50)
			synctest.Wait()
			watcher.SetAddr("10.0.0.2:1")
			time.Sleep(time.Second)
			discovery.update(func() { discovery.version++ })
			if synctest.Wait(); watcher.lastVersion() != discovery.version {
				t.Errorf("asked %v: what the old address told did not count", polled)
			}
			discovery.update(func() { discovery.unansweredCalls = 1 })
			watcher.SetAddr("10.0.0.3:1")
			synctest.Wait()
			discovery.update(func() { discovery.version++ })
			if synctest.Wait(); watcher.lastVersion() != discovery.version {
				t.Errorf("asked %v: what the old address told did not count, the second time", polled)
			}
			time.Sleep(PropagationDeadline)
			synctest.Wait()
			if len(discovery.silenced) != 1 || watcher.current.addr != "10.0.0.3:1" {
				t.Errorf("asked %v: %d watches, at %s", polled, len(discovery.silenced), watcher.current.addr)
			}
		})
	}
}

// A whole list that is empty is a list: nobody is there any more.
func TestEmptyListIsACompleteList(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		discovery := newFakeDiscovery(t)
		watcher := startWatcher(t, discovery, false)
		synctest.Wait()
		discovery.update(func() {
			discovery.encode = func(EndpointList) string { return `{"version":42,"full":true,"servers":[]}` }
		})
		discovery.update(func() { discovery.version = 42 })
		synctest.Wait()
		watcher.mu.Lock()
		defer watcher.mu.Unlock()
		if last := watcher.updates[len(watcher.updates)-1]; last.Endpoints.Kind != balancer.UpdateFull || len(last.Endpoints.Backends) != 0 || len(last.Addrs) != 0 {
			t.Errorf("%+v", last)
		}
	})
}

// A successor is handed the whole list, though discovery tells changes alone.
func TestDeltasMergeIntoCompleteList(t *testing.T) {
	endpoints := endpointSet{}
	endpoints.merge(&EndpointList{Version: 3, Endpoints: []Endpoint{{ID: "a", State: "ready"}, {ID: "b", State: "ready"}, {ID: "c", State: "ready"}}}, true)
	endpoints.merge(&EndpointList{Version: 4, Endpoints: []Endpoint{{ID: "b", State: "draining"}, {ID: "a", State: "gone"}, {ID: "d", State: "ready"}}}, false)
	got, text := endpoints.list(4), ""
	for _, s := range got.Endpoints {
		text += s.ID + " " + s.State + " "
	}
	if got.Version != 4 || !got.Full || text != "b draining c ready d ready " {
		t.Errorf("version %d: %s", got.Version, text)
	}
}

// What makes no sense in a list is left out, and start times become the agent's.
func TestTranslateLeavesOutInvalidEntries(t *testing.T) {
	base := time.UnixMilli(1e12)
	translator := Translator{Zones: []string{"a"}, Kinds: []string{"k"}, Log: slog.New(slog.DiscardHandler),
		AgentTime: func(at time.Time) time.Duration { return at.Sub(base) + time.Hour }}
	update := translator.Translate(&EndpointList{Endpoints: []Endpoint{
		{ID: "new", Addr: "127.0.0.1:9", State: "ready", Zone: "a", Kind: "k", Cell: 3, Weight: 2, StartedAt: base.Add(-3 * time.Second).UnixMilli()},
		{ID: "old", Addr: "127.0.0.1:9", State: "ready"},
		{ID: "odd", Addr: "nowhere", State: "ready"},
		{ID: "", Addr: "127.0.0.1:9", State: "ready"},
		{ID: "what", Addr: "127.0.0.1:9", State: "asleep"},
		{ID: "off", State: "gone"},
	}}, balancer.UpdateFull, 0)
	want := []balancer.Backend{{ID: "new", Cell: 3, Weight: 2, Started: time.Hour - 3*time.Second}, {ID: "old", Zone: -1, Kind: -1},
		{ID: "off", State: balancer.Removed, Zone: -1, Kind: -1}}
	if !slices.Equal(update.Endpoints.Backends, want) || len(update.Addrs) != 2 {
		t.Errorf("%+v", update)
	}
}
