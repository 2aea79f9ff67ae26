package hub

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

// patience is how long a test waits for what must come: far more than it takes anywhere.
const patience = 30 * time.Second

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

// one is a hub, run in this process over loopback sockets.
type one struct {
	*Server
	fleet *fleet.Fleet
	end   func()
}

func begin(t *testing.T, name string, most int, tune func(*Config), seeds ...*one) *one {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	c := Config{Name: name, Label: t.Name(), Incarnation: uint64(time.Now().UnixMilli()), Most: most, Log: log}
	if tune != nil {
		tune(&c)
	}
	o := &one{Server: New(c)}
	fc := fleet.Config{Name: name, Site: "a", Listen: "127.0.0.1:0", Label: t.Name(), Most: most, ListRate: 50, Hub: true, Calls: o.Server, Settings: c.Settings, Log: log}
	for _, s := range seeds {
		fc.Seeds = append(fc.Seeds, s.fleet.Addr())
	}
	var err error
	if o.fleet, err = fleet.New(fc, []string{"a", "b"}, fleet.Told{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = o.fleet.Run(ctx) })
	tasks.Go(func() { o.Run(ctx, o.fleet) })
	o.end = func() { cancel(); tasks.Wait() }
	t.Cleanup(o.end)
	waitFor(t, "a hub that is ready", o.ready.Load)
	return o
}

// hubs are some that have met.
func hubs(t *testing.T, n, most int) (list []*one) {
	t.Helper()
	for i := range n {
		list = append(list, begin(t, fmt.Sprint("hub", i), most, nil, list...))
	}
	for _, o := range list {
		waitFor(t, "the other hubs", func() bool { return len(o.fleet.Hubs()) == n-1 })
	}
	return list
}

// agent attaches as the other side does, and keeps what it is told.
type attached struct {
	conn  net.Conn
	facts *gossip.Store
	over  chan struct{}
	stop  sync.Once

	mu      sync.Mutex
	sure    bool
	welcome *frame.Welcome
	busy    *frame.Busy
}

// process is an address that is there as long as a process lives.
func process(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

var errStatus = errors.New("status")

// dial upgrades a connection.
func dial(addr, label string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n\r\n", frame.Path, frame.Protocol, LabelHeader, label)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		conn.Close()
		if err == nil {
			err = fmt.Errorf("%w %d", errStatus, resp.StatusCode)
		}
		return nil, nil, err
	}
	return conn, r, nil
}

func attach(t *testing.T, o *one, h frame.Hello, st *frame.State) *attached {
	t.Helper()
	h.Label = t.Name()
	a := &attached{facts: gossip.New(h.Name, h.Incarnation, gossip.DefaultBounds, nil), over: make(chan struct{})}
	conn, r, err := dial(o.fleet.Addr(), h.Label)
	if err != nil {
		t.Fatal(err)
	}
	a.conn = conn
	if err := send(conn, &frame.Frame{Hello: &h}); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(a.over)
		for {
			f, err := frame.Read(r)
			if err != nil {
				return
			}
			a.mu.Lock()
			a.sure = a.sure || f.Sure
			if f.Welcome != nil {
				a.welcome = f.Welcome
			}
			if f.Busy != nil {
				a.busy = f.Busy
			}
			a.mu.Unlock()
			if len(f.Facts) > 0 {
				_ = a.facts.Hear(f.Facts)
			}
		}
	}()
	go func() {
		tick := time.NewTicker(gossip.TickEvery)
		defer tick.Stop()
		for n := uint32(0); ; n++ {
			a.facts.Tick()
			if st != nil && n%5 == 0 {
				now := *st
				now.Seq = n
				if send(conn, &frame.Frame{State: &now}) != nil {
					return
				}
			}
			select {
			case <-a.over:
				return
			case <-tick.C:
			}
		}
	}()
	t.Cleanup(a.end)
	return a
}

func (a *attached) end() { a.stop.Do(func() { a.conn.Close(); <-a.over }) }

func (a *attached) ended() bool {
	select {
	case <-a.over:
		return true
	default:
		return false
	}
}

func (a *attached) isSure() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.sure }

func (a *attached) census() (c Census) {
	for _, f := range a.facts.Now(gossip.Census) {
		c, _ = ParseCensus(f.Body)
	}
	return c
}

var serving = &frame.State{Serving: true}

// Agents of several hubs are counted together; one that is dead for certain counts once, though two hubs lost it, as does
// one that said goodbye; and one that is back counts no more.
func TestCensus(t *testing.T) {
	t.Parallel()
	list := hubs(t, 3, 10)
	a := attach(t, list[0], frame.Hello{Name: "a", Incarnation: 1}, serving)
	b := attach(t, list[1], frame.Hello{Name: "b", Incarnation: 1}, &frame.State{})
	p, q := process(t), process(t)
	c1 := attach(t, list[1], frame.Hello{Name: "c", Incarnation: 1, Addr: p.Addr().String()}, serving)
	waitFor(t, "three agents", func() bool { return a.census() == Census{3, 1, 0} && b.census() == Census{3, 1, 0} })
	d := attach(t, list[2], frame.Hello{Name: "d", Incarnation: 1, Addr: q.Addr().String()}, serving)
	waitFor(t, "that nobody else uses a part", func() bool { return a.isSure() && d.isSure() })
	c2 := attach(t, list[2], frame.Hello{Name: "c", Incarnation: 1, Addr: p.Addr().String()}, serving)
	waitFor(t, "five streams", func() bool { return a.census().Attached == 5 })
	// Its process is dead, and both hubs have lost it.
	list[1].roll.mu.Lock()
	clear(list[1].roll.elsewhere)
	list[1].roll.mu.Unlock()
	list[2].roll.mu.Lock()
	clear(list[2].roll.elsewhere)
	list[2].roll.mu.Unlock()
	p.Close()
	c1.end()
	c2.end()
	waitFor(t, "a dead one", func() bool { return a.census() == Census{3, 1, 1} && b.census() == Census{3, 1, 1} })
	// One that says goodbye is dead at once.
	if err := send(d.conn, &frame.Frame{Bye: true}); err != nil {
		t.Fatal(err)
	}
	q.Close()
	waitFor(t, "two that are dead", func() bool { return a.census() == Census{2, 1, 2} })
	for _, o := range list[1:] {
		names := o.roll.certain(3*time.Second, time.Now())
		if len(names) == 0 || len(names) > 2 {
			t.Errorf("%s says of %d that they are dead", o.cfg.Name, len(names))
		}
	}
	// It is back, elsewhere, and nobody may count it as dead for long; and it is not told that its part is its own while anyone may.
	back := attach(t, list[0], frame.Hello{Name: "c", Incarnation: 2, Addr: process(t).Addr().String()}, serving)
	waitFor(t, "it back", func() bool { return a.census() == Census{3, 1, 1} && b.census() == Census{3, 1, 1} })
	if back.isSure() {
		t.Error("it is told that its part is its own, and some may still use it")
	}
	waitFor(t, "its part", back.isSure)
	waitFor(t, "it looked for no more", func() bool { return len(list[1].roll.certain(time.Hour, time.Now())) == 0 })
}

// A sum is as old as the oldest word in it: told beside the words themselves, it is never younger.
func TestSumsAreAsOldAsTheirOldest(t *testing.T) {
	t.Parallel()
	list := hubs(t, 2, 10)
	a := attach(t, list[0], frame.Hello{Name: "a", Site: "a", Incarnation: 1}, serving)
	waitFor(t, "a hub that counts the dead", func() bool { return list[0].awakeFor(time.Now()) > list[0].gone() })
	const old = 1500 * time.Millisecond
	at := time.Now().Add(-old)
	list[0].fleet.Facts().TellAged(gossip.Gone, "aged", []byte{0x81, 0x61, 'z'}, old)
	waitFor(t, "a census with it", func() bool {
		for _, f := range a.facts.Now(gossip.Census) {
			if c, err := ParseCensus(f.Body); err == nil && c.Gone == 1 {
				if time.Since(at) > f.Age {
					t.Errorf("the census is %v old, and rests on a word of %v ago", f.Age, time.Since(at))
				}
				return true
			}
		}
		return false
	})
}

// A hub that has just begun says of nobody that he is dead, and to nobody that his part is his own, whatever it hears.
func TestNewHubSaysNoPart(t *testing.T) {
	t.Parallel()
	o := begin(t, "hub", 10, nil)
	a := attach(t, o, frame.Hello{Name: "a", Incarnation: 1}, serving)
	waitFor(t, "a census", func() bool { return a.census().Attached == 1 })
	for o.awakeFor(time.Now()) < 2*time.Second {
		o.fleet.Facts().Tell(gossip.Gone, "x", []byte{0x81, 0x61, 'z'})
		if c := a.census(); c.Gone != 0 || a.isSure() {
			if o.awakeFor(time.Now()) < 3*time.Second {
				t.Fatalf("%+v, sure %v", c, a.isSure())
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	waitFor(t, "that its part is its own", a.isSure)
	// As after a stop: it begins anew, and its agents go.
	o.wake(time.Now())
	waitFor(t, "the stream's end", a.ended)
	if b := attach(t, o, frame.Hello{Name: "a", Incarnation: 1}, serving); b.isSure() {
		t.Error("sure at once")
	}
}

// Of two processes of one name the later has the stream, at one hub and at two.
func TestOneNameTwice(t *testing.T) {
	t.Parallel()
	list := hubs(t, 2, 10)
	first := attach(t, list[0], frame.Hello{Name: "a", Incarnation: 5}, serving)
	waitFor(t, "it", func() bool { return first.census().Attached == 1 })
	if early := attach(t, list[0], frame.Hello{Name: "a", Incarnation: 4}, serving); true {
		waitFor(t, "an earlier one's end", early.ended)
	}
	early := attach(t, list[1], frame.Hello{Name: "a", Incarnation: 4}, serving)
	waitFor(t, "an earlier one's end at another hub", early.ended)
	if first.ended() {
		t.Error("the later one's stream has ended, too")
	}
	later := attach(t, list[1], frame.Hello{Name: "a", Incarnation: 6}, serving)
	waitFor(t, "the end of one that was the latest", first.ended)
	last := attach(t, list[1], frame.Hello{Name: "a", Incarnation: 7}, serving)
	waitFor(t, "the end of one at the same hub", later.ended)
	waitFor(t, "one agent", func() bool { return last.census().Attached == 1 })
}

// What one agent does costs nobody else: nonsense, too much, or nothing read.
func TestNobodyElsePays(t *testing.T) {
	t.Parallel()
	o := begin(t, "hub", 10, nil)
	good := attach(t, o, frame.Hello{Name: "good", Incarnation: 1}, serving)
	waitFor(t, "a census", func() bool { return good.census().Attached == 1 })
	for name, text := range map[string]string{"long": "\x7f\xff\xff\xff", "malformed": "\x00\x00\x00\x02\xff\xff", "welcome": "\x00\x00\x00\x08\xa2\x01\x01\x03\xa1\x01\x61h"} {
		bad := attach(t, o, frame.Hello{Name: name, Incarnation: 1}, nil)
		waitFor(t, "a welcome", func() bool { bad.mu.Lock(); defer bad.mu.Unlock(); return bad.welcome != nil })
		if _, err := bad.conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "its end: "+name, bad.ended)
	}
	if o.bad.Load() != 3 {
		t.Errorf("%d streams counted", o.bad.Load())
	}
	// A thousand frames a second, and what others say in its name.
	loud := attach(t, o, frame.Hello{Name: "loud", Incarnation: 1}, nil)
	began := time.Now()
	_ = loud.conn.SetWriteDeadline(began.Add(2 * time.Second)) // they are not taken in time
	for i := range 2000 {
		if send(loud.conn, &frame.Frame{State: &frame.State{Seq: uint32(i), Serving: true, Settings: frame.Standing{Version: 1, Why: strings.Repeat("x", 500)}}}) != nil {
			break
		}
	}
	taken := func() (n uint32) {
		for _, x := range o.roll.streams() {
			if x.name == "loud" {
				n = x.standing().Seq
			}
		}
		return n
	}
	if n := taken(); float64(n) > frameBurst+frameRate*(time.Since(began).Seconds()+1) {
		t.Errorf("%d frames taken in %v", n, time.Since(began))
	}
	// One that does not read: its stream ends, once its buffers are full.
	deaf, _, err := dial(o.fleet.Addr(), t.Name())
	if err != nil {
		t.Fatal(err)
	}
	defer deaf.Close()
	if err := send(deaf, &frame.Frame{Hello: &frame.Hello{Label: t.Name(), Name: "deaf", Incarnation: 1}}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "it", func() bool { return stream1(o, "deaf") != nil })
	x := stream1(o, "deaf")
	big := make([]byte, 4<<20)
	for !closed(x.over) { // each replaces the one before: no more than one is held
		x.offer(big)
		if send(deaf, &frame.Frame{State: serving}) != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if good.ended() || good.census().Attached == 0 {
		t.Error("the good one is not told any more")
	}
}

func stream1(o *one, name string) *stream {
	for _, x := range o.roll.streams() {
		if x.name == name {
			return x
		}
	}
	return nil
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// An agent of another fleet is sent away with a status, or at its first word; too many at once are told when to come again.
func TestAdmission(t *testing.T) {
	t.Parallel()
	o := begin(t, "hub", 100, func(c *Config) { c.AdmitRate = 10 })
	if _, _, err := dial(o.fleet.Addr(), "other"); !errors.Is(err, errStatus) || !strings.Contains(err.Error(), "403") {
		t.Errorf("another fleet's: %v", err)
	}
	conn, r, err := dial(o.fleet.Addr(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = send(conn, &frame.Frame{Hello: &frame.Hello{Label: "other", Name: "x"}})
	if f, err := frame.Read(r); err == nil {
		t.Errorf("another fleet's is told %+v", f)
	}
	began, taken := time.Now(), 0
	var waits []time.Duration
	for i := range 20 {
		a := attach(t, o, frame.Hello{Name: fmt.Sprint("n", i), Incarnation: 1}, serving)
		waitFor(t, "an answer", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.busy != nil {
				waits = append(waits, a.busy.After)
			} else if a.welcome != nil {
				taken++
			}
			return a.busy != nil || a.welcome != nil
		})
	}
	if most := 1 + 10*time.Since(began).Seconds(); float64(taken) > most || taken == 0 {
		t.Errorf("%d taken in %v", taken, time.Since(began))
	}
	for _, w := range waits {
		if w <= 0 || w > mostWait {
			t.Errorf("come again after %v", w)
		}
	}
}

// keeper is a holder of settings.
type keeper struct {
	mu      sync.Mutex
	version int64
	text    string
}

func (k *keeper) Take(version int64, text string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.version {
		return errors.New("old")
	}
	k.version, k.text = version, text
	return nil
}

func (k *keeper) Text(string) (int64, string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version, k.text, k.version > 0
}

func (k *keeper) kind() *documents.Kind {
	return &documents.Kind{Fact: gossip.Settings, Subject: "settings", Path: "/settings/", Most: 1 << 10, Holder: k, Digest: func(text string) string { return "of " + text },
		State: func() documents.Standing {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.version == 0 {
				return documents.Standing{}
			}
			return documents.Standing{Version: k.version, Digests: []string{"of " + k.text}}
		}}
}

// Settings given to one hub are told by all, never go back, and who does not have them can be asked of any.
func TestSettings(t *testing.T) {
	t.Parallel()
	var list []*one
	var keepers []*keeper
	for i := range 2 {
		k := &keeper{}
		keepers = append(keepers, k)
		list = append(list, begin(t, fmt.Sprint("hub", i), 10, func(c *Config) { c.Settings = k.kind() }, list...))
	}
	a := attach(t, list[1], frame.Hello{Name: "a", Incarnation: 1}, &frame.State{Settings: frame.Standing{Version: 2, Digest: "of two"}})
	b := attach(t, list[1], frame.Hello{Name: "b", Incarnation: 1}, &frame.State{Settings: frame.Standing{Version: 1, Why: "a key is unknown"}})
	told := func(x *attached, v int64) func() bool {
		return func() bool {
			for _, f := range x.facts.Now(gossip.Settings) {
				if s, ok := documents.ParseStanding(f.Body); ok && s.Version == v {
					return true
				}
			}
			return false
		}
	}
	for v, text := range map[int64]string{1: "one", 2: "two"} {
		_ = keepers[0].Take(v, text) // the second goes before the first, or comes too late
	}
	waitFor(t, "the settings", told(a, 2))
	waitFor(t, "the settings", told(b, 2))
	var r Report
	waitFor(t, "the report", func() bool {
		resp, err := http.Get("http://" + list[0].fleet.Addr() + pathSettings)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		r = Report{}
		return json.NewDecoder(resp.Body).Decode(&r) == nil && r.Agents == 2 && r.InForce == 1
	})
	if r.Version != 2 || len(r.Behind) != 1 || r.Behind[0] != (Behind{"b", "hub1", 1, "a key is unknown"}) {
		t.Errorf("%+v", r)
	}
}

// An earlier or a later program says less or more: what is known of it is taken.
func TestOtherPrograms(t *testing.T) {
	t.Parallel()
	o := begin(t, "hub", 10, nil)
	a := attach(t, o, frame.Hello{Name: "a", Incarnation: 1}, nil)
	raw := func(v any) {
		body, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := a.conn.Write(append([]byte{0, 0, 0, byte(len(body))}, body...)); err != nil {
			t.Fatal(err)
		}
	}
	raw(map[int]any{1: 9, 5: map[int]any{2: true, 17: "later"}, 30: "later still"})
	raw(map[int]any{1: 1, 5: map[int]any{1: 3, 2: true}})
	raw(map[int]any{1: 9, 31: "only what is not known"})
	waitFor(t, "its state", func() bool { return a.census() == Census{1, 0, 0} })
	c, err := ParseCensus([]byte{0xa2, 0x01, 0x03, 0x18, 0x20, 0x01}) // without some fields, with another
	if err != nil || c != (Census{3, 0, 0}) {
		t.Errorf("%+v, %v", c, err)
	}
	if a.ended() {
		t.Error("its stream ended")
	}
}
