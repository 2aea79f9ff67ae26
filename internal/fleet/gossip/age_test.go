package gossip

// This file tests the ages of entries in random simulations.

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// No entry is used past its age bound or with an age that is too low by the test's own clock. Messages are lost, reordered
// and queued for seconds. Processes are stopped and resume with the entries from before the stop and the messages that
// arrived during the stop.
func TestNoEntryIsUsedPastItsAgeBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) simStep {
			return simStep{rapid.IntRange(0, 3).Draw(r, "from"), rapid.IntRange(0, 3).Draw(r, "to"),
				rapid.IntRange(0, 4000).Draw(r, "ms"), rapid.IntRange(0, 9).Draw(r, "what")}
		}), 20, 120).Draw(r, "steps")
		failure := ""
		synctest.Test(t, func(t *testing.T) { failure = simulate(steps) })
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

const (
	simStores  = 4
	minTransit = time.Millisecond // transit time of the fastest message
)

// simStep is a step of a simulation: the action, the stores it concerns, and a delay in ms.
type simStep struct{ from, to, delay, action int }

// simulation is a set of stores that send each other messages, and the test's own record of when entries were published.
type simulation struct {
	stores     [simStores]*Store
	sentBefore map[[2]int]bool // by sender and receiver: a message with the shortest transit time was sent
	stopped    [simStores]bool // changed with mu held, by the goroutine of simulate alone

	mu          sync.Mutex           // protects all below
	publishedAt map[string]time.Time // by kind, subject, observer and sequence number
	failure     string               // the last one
}

// simulate runs a simulation and returns a failure, or "".
func simulate(steps []simStep) string {
	sim := &simulation{sentBefore: map[[2]int]bool{}, publishedAt: map[string]time.Time{}}
	for i := range simStores {
		sim.stores[i] = New(fmt.Sprint("p", i), 1, shortBounds, sim.checkUse)
	}
	for k, s := range steps {
		time.Sleep(time.Duration(s.delay/20) * time.Millisecond)
		for i := range simStores {
			if !sim.stopped[i] {
				sim.stores[i].Tick()
			}
		}
		sim.runStep(k, s)
	}
	sim.mu.Lock()
	sim.stopped = [simStores]bool{}
	sim.mu.Unlock()
	time.Sleep(10 * time.Second)
	for _, s := range sim.stores {
		s.Tick()
		s.Entries(ListServiceLoad)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.failure
}

// checkUse records when an entry is first published, and checks the age of each entry that a store uses.
func (sim *simulation) checkUse(u Use) {
	const n = simStores
	entryID := func(e Entry) string { return fmt.Sprint(e.Kind, e.Subject, e.Observer, e.Seq) }
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if u.Published {
		if _, known := sim.publishedAt[entryID(u.Entry)]; !known {
			sim.publishedAt[entryID(u.Entry)] = time.Now()
		}
		return
	}
	age := time.Since(sim.publishedAt[entryID(u.Entry)])
	if u.AgeAtUse > shortBounds[u.Kind] || u.AgeAtUse < age-n*minTransit || age > shortBounds[u.Kind]+n*minTransit {
		sim.failure = fmt.Sprintf("entry of kind %v: actual age %v, age at use %v, bound %v",
			u.Kind, age, u.AgeAtUse, shortBounds[u.Kind])
	}
}

// runStep performs step k.
func (sim *simulation) runStep(k int, s simStep) {
	store := sim.stores[s.from]
	switch {
	case s.action == 0: // stopped or resumed
		sim.mu.Lock()
		sim.stopped[s.from] = !sim.stopped[s.from]
		sim.mu.Unlock()
	case sim.stopped[s.from]:
	case s.action <= 3:
		store.Publish(ListServiceLoad+Kind(k%2), "x", []byte{byte(k)})
	case s.action <= 8:
		sim.send(s)
	default:
		store.Entries(ListServiceLoad)
		store.Entries(LatencyRow)
	}
}

// send sends a message, which arrives after the step's delay, or when its receiver is resumed.
func (sim *simulation) send(s simStep) {
	data := sim.stores[s.from].NextMessage(1000, simStores)
	delay := minTransit
	if sim.sentBefore[[2]int{s.from, s.to}] { // the receiver has recorded the shortest transit time
		delay += time.Duration(s.delay) * time.Millisecond
	}
	if data == nil || s.from == s.to || delay == minTransit && sim.stopped[s.to] {
		return
	}
	sim.sentBefore[[2]int{s.from, s.to}] = true
	time.AfterFunc(delay, func() {
		receiverStopped := func() bool { sim.mu.Lock(); defer sim.mu.Unlock(); return sim.stopped[s.to] }
		for delay > minTransit && receiverStopped() { // the message waits in the receiver's socket buffer
			time.Sleep(10 * time.Millisecond)
		}
		if err := sim.stores[s.to].Merge(data); err != nil {
			sim.mu.Lock()
			sim.failure = err.Error()
			sim.mu.Unlock()
		}
	})
}
