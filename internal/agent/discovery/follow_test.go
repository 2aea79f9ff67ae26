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

// catalog is discovery in memory. It tells its versions to whoever watches, as its state says.
type catalog struct {
	mu      sync.Mutex
	version int64
	hung    bool // new watches are taken and left without a word, and open ones fall silent
	refuses bool // no connection comes up
	form    func(m Members) string
	calls   []string // since= of each call
	stir    chan struct{}
	conns   chan net.Conn
	mute    map[*http.Request]bool // watches that fell silent for good
	hangs   int                    // so many of the next calls are taken, and never answered
	drips   map[*http.Request]bool // watches that get the first bytes of a value, one each second, and no more
	shut    string                 // no connection comes up there
}

func newCatalog(t testing.TB) *catalog {
	c := &catalog{version: 41, stir: make(chan struct{}), conns: make(chan net.Conn, 64), mute: map[*http.Request]bool{}, drips: map[*http.Request]bool{},
		form: func(m Members) string { raw, _ := json.Marshal(m); return string(raw) }}
	server := &http.Server{Handler: c}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(&pipes{c, ctx}) }()
	t.Cleanup(func() { cancel(); server.Close(); <-done })
	return c
}

type pipes struct {
	c   *catalog
	ctx context.Context
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.c.conns:
		return c, nil
	case <-p.ctx.Done():
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (c *catalog) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	c.mu.Lock()
	refuses := c.refuses || addr == c.shut
	c.mu.Unlock()
	if refuses {
		return nil, fmt.Errorf("refused")
	}
	near, far := net.Pipe()
	c.conns <- far
	return near, nil
}

// set changes the catalog, and wakes whoever watches.
func (c *catalog) set(by func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	by()
	close(c.stir)
	c.stir = make(chan struct{})
}

func (c *catalog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var since int64
	fmt.Sscan(r.URL.Query().Get("since"), &since)
	c.mu.Lock()
	c.calls = append(c.calls, r.URL.Query().Get("since"))
	c.mute[r] = c.hangs > 0
	c.hangs = max(0, c.hangs-1)
	c.mu.Unlock()
	defer func() { c.mu.Lock(); delete(c.mute, r); delete(c.drips, r); c.mu.Unlock() }()
	dripped := 0
	for first := true; ; {
		c.mu.Lock()
		text, stir, quiet, beat := "\n", c.stir, c.hung || c.mute[r], 2*time.Second
		if first || since != c.version {
			text = c.form(Members{Version: c.version, Full: since == 0 || since > c.version,
				Servers: []Member{{ID: "s", Addr: "127.0.0.1:9", Zone: "b", State: "ready", Weight: float64(c.version)}}}) + "\n"
		}
		version, over := c.version, c.refuses
		if c.drips[r] {
			text, beat, version = "{", time.Second, since
			if dripped++; dripped > 1 {
				text = " "
			}
		}
		c.mu.Unlock()
		if over {
			return
		}
		if !quiet {
			first, since = first && dripped > 0, version
			if _, err := io.WriteString(w, text); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
		select {
		case <-stir:
		case <-time.After(beat):
		case <-r.Context().Done():
			return
		}
	}
}

// following is a follower that runs, and what it has posted.
type following struct {
	*Follower
	mu      sync.Mutex
	posts   []Update
	at      []time.Time
	ended   chan struct{}
	log     bytes.Buffer
	version float64 // by the weight of the only server
	part    int     // of each wait's ceiling, in a hundred; see module
	fails   int
	again   *time.Timer
}

func follow(t testing.TB, c *catalog, asked bool) *following {
	g := &following{ended: make(chan struct{}), part: -1}
	g.Follower = New(Config{Addr: "10.0.0.1:1", Asked: asked, ConnectTimeout: time.Second, Dial: c.dial, Post: func(u Update) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.posts, g.at = append(g.posts, u), append(g.at, time.Now())
		switch {
		case u.List.Kind == balancer.ListFailed && asked && g.part >= 0:
			g.failedNow()
		case len(u.List.Backends) > 0:
			g.version, g.fails = u.List.Backends[0].Weight, 0
		}
	}, Translator: Translator{Zones: []string{"a", "b"}, At: func(time.Time) time.Duration { return 0 },
		Log: slog.New(slog.NewTextHandler(&g.log, nil))}})
	g.Known(&Members{Version: 41})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { defer close(g.ended); g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-g.ended })
	return g
}

func (g *following) kinds() (list []balancer.ListKind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.posts {
		list = append(list, p.List.Kind)
	}
	return list
}

func (g *following) told() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.version)
}

// bubble runs a test on told time.
func bubble(t *testing.T, test func(t *testing.T)) { t.Helper(); synctest.Test(t, test) }

// A value is a value however it is laid out, and a bad one ends the watch alone: the next asks for the whole list.
func TestFormsOfValues(t *testing.T) {
	indented := func(m Members) string { raw, _ := json.MarshalIndent(m, "  ", "\t"); return "\n\r\n " + string(raw) }
	for name, form := range map[string]func(Members) string{
		"indented": indented,
		"two on a line": func(m Members) string {
			raw, _ := json.Marshal(m)
			return string(raw) + string(raw)
		},
		"long": func(m Members) string { return strings.Repeat(" ", maxValue/2) + indented(m) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := newCatalog(t)
				c.form = form
				g := follow(t, c, false)
				for v := int64(42); v < 45; v++ {
					c.set(func() { c.version = v })
					synctest.Wait()
					if g.told() != v {
						t.Fatalf("version %d, not %d: %s", g.told(), v, g.log.String())
					}
				}
				time.Sleep(time.Minute) // empty lines are signs of life
				if slices.Contains(g.kinds(), balancer.ListFailed) || len(c.calls) != 1 {
					t.Errorf("%d calls: %s", len(c.calls), g.log.String())
				}
			})
		})
	}
	for name, bad := range map[string]string{"cut short": `{"version":1,"servers":[}`, "no list": `{"version":7,"full":true}`, "a number": "17",
		"another kind": `{"version":"x","servers":[]}`, "endless": `{"version":1,"x":"` + strings.Repeat("x", maxValue+1<<17)} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := newCatalog(t)
				g := follow(t, c, false)
				synctest.Wait()
				good := c.form
				c.set(func() { c.version, c.form = 42, func(Members) string { return bad } })
				time.Sleep(time.Millisecond)
				c.set(func() { c.form = good })
				time.Sleep(time.Second)
				if g.told() != 42 || !slices.Contains(c.calls, "0") || !slices.Contains(g.kinds(), balancer.ListFailed) {
					t.Errorf("told %d, calls %v, %s", g.told(), c.calls, g.log.String())
				}
			})
		})
	}
}

// Where lists are asked for the module says when: a failure is told, and no call follows by itself.
func TestAskedWatches(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := newCatalog(t)
		g := follow(t, c, true)
		time.Sleep(time.Minute)
		c.set(func() { c.refuses = true })
		g.Subscribe()
		time.Sleep(time.Minute)
		if k := g.kinds(); len(c.calls) != 0 || len(k) != 1 || k[0] != balancer.ListFailed {
			t.Errorf("%d calls, posts %v", len(c.calls), k)
		}
		c.set(func() { c.refuses = false })
		g.Subscribe()
		synctest.Wait()
		g.Subscribe() // one is open
		time.Sleep(time.Minute)
		c.set(func() { c.hung = true }) // a call may wait: it is not made twice
		time.Sleep(silence + time.Millisecond)
		if k := g.kinds(); len(c.calls) != 1 || len(k) != 3 || k[1] != balancer.ListDelta || k[2] != balancer.ListFailed {
			t.Errorf("%d calls, posts %v", len(c.calls), k)
		}
	})
}

// Discovery may move at any time. The watch goes on at the new address at once, from the whole list, and nothing has failed.
func TestMove(t *testing.T) {
	for _, asked := range []bool{false, true} {
		for _, down := range []bool{false, true} {
			t.Run(fmt.Sprint("asked ", asked, " down ", down), func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					c := newCatalog(t)
					c.hung = down
					g := follow(t, c, asked)
					g.Subscribe()
					synctest.Wait()
					g.Move("10.0.0.1:1") // no move
					synctest.Wait()
					if len(c.calls) != 1 {
						t.Errorf("calls %v", c.calls)
					}
					c.set(func() { c.hung, c.version = false, 7 })
					g.Move("10.0.0.2:1")
					synctest.Wait()
					if got := c.calls[len(c.calls)-1]; got != "0" || g.told() != 7 || slices.Contains(g.kinds(), balancer.ListFailed) {
						t.Errorf("since %s, told %d, posts %v", got, g.told(), g.kinds())
					}
					time.Sleep(time.Minute)
					if len(c.calls) != 2 || len(c.mute) != 1 {
						t.Errorf("calls %v, %d of them open", c.calls, len(c.mute))
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
func TestNothingIsHeardTooLate(t *testing.T) {
	const grace = 500 * time.Millisecond
	for _, asked := range []bool{false, true} {
		t.Run(fmt.Sprint("asked ", asked), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				type step struct{ kind, ms, wait int } // drawn beforehand: a shrinking check ends where it draws
				steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
					return step{rapid.IntRange(0, 6).Draw(r, "kind"), rapid.IntRange(0, 9000).Draw(r, "ms"), rapid.IntRange(1, 100).Draw(r, "wait")}
				}), 1, 12).Draw(r, "steps")
				wrong := ""
				defer func() {
					if wrong != "" {
						r.Fatal(wrong)
					}
				}()
				bubble(t, func(t *testing.T) {
					c := newCatalog(t)
					g := follow(t, c, asked)
					g.module(steps[0].wait)
					synctest.Wait()
					var silent time.Time // since then nobody is spoken to; zero: all is well
					for i, s := range steps {
						g.setWait(s.wait)
						switch k := s.kind; {
						case k == 0:
							c.set(func() { c.hung = true })
						case k == 1: // all connections end, and no new one comes up
							c.set(func() { c.refuses = true })
						case k <= 3: // open watches fall silent for good; new ones are served, but the first may hang
							c.set(func() {
								c.hangs = (k - 2) * 2
								for w := range c.mute {
									c.mute[w] = true
								}
							})
						case k == 4: // open watches are kept alive by a value that never ends
							c.set(func() {
								for w := range c.mute {
									c.drips[w] = true
								}
							})
						case k == 5: // a replaced configuration, and another at once
							g.Move(fmt.Sprintf("10.0.1.%d:1", i))
							c.set(func() { c.hangs = s.wait % 3 })
							g.Move(fmt.Sprintf("10.0.2.%d:1", i))
						}
						if silent.IsZero() {
							silent = time.Now()
						}
						time.Sleep(time.Duration(s.ms) * time.Millisecond)
						outage := c.hung || c.refuses
						c.set(func() { c.version, c.hung, c.refuses = c.version+1, false, false })
						due := time.Until(silent.Add(ToldWithin))
						if asked && outage {
							due = ToldWithin // since it can be reached
						} else if outage || due < 0 {
							due = 0
						}
						time.Sleep(due + grace)
						synctest.Wait()
						if g.told() != c.version {
							wrong = fmt.Sprintf("step %d: version %d is known, not %d, %v after it counts as told; %s", i, g.told(), c.version, grace, g.log.String())
							return
						}
						silent = time.Time{}
					}
					if len(c.mute) > mostOpening+1 {
						wrong = fmt.Sprintf("%d watches are open", len(c.mute))
					}
				})
			})
		})
	}
}

// module asks for a watch at once, and after each failure as the module would: by the root's backoff, of which each wait
// here is this part of the ceiling, in a hundred.
func (g *following) module(part int) {
	g.Subscribe()
	g.part = part
}

func (g *following) setWait(part int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.part = part
}

// failedNow answers a failure as the module does. The lock is held.
func (g *following) failedNow() {
	g.fails++
	ceiling := ToldWithin / 64 << min(g.fails, 4)
	wait := ceiling * time.Duration(g.part) / 100
	if g.again != nil {
		g.again.Stop() // the latest timer counts
	}
	g.again = time.AfterFunc(wait, g.Subscribe)
}

// A watch whose value never ends is not alive by its bytes, and a new one that only shows signs of life does not end an
// older one that would have answered.
func TestSignsThatAreNone(t *testing.T) {
	for _, asked := range []bool{false, true} {
		bubble(t, func(t *testing.T) {
			c := newCatalog(t)
			g := follow(t, c, asked)
			g.module(50)
			synctest.Wait()
			c.set(func() {
				for w := range c.mute {
					c.drips[w] = true
				}
			})
			time.Sleep(time.Second)
			c.set(func() { c.version++ })
			time.Sleep(ToldWithin)
			synctest.Wait()
			if g.told() != c.version {
				t.Errorf("asked %v: a value that never ends kept its watch alive: %s", asked, g.log.String())
			}
		})
	}
	bubble(t, func(t *testing.T) {
		f := New(Config{Addr: "10.0.0.1:1", Post: func(Update) {}, Translator: Translator{Log: slog.New(slog.DiscardHandler)}})
		ends := map[*watch]bool{}
		opened := func() *watch {
			w := &watch{addr: f.addr, asked: true, began: time.Now()}
			w.drop = func() { ends[w] = true }
			f.opening = append(f.opening, w)
			return w
		}
		older, newer := opened(), opened()
		f.take(news{from: newer})
		if ends[older] || f.current != newer {
			t.Fatal("a sign of life ended the opening before")
		}
		f.take(news{from: older, list: &Members{Version: 50, Full: true}})
		if f.version != 50 || f.current != older || !ends[newer] {
			t.Errorf("version %d: the list of the older one was not taken", f.version)
		}
		late := opened()
		late.since = 40
		f.current.overdue = true
		f.take(news{from: late, list: &Members{Version: 45}})
		if f.version != 50 {
			t.Errorf("version %d by changes that are past", f.version)
		}
		f.take(news{from: late, list: &Members{Version: 30}}) // in its own stream a version may go back
		if f.version != 30 {
			t.Errorf("version %d", f.version)
		}
	})
}

// While discovery moves, the watch at the old address tells what it is told, until the new one has told a list; also where
// the new address is down, and is replaced by another.
func TestOldWatchTellsUntilTheNewOneDoes(t *testing.T) {
	for _, asked := range []bool{false, true} {
		bubble(t, func(t *testing.T) {
			c := newCatalog(t)
			c.shut = "10.0.0.2:1"
			g := follow(t, c, asked)
			g.module(50)
			synctest.Wait()
			g.Move("10.0.0.2:1")
			time.Sleep(time.Second)
			c.set(func() { c.version++ })
			if synctest.Wait(); g.told() != c.version {
				t.Errorf("asked %v: what the old address told did not count", asked)
			}
			c.set(func() { c.hangs = 1 })
			g.Move("10.0.0.3:1")
			synctest.Wait()
			c.set(func() { c.version++ })
			if synctest.Wait(); g.told() != c.version {
				t.Errorf("asked %v: what the old address told did not count, the second time", asked)
			}
			time.Sleep(ToldWithin)
			synctest.Wait()
			if len(c.mute) != 1 || g.current.addr != "10.0.0.3:1" {
				t.Errorf("asked %v: %d watches, at %s", asked, len(c.mute), g.current.addr)
			}
		})
	}
}

// A whole list that is empty is a list: nobody is there any more.
func TestEmptyList(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := newCatalog(t)
		g := follow(t, c, false)
		synctest.Wait()
		c.set(func() { c.form = func(Members) string { return `{"version":42,"full":true,"servers":[]}` } })
		c.set(func() { c.version = 42 })
		synctest.Wait()
		g.mu.Lock()
		defer g.mu.Unlock()
		if last := g.posts[len(g.posts)-1]; last.List.Kind != balancer.ListFull || len(last.List.Backends) != 0 || len(last.Addrs) != 0 {
			t.Errorf("%+v", last)
		}
	})
}

// A successor is handed the whole list, though discovery tells changes alone.
func TestWholeListIsHandedOn(t *testing.T) {
	w := whole{}
	w.merge(&Members{Version: 3, Servers: []Member{{ID: "a", State: "ready"}, {ID: "b", State: "ready"}, {ID: "c", State: "ready"}}}, true)
	w.merge(&Members{Version: 4, Servers: []Member{{ID: "b", State: "draining"}, {ID: "a", State: "gone"}, {ID: "d", State: "ready"}}}, false)
	got, text := w.members(4), ""
	for _, s := range got.Servers {
		text += s.ID + " " + s.State + " "
	}
	if got.Version != 4 || !got.Full || text != "b draining c ready d ready " {
		t.Errorf("version %d: %s", got.Version, text)
	}
}

// What makes no sense in a list is left out, and start times become the agent's.
func TestTranslation(t *testing.T) {
	base := time.UnixMilli(1e12)
	tr := Translator{Zones: []string{"a"}, Kinds: []string{"k"}, Log: slog.New(slog.DiscardHandler),
		At: func(at time.Time) time.Duration { return at.Sub(base) + time.Hour }}
	u := tr.Update(&Members{Servers: []Member{
		{ID: "new", Addr: "127.0.0.1:9", State: "ready", Zone: "a", Kind: "k", Cell: 3, Weight: 2, Started: base.Add(-3 * time.Second).UnixMilli()},
		{ID: "old", Addr: "127.0.0.1:9", State: "ready"},
		{ID: "odd", Addr: "nowhere", State: "ready"},
		{ID: "", Addr: "127.0.0.1:9", State: "ready"},
		{ID: "what", Addr: "127.0.0.1:9", State: "asleep"},
		{ID: "off", State: "gone"},
	}}, balancer.ListFull, 0)
	want := []balancer.Backend{{ID: "new", Cell: 3, Weight: 2, Started: time.Hour - 3*time.Second}, {ID: "old", Zone: -1, Kind: -1},
		{ID: "off", State: balancer.Gone, Zone: -1, Kind: -1}}
	if !slices.Equal(u.List.Backends, want) || len(u.Addrs) != 2 {
		t.Errorf("%+v", u)
	}
}
