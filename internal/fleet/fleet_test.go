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
const waitTimeout = 30 * time.Second

var zones = []string{"a", "b"}

// testProcess is a process's place in a fleet, run in this process over loopback sockets.
type testProcess struct {
	*Fleet
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	quotas []float64
	log    bytes.Buffer
}

func (o *testProcess) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.log.Write(p)
}

func startProcess(t *testing.T, c Config, seeds ...*testProcess) *testProcess {
	t.Helper()
	o := &testProcess{done: make(chan struct{})}
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
	if o.Fleet, err = New(c, zones, Callbacks{Quota: func(p float64) { o.mu.Lock(); defer o.mu.Unlock(); o.quotas = append(o.quotas, p) }}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go func() {
		defer close(o.done)
		if err := o.Run(ctx); err != nil {
			t.Log(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-o.done })
	return o
}

func (o *testProcess) lastQuota() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.quotas) == 0 {
		return -1
	}
	return o.quotas[len(o.quotas)-1]
}

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

func startFleet(t *testing.T, n, maxMembers int, tune func(i int, c *Config)) (list []*testProcess) {
	for i := range n {
		c := Config{Name: fmt.Sprint("n", i), Site: zones[i%2], MaxMembers: maxMembers, MeasureLatency: true}
		if tune != nil {
			tune(i, &c)
		}
		list = append(list, startProcess(t, c, list[:min(i, 1)]...))
	}
	waitFor(t, "the fleet", func() bool {
		for _, o := range list {
			if o.members.View().Len() != n {
				return false
			}
		}
		return true
	})
	return list
}

// Members meet, share what they measure, and each takes an even part; who says goodbye and who dies without is told apart,
// and what is certainly dead has its part taken by the others until it is back.
func TestQuotaFollowsMembership(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 4, 4, nil)
	for _, o := range list {
		waitFor(t, "an even part", func() bool { return o.lastQuota() == 0.25 })
	}
	waitFor(t, "round trips", func() bool {
		f := list[0].Fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		e, known := f.matrix.Between("a", "b")
		return known && e.RTT > 0 && e.RTT < 100*time.Millisecond
	})
	dead := list[3]
	addr := dead.Addr()
	// As a kill ends it: its sockets close and nobody is told.
	if err := dead.members.Abort(); err != nil {
		t.Fatal(err)
	}
	for _, o := range list[:3] {
		waitFor(t, "the dead one's part", func() bool { return o.lastQuota() == 1./3 })
	}
	again := startProcess(t, Config{Name: "n3", Site: "b", MaxMembers: 4, Listen: addr}, list[0])
	waitFor(t, "its part", func() bool { return again.lastQuota() == 0.25 })
	for _, o := range list[:3] {
		waitFor(t, "its part given back", func() bool { return o.lastQuota() == 0.25 })
	}
	if first := again.quotas[0]; first != startupQuotaFactor/4 {
		t.Errorf("it began with %v of the limit", first)
	}
}

// A matrix stands until a row says something else or goes past its bound; meanwhile each look at it is a use in the trace,
// within the bound.
func TestMatrixIsRebuiltOnlyOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var trace bytes.Buffer
		f, err := New(Config{Name: "x", Site: "a", MaxMembers: 1, Listen: "127.0.0.1:0", MeasureLatency: true, Trace: &trace, Log: slog.New(slog.DiscardHandler)}, zones, Callbacks{})
		if err != nil {
			t.Fatal(err)
		}
		defer f.members.Abort()
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
				f.store.Publish(gossip.LatencyRow, "a", row(step.us))
			}
			for n := 0; n < 12 || step.us == 0 && n < 40; n++ {
				time.Sleep(gossip.TickInterval)
				trace.Reset()
				f.store.Tick()
				f.publishLatencies()
				for line := range bytes.Lines(trace.Bytes()) {
					var use struct{ Age int64 }
					if json.Unmarshal(line, &use) != nil || time.Duration(use.Age)*time.Microsecond > gossip.DefaultAgeBounds[gossip.LatencyRow] {
						t.Errorf("step %d: %s", i, line)
					}
				}
				if uses := bytes.Count(trace.Bytes(), []byte(`"use"`)); uses != len(f.matrix) {
					t.Errorf("step %d: %d uses of a matrix of %d", i, uses, len(f.matrix))
				}
			}
			if f.matrixBuilds != step.made || len(f.matrix) != step.known {
				t.Errorf("step %d: made %d times, %d pairs", i, f.matrixBuilds, len(f.matrix))
			}
		}
		f.cfg.Trace = nil
		if n := testing.AllocsPerRun(10, f.publishLatencies); n > 0 {
			t.Errorf("%v allocations while nothing changes", n)
		}
	})
}

// A process that is met by nobody serves with its even part once nobody can use that any more, and a fleet of another label
// is another fleet.
func TestLoneProcessGetsItsEvenQuota(t *testing.T) {
	t.Parallel()
	a := startProcess(t, Config{Name: "x", Site: "a", MaxMembers: 5, Label: "one"})
	b := startProcess(t, Config{Name: "y", Site: "a", MaxMembers: 5, Label: "two"}, a)
	for _, o := range []*testProcess{a, b} {
		waitFor(t, "an even part", func() bool { return o.lastQuota() == 0.2 })
		if o.members.View().Len() != 1 {
			t.Error("two labels have met")
		}
	}
}

// Of two processes with one name, one leaves with an error, and both serve.
func TestOneOfTwoProcessesWithOneNameLeaves(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 2, 3, nil)
	twin := startProcess(t, Config{Name: "n1", Site: "a", MaxMembers: 3}, list[0])
	says := func(o *testProcess) bool {
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
func TestRelayForwardsTheServicesList(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 3, 3, func(_ int, c *Config) { c.Site, c.RelayedLists = "a", true })
	relays := list[0].relayMembers()
	if len(relays) != 1 {
		t.Fatalf("%d relays", len(relays))
	}
	var relay, other *testProcess
	for _, o := range list {
		if o.cfg.Name == relays[0].Name {
			relay = o
		} else {
			other = o
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if s, ok := relay.Next(ctx, 0); !ok || s.Relayed {
		t.Errorf("the relay asks %+v", s)
	}
	s, ok := other.Next(ctx, 0)
	if !ok || !s.Relayed || s.Addr != relay.Addr() {
		t.Fatalf("another asks %+v", s)
	}
	if s, ok := other.Next(ctx, maxRelayAttempts); !ok || s.Relayed {
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
	relay.RecordLiveness(source.Source{})
	relay.RecordUpdate(source.Source{}, 0, 7, nil, []byte(`{"version":7,"full":true}`))
	relay.RecordUpdate(source.Source{Relayed: true}, 7, 99, []byte(`{"version":99}`), []byte(`{"version":99,"full":true}`))
	d, end := ask(0)
	defer end()
	if m := version(d); m.Version != 7 || !m.Full {
		t.Errorf("%+v", m)
	}
	relay.RecordLiveness(source.Source{})
	relay.RecordUpdate(source.Source{}, 7, 8, []byte(`{"version":8}`), []byte(`{"version":8,"full":true}`))
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
func TestPolicyReachesAllMembers(t *testing.T) {
	t.Parallel()
	text := func(version int, region string) string {
		return fmt.Sprintf("version = %d\n[regions]\nx = [\"a\"]\ny = [\"b\"]\n[others]\npermitted = [%s]\n", version, region)
	}
	holders := map[int]*residency.Holder{}
	list := startFleet(t, 3, 3, func(i int, c *Config) {
		c.PolicySource = i < 2
		holders[i] = residency.NewHolder(zones, time.Minute, c.PolicySource, slog.New(slog.DiscardHandler), nil)
		c.Residency = holders[i]
	})
	holds := func(a, b bool) func() bool {
		return func() bool {
			for i := range list {
				rule := holders[i].RuleID("t", "c")
				if table := holders[i].Table(); table.Permits(rule, 0) != a || table.Permits(rule, 1) != b {
					return false
				}
			}
			return true
		}
	}
	give := func(i, version int, region string) {
		if err := holders[i].Apply(int64(version), text(version, region)); err != nil {
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
func TestYoungerProcessTakesOverTheAddress(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 2, 2, nil)
	held := list[1].Addr()
	if _, err := New(Config{Name: "n1", Listen: held, MaxMembers: 2, Log: slog.New(slog.DiscardHandler)}, zones, Callbacks{}); err == nil {
		t.Error("an address that is taken is no error")
	}
	next := startProcess(t, Config{Name: "n1", Site: "b", MaxMembers: 2, Listen: held, AwaitAddress: true}, list[0])
	if _, err := next.members.SendProbe([]byte("x"), list[0].members.Addr()); err == nil {
		t.Error("it speaks without an address")
	}
	list[1].cancel()
	<-list[1].done
	waitFor(t, "the younger process", func() bool { return next.members.View().Len() == 2 && list[0].members.View().Len() == 2 })
}

// What comes to the fleet's address and makes no sense harms nothing.
func TestMalformedInputIsHarmless(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 2, 2, nil)
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
	list[0].store.Publish(gossip.ListServiceLoad, "x", nil)
	waitFor(t, "a fact at the other", func() bool { return len(list[1].store.Entries(gossip.ListServiceLoad)) > 0 })
	if list[1].members.View().Len() != 2 || list[0].members.View().At(0).Phase != member.Starting {
		t.Error("a member is lost")
	}
}
