package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
	"martenbeam/internal/fleet/source"
	"martenbeam/internal/residency"
)

// patience is how long a test waits for what must come: far more than it takes anywhere.
const patience = 30 * time.Second

var zones = []string{"a", "b"}

// one is a process's place in a fleet, run in this process over loopback sockets.
type one struct {
	*Fleet
	end   context.CancelFunc
	ended chan struct{}
	mu    sync.Mutex
	parts []float64
	log   bytes.Buffer
}

func (o *one) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.log.Write(p)
}

func begin(t *testing.T, c Config, seeds ...*one) *one {
	t.Helper()
	o := &one{ended: make(chan struct{})}
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Label == "" {
		c.Label = t.Name()
	}
	for _, s := range seeds {
		c.Seeds = append(c.Seeds, s.Addr())
	}
	c.Log, c.ListRate = slog.New(slog.NewTextHandler(o, nil)), 50
	var err error
	if o.Fleet, err = New(c, zones, Told{Part: func(p float64) { o.mu.Lock(); defer o.mu.Unlock(); o.parts = append(o.parts, p) }}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	o.end = cancel
	go func() {
		defer close(o.ended)
		if err := o.Run(ctx); err != nil {
			t.Log(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-o.ended })
	return o
}

func (o *one) part() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.parts) == 0 {
		return -1
	}
	return o.parts[len(o.parts)-1]
}

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

func fleetOf(t *testing.T, n, most int, tune func(i int, c *Config)) (list []*one) {
	for i := range n {
		c := Config{Name: fmt.Sprint("n", i), Site: zones[i%2], Most: most, Matrix: true}
		if tune != nil {
			tune(i, &c)
		}
		list = append(list, begin(t, c, list[:min(i, 1)]...))
	}
	waitFor(t, "the fleet", func() bool {
		for _, o := range list {
			if o.list.View().Len() != n {
				return false
			}
		}
		return true
	})
	return list
}

// Members meet, share what they measure, and each takes an even part; who says goodbye and who dies without is told apart,
// and what is certainly dead has its part taken by the others until it is back.
func TestMembersAndParts(t *testing.T) {
	t.Parallel()
	list := fleetOf(t, 4, 4, nil)
	for _, o := range list {
		waitFor(t, "an even part", func() bool { return o.part() == 0.25 })
	}
	waitFor(t, "round trips", func() bool {
		f := list[0].Fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		e, known := f.matrix.Of("a", "b")
		return known && e.Trip > 0 && e.Trip < 100*time.Millisecond
	})
	dead := list[3]
	addr := dead.Addr()
	// As a kill ends it: its sockets close and nobody is told.
	if err := dead.list.Abort(); err != nil {
		t.Fatal(err)
	}
	for _, o := range list[:3] {
		waitFor(t, "the dead one's part", func() bool { return o.part() == 1./3 })
	}
	again := begin(t, Config{Name: "n3", Site: "b", Most: 4, Listen: addr}, list[0])
	waitFor(t, "its part", func() bool { return again.part() == 0.25 })
	for _, o := range list[:3] {
		waitFor(t, "its part given back", func() bool { return o.part() == 0.25 })
	}
	if first := again.parts[0]; first != thin/4 {
		t.Errorf("it began with %v of the limit", first)
	}
}

// A matrix stands until a row says something else or goes past its bound; meanwhile each look at it is a use in the trace,
// within the bound.
func TestMatrixStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var trace bytes.Buffer
		f, err := New(Config{Name: "x", Site: "a", Most: 1, Listen: "127.0.0.1:0", Matrix: true, Trace: &trace, Log: slog.New(slog.DiscardHandler)}, zones, Told{})
		if err != nil {
			t.Fatal(err)
		}
		defer f.list.Abort()
		row := func(us int) []byte {
			type entry struct {
				Site   string `cbor:"1,keyasint"`
				Micros int    `cbor:"2,keyasint"`
				Count  int    `cbor:"5,keyasint"`
			}
			body, _ := cbor.Marshal(map[int][]entry{1: {{"b", us, 3}}})
			return body
		}
		for i, step := range []struct{ us, made, known int }{{100, 1, 1}, {100, 1, 1}, {200, 2, 1}, {0, 3, 0}} {
			if step.us > 0 {
				f.facts.Tell(gossip.Distance, "a", row(step.us))
			}
			for n := 0; n < 12 || step.us == 0 && n < 40; n++ {
				time.Sleep(gossip.TickEvery)
				trace.Reset()
				f.facts.Tick()
				f.measure()
				for line := range bytes.Lines(trace.Bytes()) {
					var use struct{ Age int64 }
					if json.Unmarshal(line, &use) != nil || time.Duration(use.Age)*time.Microsecond > gossip.DefaultBounds[gossip.Distance] {
						t.Errorf("step %d: %s", i, line)
					}
				}
				if uses := bytes.Count(trace.Bytes(), []byte(`"use"`)); uses != len(f.matrix) {
					t.Errorf("step %d: %d uses of a matrix of %d", i, uses, len(f.matrix))
				}
			}
			if f.made != step.made || len(f.matrix) != step.known {
				t.Errorf("step %d: made %d times, %d pairs", i, f.made, len(f.matrix))
			}
		}
		f.cfg.Trace = nil
		if n := testing.AllocsPerRun(10, f.measure); n > 0 {
			t.Errorf("%v allocations while nothing changes", n)
		}
	})
}

// A process that is met by nobody serves with its even part once nobody can use that any more, and a fleet of another label
// is another fleet.
func TestAlone(t *testing.T) {
	t.Parallel()
	a := begin(t, Config{Name: "x", Site: "a", Most: 5, Label: "one"})
	b := begin(t, Config{Name: "y", Site: "a", Most: 5, Label: "two"}, a)
	for _, o := range []*one{a, b} {
		waitFor(t, "an even part", func() bool { return o.part() == 0.2 })
		if o.list.View().Len() != 1 {
			t.Error("two labels have met")
		}
	}
}

// Of two processes with one name, one leaves with an error, and both serve.
func TestOneNameTwice(t *testing.T) {
	t.Parallel()
	list := fleetOf(t, 2, 3, nil)
	twin := begin(t, Config{Name: "n1", Site: "a", Most: 3}, list[0])
	says := func(o *one) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return bytes.Contains(o.log.Bytes(), []byte("leaves the fleet"))
	}
	waitFor(t, "one of them to leave", func() bool { return says(twin) || says(list[1]) })
	if says(list[0]) {
		t.Error("another one left")
	}
}

// A relay hands the service's list on: whole to a newcomer, changes to who follows, nothing that is old or that it has by
// another relay; and who is no relay asks one first, and the service when no relay answers.
func TestRelays(t *testing.T) {
	t.Parallel()
	list := fleetOf(t, 3, 3, func(_ int, c *Config) { c.Site, c.Relayed = "a", true })
	relays := list[0].relays()
	if len(relays) != 1 {
		t.Fatalf("%d relays", len(relays))
	}
	var relay, other *one
	for _, o := range list {
		if o.cfg.Name == relays[0].Name {
			relay = o
		} else {
			other = o
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if s, ok := relay.Next(ctx, 0); !ok || s.Relayed {
		t.Errorf("the relay asks %+v", s)
	}
	s, ok := other.Next(ctx, 0)
	if !ok || !s.Relayed || s.Addr != relay.Addr() {
		t.Fatalf("another asks %+v", s)
	}
	if s, ok := other.Next(ctx, relayTries); !ok || s.Relayed {
		t.Errorf("after its tries another asks %+v", s)
	}
	ask := func(since int) (*json.Decoder, func()) {
		client := &http.Client{Transport: &http.Transport{DialContext: other.Dial, DisableKeepAlives: true}}
		ctx, cancel := context.WithCancel(ctx)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/catalog/members?follow=1&since=%d", s.Addr, since), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK {
			cancel()
			resp.Body.Close()
			return nil, func() {}
		}
		return json.NewDecoder(resp.Body), func() { cancel(); resp.Body.Close() }
	}
	if d, end := ask(0); d != nil { // nothing was heard of the service for longer than a relay may go on
		end()
		t.Error("a relay that has nothing answers")
	}
	version := func(d *json.Decoder) (m struct {
		Version int
		Full    bool
	}) {
		if err := d.Decode(&m); err != nil {
			t.Fatal(err)
		}
		return m
	}
	relay.Heard(source.Source{})
	relay.Listed(source.Source{}, 0, 7, nil, []byte(`{"version":7,"full":true}`))
	relay.Listed(source.Source{Relayed: true}, 7, 99, []byte(`{"version":99}`), []byte(`{"version":99,"full":true}`))
	d, end := ask(0)
	defer end()
	if m := version(d); m.Version != 7 || !m.Full {
		t.Errorf("%+v", m)
	}
	relay.Heard(source.Source{})
	relay.Listed(source.Source{}, 7, 8, []byte(`{"version":8}`), []byte(`{"version":8,"full":true}`))
	if m := version(d); m.Version != 8 || m.Full {
		t.Errorf("%+v", m)
	}
	for since, full := range map[int]bool{7: false, 3: true} {
		d, end := ask(since)
		if m := version(d); m.Version != 8 || m.Full != full {
			t.Errorf("since %d: %+v", since, m)
		}
		end()
	}
}

// A policy given to one source comes to all, a higher version replaces it, and two under one number hold together.
func TestPolicyGoesRound(t *testing.T) {
	t.Parallel()
	text := func(version int, region string) string {
		return fmt.Sprintf("version = %d\n[regions]\nx = [\"a\"]\ny = [\"b\"]\n[others]\npermitted = [%s]\n", version, region)
	}
	holders := map[int]*residency.Holder{}
	list := fleetOf(t, 3, 3, func(i int, c *Config) {
		c.Source = i < 2
		holders[i] = residency.NewHolder(zones, time.Minute, c.Source, slog.New(slog.DiscardHandler), nil)
		c.Residency = holders[i]
	})
	holds := func(a, b bool) func() bool {
		return func() bool {
			for i := range list {
				rule := holders[i].Rule("t", "c")
				if table := holders[i].Table(); table.Permits(rule, 0) != a || table.Permits(rule, 1) != b {
					return false
				}
			}
			return true
		}
	}
	give := func(i, version int, region string) {
		if err := holders[i].Take(int64(version), text(version, region)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "nothing permitted", holds(false, false))
	give(0, 1, `"x", "y"`)
	waitFor(t, "the first policy", holds(true, true))
	give(0, 2, `"x"`)
	waitFor(t, "the second policy", holds(true, false))
	give(1, 2, `"y"`)
	waitFor(t, "what both permit", holds(false, false))
	give(1, 3, `"y"`)
	waitFor(t, "the third policy", holds(false, true))
}

// Two processes of one agent stand side by side while the platform replaces one: the younger waits for the address.
func TestAddressIsTakenOver(t *testing.T) {
	t.Parallel()
	list := fleetOf(t, 2, 2, nil)
	held := list[1].Addr()
	if _, err := New(Config{Name: "n1", Listen: held, Most: 2, Log: slog.New(slog.DiscardHandler)}, zones, Told{}); err == nil {
		t.Error("an address that is taken is no error")
	}
	next := begin(t, Config{Name: "n1", Site: "b", Most: 2, Listen: held, Await: true}, list[0])
	if _, err := next.list.Write([]byte("x"), list[0].list.Addr()); err == nil {
		t.Error("it speaks without an address")
	}
	list[1].end()
	<-list[1].ended
	waitFor(t, "the younger process", func() bool { return next.list.View().Len() == 2 && list[0].list.View().Len() == 2 })
}

// What comes to the fleet's address and makes no sense harms nothing.
func TestNonsense(t *testing.T) {
	t.Parallel()
	list := fleetOf(t, 2, 2, nil)
	c, err := net.Dial("udp", list[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, text := range []string{"x", "\xd7", "\xd7\x02aaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "\xf4\xff", "\x08garbage", string(make([]byte, 9000))} {
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if s, err := net.Dial("tcp", list[0].Addr()); err == nil {
			_, _ = s.Write([]byte(text)) // it may be closed already
			s.Close()
		}
	}
	list[0].facts.Tell(gossip.Service, "x", nil)
	waitFor(t, "a fact at the other", func() bool { return len(list[1].facts.Now(gossip.Service)) > 0 })
	if list[1].list.View().Len() != 2 || list[0].list.View().At(0).Phase != member.Starting {
		t.Error("a member is lost")
	}
}
