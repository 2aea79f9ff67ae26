package gossip

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

var short = Bounds{Service: 2 * time.Second, Distance: time.Second}

// Whatever happens to messages and processes, a fact is never used past its bound, nor as younger than it is: ages are
// held against the one clock that the test sees. Messages are lost, overtake each other and lie in queues for seconds;
// processes are stopped and go on with what they held and with what came meanwhile.
func TestNothingIsUsedPastItsBound(t *testing.T) {
	type step struct{ from, to, delay, what int }
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			return step{rapid.IntRange(0, 3).Draw(r, "from"), rapid.IntRange(0, 3).Draw(r, "to"),
				rapid.IntRange(0, 4000).Draw(r, "ms"), rapid.IntRange(0, 9).Draw(r, "what")}
		}), 20, 120).Draw(r, "steps")
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			const n, least = 4, time.Millisecond
			var mu sync.Mutex // of all below
			var stores [n]*Store
			var stopped [n]bool
			met := map[[2]int]bool{}
			born := map[string]time.Time{} // when a fact was seen
			name := func(f Fact) string { return fmt.Sprint(f.Kind, f.Subject, f.Observer, f.Seq) }
			for i := range n {
				stores[i] = New(fmt.Sprint("p", i), 1, short, func(u Use) {
					mu.Lock()
					defer mu.Unlock()
					if u.Told {
						if _, old := born[name(u.Fact)]; !old {
							born[name(u.Fact)] = time.Now()
						}
						return
					}
					age := time.Since(born[name(u.Fact)])
					if u.Now > short[u.Kind] || u.Now < age-n*least || age > short[u.Kind]+n*least {
						wrong = fmt.Sprintf("a fact of kind %v is used at %v as %v old, bound %v", u.Kind, age, u.Now, short[u.Kind])
					}
				})
			}
			for k, s := range steps {
				time.Sleep(time.Duration(s.delay/20) * time.Millisecond)
				for i := range n {
					if !stopped[i] {
						stores[i].Tick()
					}
				}
				a, b := stores[s.from], stores[s.to]
				switch {
				case s.what == 0: // stopped, or on again
					mu.Lock()
					stopped[s.from] = !stopped[s.from]
					mu.Unlock()
				case stopped[s.from]:
				case s.what <= 3:
					a.Tell(Service+Kind(k%2), "x", []byte{byte(k)})
				case s.what <= 8:
					data := a.Gossip(1000, n)
					delay := least
					if met[[2]int{s.from, s.to}] { // the quickest way is known by then
						delay += time.Duration(s.delay) * time.Millisecond
					}
					if data == nil || s.from == s.to || delay == least && stopped[s.to] {
						continue
					}
					met[[2]int{s.from, s.to}] = true
					time.AfterFunc(delay, func() {
						halted := func() bool { mu.Lock(); defer mu.Unlock(); return stopped[s.to] }
						for delay > least && halted() { // it waits in the receiver's buffer
							time.Sleep(10 * time.Millisecond)
						}
						if err := b.Hear(data); err != nil {
							mu.Lock()
							wrong = err.Error()
							mu.Unlock()
						}
					})
				default:
					a.Now(Service)
					a.Now(Distance)
				}
			}
			mu.Lock()
			stopped = [n]bool{}
			mu.Unlock()
			time.Sleep(10 * time.Second)
			for _, s := range stores {
				s.Tick()
				s.Now(Service)
			}
		})
		if wrong != "" {
			r.Fatal(wrong)
		}
	})
}

// A process that was stopped neither uses nor spreads what it held, and says nothing before it has heard anew.
func TestStoppedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New("a", 1, short, nil), New("b", 1, short, nil)
		over := make(chan struct{})
		defer func() { over <- struct{}{} }()
		go func() { // b is well all along
			for {
				select {
				case <-over:
					return
				case <-time.After(TickEvery):
					b.Tick()
				}
			}
		}()
		b.Tell(Service, "x", nil)
		if err := a.Hear(b.Gossip(1000, 2)); err != nil || len(a.Now(Service)) != 1 {
			t.Fatal(err, a.Now(Service))
		}
		time.Sleep(stoppedAfter + time.Millisecond) // nobody has called Tick
		if len(a.Now(Service)) != 0 || a.Gossip(1000, 2) != nil {
			t.Error("it goes on with what it held")
		}
		a.Tell(Service, "y", nil)
		time.Sleep(deafFor + time.Millisecond)
		if a.Gossip(1000, 2) != nil {
			t.Error("it speaks before it has heard")
		}
		b.Tell(Service, "x", nil)
		for range 6 {
			time.Sleep(TickEvery)
			a.Tick()
		}
		if err := a.Hear(b.Gossip(1000, 2)); err != nil || len(a.Now(Service)) == 0 || a.Gossip(1000, 2) == nil {
			t.Error("it stays silent", err)
		}
		if a.Stats().Stops != 1 {
			t.Errorf("%d stops", a.Stats().Stops)
		}
	})
}

// What a fact says is read once for as long as it is said; only what says something else, or is no longer said, counts as
// a change, and what nobody asks for does not pile up.
func TestReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New("a", 1, short, nil), New("b", 1, short, nil)
		read, wrong := 0, fmt.Errorf("no")
		for i, step := range []struct {
			body          string
			read, changes int
		}{{"x", 1, 1}, {"x", 1, 1}, {"y", 2, 2}, {"y", 2, 2}, {"x", 3, 3}} {
			time.Sleep(TickEvery)
			a.Tick()
			b.Tick()
			a.Tell(Service, "s", []byte(step.body))
			if err := b.Hear(a.Gossip(1000, 2)); err != nil {
				t.Fatal(err)
			}
			for range 3 {
				for _, f := range b.Now(Service) {
					if v, err := Read(f, func(body []byte) (string, error) { read++; return string(body), wrong }); v != step.body || err != wrong {
						t.Errorf("step %d: %q, %v", i, v, err)
					}
				}
			}
			if n, until := b.Changes(Service); read != step.read || int(n) != step.changes || !until.After(time.Now()) {
				t.Errorf("step %d: read %d times, %d changes", i, read, n)
			}
		}
		for range 22 {
			time.Sleep(TickEvery)
			b.Tick()
		}
		if n, _ := b.Changes(Service); n != 4 || b.Stats().Held != 0 {
			t.Errorf("past its bound: %d changes, %d held", n, b.Stats().Held)
		}
		for range 1000 {
			a.Tell(Service, "s", nil)
		}
		if len(a.due) > 100 {
			t.Errorf("%d facts wait for somebody to be passed on to", len(a.due))
		}
	})
}

// Processes that were all stopped at once, or late, don't wait for each other's words for ever.
func TestAllStoppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := []*Store{New("a", 1, short, nil), New("b", 1, short, nil), New("c", 1, short, nil)}
		time.Sleep(stoppedAfter + time.Millisecond)
		began, heard := time.Now(), false
		for !heard && time.Since(began) < time.Minute {
			time.Sleep(TickEvery)
			for i, s := range stores {
				s.Tick()
				s.Tell(Service, "x", nil)
				if data := s.Gossip(1000, len(stores)); data != nil {
					if err := stores[(i+1)%len(stores)].Hear(data); err != nil {
						t.Fatal(err)
					}
				}
			}
			heard = len(stores[1].Now(Service)) > 1
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("silent for %v", took)
		}
	})
}

// Among a few, as hubs are, each word of each second comes to all while two thirds of its bound are left, but for one in a
// hundred: nobody else tells of the same.
func TestFewMissNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, seconds = 7, 200
		rng := rand.New(rand.NewPCG(3, 4))
		bounds := Bounds{Distance: 3 * time.Second, Census: 3 * time.Second}
		var stores []*Store
		for i := range n {
			stores = append(stores, New(fmt.Sprint(i), 1, bounds, nil))
		}
		missed := map[Kind]int{}
		for tick := range 10 * seconds {
			time.Sleep(TickEvery)
			for i, s := range stores {
				s.Tick()
				if tick%10 == i { // each tells once a second
					s.Tell(Distance, s.self, []byte{byte(tick)})
					s.Tell(Census, s.self, []byte{byte(tick)})
				}
				if tick%2 == 0 { // a round of gossip goes to three others
					for _, to := range rng.Perm(n)[:3] {
						if data := s.Gossip(1000, n); data != nil && to != i {
							if err := stores[to].Hear(data); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
			}
			for kind := range bounds {
				for _, s := range stores {
					fresh := 0
					for _, f := range s.Now(kind) {
						if f.Age <= 2*time.Second {
							fresh++
						}
					}
					if tick > 50 && fresh < n {
						missed[kind]++
					}
				}
			}
		}
		for kind, k := range missed {
			if most := n * 10 * seconds / 100; k > most {
				t.Errorf("%v: %d times of %d a word was missing, at most %d", kind, k, n*10*seconds, most)
			}
		}
	})
}

// What is new goes round quickly and then is not repeated for ever; a restarted observer's words replace the older ones.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 50
		rng := rand.New(rand.NewPCG(1, 2))
		var stores []*Store
		for i := range n {
			stores = append(stores, New(fmt.Sprint(i), 1, Bounds{Service: time.Minute}, nil))
		}
		stores[0].Tell(Service, "x", []byte("one"))
		rounds, said := 0, 1
		for said > 0 && rounds < 100 {
			rounds, said = rounds+1, 0
			time.Sleep(TickEvery)
			for _, s := range stores {
				s.Tick()
				for range 3 {
					if data := s.Gossip(1000, n); data != nil {
						said++
						if to := stores[rng.IntN(n)]; rng.Float64() > 0.1 {
							if err := to.Hear(data); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
			}
		}
		for i, s := range stores {
			if len(s.Now(Service)) != 1 {
				t.Errorf("%d has not heard", i)
			}
		}
		if rounds > 20 {
			t.Errorf("%d rounds until nobody speaks", rounds)
		}
		again := New("0", 2, Bounds{Service: time.Minute}, nil)
		again.Tell(Service, "x", []byte("two"))
		if err := stores[1].Hear(again.Gossip(1000, n)); err != nil || string(stores[1].Now(Service)[0].Body) != "two" {
			t.Error("an older process's word stands", err)
		}
	})
}

// Unknown fields are skipped, so that versions of the program can run side by side.
func TestLaterVersion(t *testing.T) {
	type later struct {
		Message
		More map[string]int `cbor:"99,keyasint"`
	}
	data, err := decoderTest(later{Message{Version: 7, Sender: "z", Incarnation: 1, Facts: []Fact{{Kind: Service, Observer: "z"}}}, map[string]int{"a": 1}})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := Decode(data); err != nil || m.Version != 7 || len(m.Facts) != 1 {
		t.Errorf("%+v %v", m, err)
	}
}

// Nothing that comes off the wire harms: it is an error, or a message within its bounds that writes as it was read.
func FuzzDecode(f *testing.F) {
	s := New("a", 1, short, nil)
	s.Tell(Service, "x", []byte("body"))
	f.Add(s.Gossip(1000, 3))
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatal(err)
		}
		b := New("b", 1, short, nil)
		_ = b.Hear(data)
		for _, x := range b.Now(Service) {
			if x.Age > short[Service] {
				t.Errorf("%v old", x.Age)
			}
		}
	})
}
