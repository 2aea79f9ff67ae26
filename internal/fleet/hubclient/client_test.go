package hubclient

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/residency"
)

// run runs a task, and returns what ends it and waits for that.
func run(t *testing.T, task func(context.Context) error) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := task(ctx); err != nil {
			t.Error(err)
		}
	}()
	end = func() { cancel(); <-done }
	t.Cleanup(end)
	return end
}

func (a *agent) at(hub string) func() bool { return func() bool { return a.Known().Hub == hub } }
func (a *agent) has(part float64) func() bool {
	return func() bool { return a.Known().Part == part }
}

func (a *agent) trip(d time.Duration) func() bool {
	return func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.trips) == 2 && a.trips[1] == d }
}

// heard is the next thing that came to a hub.
func (h *standin) heard(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-h.came:
		if got != want {
			t.Errorf("%s heard %q, not %q", h.name, got, want)
		}
	case <-time.After(patience):
		t.Fatalf("%s never heard %q", h.name, want)
	}
}

// A hub is killed: the next one has the agent, and what that one tells holds. The agent's own hub comes back: the agent goes
// home, attached there before it lets go, without a goodbye. It ends: its hub hears a goodbye, and then the end.
func TestAHubIsKilledAndComesBack(t *testing.T) {
	t.Parallel()
	a, b := newStandin(t, "a"), newStandin(t, "b")
	a.census, b.census, b.trip = hub.Census{Attached: 3, Gone: 2}, hub.Census{Attached: 4, Gone: 5}, 7000
	x := newAgent(t, nil, a, b)
	await(t, "the part by a's word", x.has(1./8))
	await(t, "the distances by a's word", x.trip(time.Millisecond))
	if x.mu.Lock(); x.parts[0] != 0.01 {
		t.Errorf("it starts with a part of %v", x.parts[0])
	}
	x.mu.Unlock()
	a.heard(t, "hello")
	a.kill()
	a.heard(t, "end")
	await(t, "the stream to b", x.at("b"))
	await(t, "the part by b's word", x.has(1./5))
	await(t, "the distances by b's word", x.trip(7*time.Millisecond))
	b.heard(t, "hello")
	a.start(t, a.addr)
	a.heard(t, "hello")
	b.heard(t, "end")
	await(t, "the stream to a", x.at("a"))
	x.end()
	a.heard(t, "bye")
	a.heard(t, "end")
}

// A hub falls silent, and its stream stays: the agent goes to another, and home when it speaks again. Meanwhile the word of
// who is dead grows too old, and only an even part is left.
func TestAHubFallsSilent(t *testing.T) {
	t.Parallel()
	a, b := newStandin(t, "a"), newStandin(t, "b")
	a.census = hub.Census{Gone: 5}
	b.mute.Store(true)
	x := newAgent(t, nil, a, b)
	await(t, "the part by a's word", x.has(1./5))
	a.silent.Store(true)
	await(t, "the stream to b", x.at("b"))
	await(t, "an even part", x.has(1./10))
	a.silent.Store(false)
	await(t, "the stream to a", x.at("a"))
	await(t, "the part by a's word", x.has(1./5))
}

// The way to or from a hub is cut while the other way holds: the agent goes to another hub.
func TestAWayIsCutOneWay(t *testing.T) {
	for name, cut := range map[string]func(*cable){"up": func(w *cable) { w.up.Store(loses) }, "down": func(w *cable) { w.down.Store(loses) }} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newStandin(t, "a"), newStandin(t, "b")
			way := newCable(t, a.addr)
			x := newAgent(t, func(c *Config) { c.Hubs[0].Addr = way.addr }, a, b)
			await(t, "the stream to a", x.at("a"))
			await(t, "a state that came back", func() bool { return x.stream.lastEchoed() })
			cut(way)
			await(t, "the stream to b", x.at("b"))
		})
	}
}

func (x *stream) lastEchoed() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.echoed.IsZero()
}

// What stood still on its way for longer than its bound comes all at once, and is not used.
func TestAStandstillMakesNothingFresh(t *testing.T) {
	t.Parallel()
	a := newStandin(t, "a")
	way := newCable(t, a.addr)
	x := newAgent(t, func(c *Config) {
		c.Hubs[0].Addr = way.addr
		c.Bounds = gossip.Bounds{gossip.Census: 700 * time.Millisecond}
	}, a)
	await(t, "an even part", x.has(1./10))
	await(t, "a state that came back", func() bool { return x.stream.lastEchoed() })
	way.down.Store(keeps)
	a.mu.Lock()
	a.census.Gone = 5 // in frames that are kept on the way
	a.mu.Unlock()
	at := a.seq.Load()
	await(t, "frames that are kept", func() bool { return a.seq.Load() > at+6 })
	a.mute.Store(true)
	time.Sleep(time.Second) // so old they are to be at the least; nothing waits for it
	way.down.Store(passes)
	held := x.facts.Stats().Kinds["census"].Refused
	await(t, "the old frames", func() bool { return x.facts.Stats().Kinds["census"].Refused > held })
	x.mu.Lock()
	defer x.mu.Unlock()
	if slices.Contains(x.parts, 1./5) {
		t.Errorf("an old word was used: parts %v", x.parts)
	}
}

// A hub whose messages take longer and longer counts as failing.
func TestAHubIsSlow(t *testing.T) {
	t.Parallel()
	a, b := newStandin(t, "a"), newStandin(t, "b")
	x := newAgent(t, nil, a, b)
	await(t, "the stream to a", x.at("a"))
	await(t, "a state that came back", func() bool { return x.stream.lastEchoed() })
	a.mu.Lock()
	a.born = a.born.Add(1500 * time.Millisecond) // its words are as if written so long ago
	a.mu.Unlock()
	await(t, "the stream to b", x.at("b"))
}

// A busy hub is asked again when it said and no sooner, and after three times another is.
func TestABusyHubIsHeeded(t *testing.T) {
	t.Parallel()
	const after = 400 * time.Millisecond
	a, b := newStandin(t, "a"), newStandin(t, "b")
	a.busy.Store(int64(after))
	x := newAgent(t, nil, a, b)
	await(t, "the stream to a", x.at("a"))
	a.mu.Lock()
	defer a.mu.Unlock()
	if d := a.helloAt[1].Sub(a.helloAt[0]); d < after {
		t.Errorf("it came again after %v", d)
	}
}

// Policies never go back: a hub with an older version is not asked for its text.
func TestAnOlderVersionIsNotTaken(t *testing.T) {
	t.Parallel()
	text := func(v string) string {
		return "version = " + v + "\n[regions]\nr = [\"a\"]\n[others]\npermitted = [\"*\"]\n"
	}
	h := residency.NewHolder([]string{"a", "b"}, time.Minute, false, slog.New(slog.DiscardHandler), nil)
	if err := h.Take(3, text("3")); err != nil {
		t.Fatal(err)
	}
	a, b := newStandin(t, "a"), newStandin(t, "b")
	a.policy = documents.Standing{Version: 3, Digests: []string{residency.Digest(text("3"))}}
	b.policy, b.trip = documents.Standing{Version: 2, Digests: []string{"older"}}, 7000
	x := newAgent(t, func(c *Config) { c.Residency = h }, a, b)
	await(t, "the stream to a", x.at("a"))
	await(t, "a's word", func() bool { return !h.State().Stale })
	a.kill()
	await(t, "b's word", x.trip(7*time.Millisecond))
	b.mu.Lock()
	b.policy = documents.Standing{Version: 4, Digests: []string{"newer"}}
	b.mu.Unlock()
	asked := func(digest string) (n int) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, d := range b.asked {
			if d == digest {
				n++
			}
		}
		return n
	}
	await(t, "the newer text asked for again", func() bool { return asked("newer") > 1 }) // the older's turn would be over by then
	if asked("older") > 0 || x.Known().Policy != 3 {
		t.Errorf("the older text was asked for %d times, version %d", asked("older"), x.Known().Policy)
	}
}

// A hub of an older program, which tells nothing but its name: the agent stays, and takes an even part in the end.
func TestAnOlderHub(t *testing.T) {
	t.Parallel()
	a := newStandin(t, "a")
	a.old = true
	x := newAgent(t, nil, a)
	await(t, "the stream to a", x.at("a"))
	await(t, "an even part", x.has(1./10))
	if x.Known().Hub != "a" {
		t.Error("it did not stay")
	}
}

// Without hubs the flat fleet runs, and ends when one is back. The address never refuses a connection meanwhile, and no part
// is above what both rules give.
func TestBackToTheFlatFleet(t *testing.T) {
	t.Parallel()
	a := newStandin(t, "a")
	a.kill()
	a.census = hub.Census{Attached: 2, Gone: 5}
	x := newAgent(t, func(c *Config) {
		c.Flat = func(door *net.TCPListener, began time.Time, told fleet.Told) (*fleet.Fleet, error) {
			return fleet.New(fleet.Config{Name: "x", Site: "a", Listen: door.Addr().String(), Door: door, Since: began, Label: "l", Most: 10, ListRate: 50,
				Log: slog.New(slog.DiscardHandler)}, []string{"a", "b"}, told)
		}
	}, a)
	addr := x.door.address()
	refused := make(chan int)
	stop := make(chan struct{})
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				refused <- n
				return
			default:
			}
			c, err := net.Dial("tcp", addr)
			if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
				n++
			}
			if err == nil {
				c.Close()
			}
			time.Sleep(time.Millisecond)
		}
	}()
	await(t, "the flat fleet", func() bool { return x.Known().Flat })
	await(t, "an even part", x.has(1./10))
	a.start(t, a.addr)
	await(t, "the part by a's word", x.has(1./5))
	if x.Known().Flat {
		t.Error("the flat fleet still runs")
	}
	close(stop)
	if n := <-refused; n > 0 {
		t.Errorf("%d connections were refused", n)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !slices.Equal(x.parts, []float64{thin / 10, 1. / 10, 1. / 5}) {
		t.Errorf("parts %v", x.parts)
	}
}
