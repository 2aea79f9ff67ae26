package gossip

// This file tests the store: stops, changes, spreading, and decoding of messages.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
)

var shortBounds = AgeBounds{ListServiceLoad: 2 * time.Second, LatencyRow: time.Second}

// A process that is stopped while it reads its entries does not use them after the stop: their ages were checked before it. Guards
// against an entry that is used past its bound by the length of the stop.
func TestProcessStoppedWhileItReadsEntriesDropsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := func() {}
		store := New("a", 1, shortBounds, func(u Use) {
			if !u.Published {
				stop()
			}
		})
		for _, subject := range []string{"x", "y"} {
			store.Publish(ListServiceLoad, subject, nil)
		}
		if n := len(store.Entries(ListServiceLoad)); n != 2 {
			t.Fatalf("got %d entries before the stop, want 2", n)
		}
		stop = func() { time.Sleep(shortBounds[ListServiceLoad]) }
		if list := store.Entries(ListServiceLoad); list != nil {
			t.Errorf("got %d entries after a stop as long as their bound, want none", len(list))
		}
		if stops := store.Stats().Stops; stops != 1 {
			t.Errorf("got %d stops, want 1", stops)
		}
	})
}

// A process that was stopped neither uses nor sends its entries from before the stop, and sends nothing before it has
// received a message.
func TestStoppedProcessDropsItsEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New("a", 1, shortBounds, nil), New("b", 1, shortBounds, nil)
		done := make(chan struct{})
		defer func() { done <- struct{}{} }()
		go func() { // b is never stopped
			for {
				select {
				case <-done:
					return
				case <-time.After(TickInterval):
					b.Tick()
				}
			}
		}()
		b.Publish(ListServiceLoad, "x", nil)
		if err := a.Merge(b.NextMessage(1000, 2)); err != nil || len(a.Entries(ListServiceLoad)) != 1 {
			t.Fatal(err, a.Entries(ListServiceLoad))
		}
		time.Sleep(stopThreshold + time.Millisecond) // without a call of Tick
		if len(a.Entries(ListServiceLoad)) != 0 || a.NextMessage(1000, 2) != nil {
			t.Error("entries from before the stop are still used or sent, want neither")
		}
		a.Publish(ListServiceLoad, "y", nil)
		time.Sleep(resumeDelay + time.Millisecond)
		if a.NextMessage(1000, 2) != nil {
			t.Error("got a message to send before one was received, want none")
		}
		b.Publish(ListServiceLoad, "x", nil)
		for range 6 {
			time.Sleep(TickInterval)
			a.Tick()
		}
		if err := a.Merge(b.NextMessage(1000, 2)); err != nil || len(a.Entries(ListServiceLoad)) == 0 || a.NextMessage(1000, 2) == nil {
			t.Error("after a message was received: no entry, or nothing to send, want both; error:", err)
		}
		if a.Stats().Stops != 1 {
			t.Errorf("got %d stops, want 1", a.Stats().Stops)
		}
	})
}

// While an entry is published again with the same body, its body is decoded only once. Only a new body or an expiry counts as
// a change. The outgoing list does not grow without bound while no message is requested.
func TestBodyIsDecodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := New("a", 1, shortBounds, nil), New("b", 1, shortBounds, nil)
		decodes, errDecode := 0, fmt.Errorf("decoding failed")
		for i, step := range []struct {
			body                     string
			wantDecodes, wantChanges int
		}{{"x", 1, 1}, {"x", 1, 1}, {"y", 2, 2}, {"y", 2, 2}, {"x", 3, 3}} {
			time.Sleep(TickInterval)
			a.Tick()
			b.Tick()
			a.Publish(ListServiceLoad, "s", []byte(step.body))
			if err := b.Merge(a.NextMessage(1000, 2)); err != nil {
				t.Fatal(err)
			}
			for range 3 {
				for _, entry := range b.Entries(ListServiceLoad) {
					if v, err := DecodeBody(entry, func(body []byte) (string, error) { decodes++; return string(body), errDecode }); v != step.body || err != errDecode {
						t.Errorf("step %d: got body %q, error %v", i, v, err)
					}
				}
			}
			if n, until := b.Changes(ListServiceLoad); decodes != step.wantDecodes || int(n) != step.wantChanges || !until.After(time.Now()) {
				t.Errorf("step %d: decoded %d times and counted %d changes until %v, want %d times, %d changes and a later time", i, decodes, n, until, step.wantDecodes, step.wantChanges)
			}
		}
		for range 22 {
			time.Sleep(TickInterval)
			b.Tick()
		}
		if n, _ := b.Changes(ListServiceLoad); n != 4 || b.Stats().Entries != 0 {
			t.Errorf("past the bound: got %d changes and %d entries in the store, want 4 changes and no entry", n, b.Stats().Entries)
		}
		for range 1000 {
			a.Publish(ListServiceLoad, "s", nil)
		}
		if len(a.outgoing) > 100 {
			t.Errorf("got %d entries in the outgoing list, want at most 100", len(a.outgoing))
		}
	})
}

// Processes that were all stopped at the same time do not wait for each other's messages indefinitely.
func TestStoresStoppedTogetherResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := []*Store{New("a", 1, shortBounds, nil), New("b", 1, shortBounds, nil), New("c", 1, shortBounds, nil)}
		time.Sleep(stopThreshold + time.Millisecond)
		resumedAt, received := time.Now(), false
		for !received && time.Since(resumedAt) < time.Minute {
			time.Sleep(TickInterval)
			for i, s := range stores {
				s.Tick()
				s.Publish(ListServiceLoad, "x", nil)
				if data := s.NextMessage(1000, len(stores)); data != nil {
					if err := stores[(i+1)%len(stores)].Merge(data); err != nil {
						t.Fatal(err)
					}
				}
			}
			received = len(stores[1].Entries(ListServiceLoad)) > 1
		}
		if took := time.Since(resumedAt); took > 5*time.Second {
			t.Errorf("no entry was received for %v after the stop, want at most 5s", took)
		}
	})
}

// In a small fleet, as among hubs, at least 99 of 100 entries reach every member before their age reaches two thirds of its
// bound. In a fleet of this size a site may have no second observer that publishes the same latencies.
func TestSmallFleetReceivesNearlyAllUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, seconds = 7, 200
		rng := rand.New(rand.NewPCG(3, 4))
		bounds := AgeBounds{LatencyRow: 3 * time.Second, FleetSize: 3 * time.Second}
		var stores []*Store
		for i := range n {
			stores = append(stores, New(fmt.Sprint(i), 1, bounds, nil))
		}
		missed := map[Kind]int{}
		for tick := range 10 * seconds {
			time.Sleep(TickInterval)
			for i, s := range stores {
				s.Tick()
				if tick%10 == i { // each publishes once a second
					s.Publish(LatencyRow, s.self, []byte{byte(tick)})
					s.Publish(FleetSize, s.self, []byte{byte(tick)})
				}
				if tick%2 == 0 { // each round sends to three others
					for _, to := range rng.Perm(n)[:3] {
						if data := s.NextMessage(1000, n); data != nil && to != i {
							if err := stores[to].Merge(data); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
			}
			for kind := range bounds {
				for _, s := range stores {
					fresh := 0
					for _, entry := range s.Entries(kind) {
						if entry.Age <= 2*time.Second {
							fresh++
						}
					}
					if tick > 50 && fresh < n {
						missed[kind]++
					}
				}
			}
		}
		for kind, count := range missed {
			if maxMissed := n * 10 * seconds / 100; count > maxMissed {
				t.Errorf("%v: an entry was missing in %d of %d checks, want at most %d", kind, count, n*10*seconds, maxMissed)
			}
		}
	})
}

// A new entry reaches all members within a few rounds and is then not sent again. The entries of a restarted observer
// replace those of its predecessor.
func TestEntryReachesAllMembersAndIsThenNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 50
		rng := rand.New(rand.NewPCG(1, 2))
		var stores []*Store
		for i := range n {
			stores = append(stores, New(fmt.Sprint(i), 1, AgeBounds{ListServiceLoad: time.Minute}, nil))
		}
		stores[0].Publish(ListServiceLoad, "x", []byte("one"))
		rounds, messages := 0, 1
		for messages > 0 && rounds < 100 {
			rounds, messages = rounds+1, 0
			time.Sleep(TickInterval)
			for _, s := range stores {
				s.Tick()
				for range 3 {
					if data := s.NextMessage(1000, n); data != nil {
						messages++
						if to := stores[rng.IntN(n)]; rng.Float64() > 0.1 {
							if err := to.Merge(data); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
			}
		}
		for i, s := range stores {
			if len(s.Entries(ListServiceLoad)) != 1 {
				t.Errorf("the entry did not reach member %d", i)
			}
		}
		if rounds > 20 {
			t.Errorf("it took %d rounds until no entry was sent, want at most 20", rounds)
		}
		restarted := New("0", 2, AgeBounds{ListServiceLoad: time.Minute}, nil)
		restarted.Publish(ListServiceLoad, "x", []byte("two"))
		if err := stores[1].Merge(restarted.NextMessage(1000, n)); err != nil || string(stores[1].Entries(ListServiceLoad)[0].Body) != "two" {
			t.Error("the restarted observer's entry did not replace its predecessor's; error:", err)
		}
	})
}

// Unknown fields of a message are skipped, so that different versions of the program can run in one fleet.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	type later struct {
		Message
		More map[string]int `cbor:"99,keyasint"`
	}
	m := Message{Version: 7, Sender: "z", Incarnation: 1, Entries: []Entry{{Kind: ListServiceLoad, Observer: "z"}}}
	data, err := cbor.Marshal(later{m, map[string]int{"a": 1}})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := DecodeMessage(data); err != nil || m.Version != 7 || len(m.Entries) != 1 {
		t.Errorf("got message %+v, error %v", m, err)
	}
}

// DecodeMessage returns an error for any input, or a message within its limits that can be encoded and decoded again.
func FuzzDecodeMessage(f *testing.F) {
	s := New("a", 1, shortBounds, nil)
	s.Publish(ListServiceLoad, "x", []byte("body"))
	f.Add(s.NextMessage(1000, 3))
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		reencoded, err := EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeMessage(reencoded); err != nil {
			t.Fatal(err)
		}
		b := New("b", 1, shortBounds, nil)
		_ = b.Merge(data)
		for _, entry := range b.Entries(ListServiceLoad) {
			if entry.Age > shortBounds[ListServiceLoad] {
				t.Errorf("an entry was returned at age %v, past its bound", entry.Age)
			}
		}
	})
}
