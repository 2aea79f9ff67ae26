// Package model models the machines that agents send to: cores shared by the requests in work, slots
// and a waiting room, cold starts that ramp and fall over, slow-down when crowded, warmth by key.
//
// It is pure: it is told the time, owns no clock, socket or goroutine, and draws what it needs from
// numbers that belong to the request. Times are spans since the lab's start. Work is told in time on
// one core of speed 1.
package model

import (
	"container/heap"
	"math"
	"time"
)

// Spec is what a machine is.
type Spec struct {
	ID               string
	Zone, Cell, Kind int
	Cores            int
	Speed            float64       // of one core; 1 is the yardstick
	Slots            int           // requests in work at once
	Room             int           // requests that wait beyond these
	Thrash           float64       // share of capacity lost when held requests per core are twice ThrashAt or more
	ThrashAt         float64       // requests in work per core from which on it loses some
	ColdFrom         float64       // share of its capacity right after a start, 0 to 1
	Ramp             time.Duration // from then until it is warm
	FallMultiple     float64       // sent more than this multiple of its present capacity while cold ...
	FallWindow       time.Duration // ... over this span, it falls over; 0: never
	ChokeAt          float64       // held requests per core past which it is crowded; 0: never chokes
	ChokeOver        time.Duration // crowded for so long, it turns slower
	ChokeSlower      float64       // by this factor
	ChokeRest        time.Duration // until it has been mostly idle for so long
	ChokeMost        time.Duration // or so long has passed
	Conns            int           // open connections it takes; 0: any number
	Handshake        time.Duration // work of a new connection
	ErrorRate        float64       // share of requests answered with an error
	KeyGain          float64       // share of the work saved for a key met lately
	KeyFor           time.Duration // what lately means
	Keys             int           // keys that it remembers
	DropsGivenUp     bool          // waiting work is dropped once its agent has given it up
	ProbeWork        time.Duration
	Weight           float64 // as the list tells it
}

// Capacity is the work that it does in a second when warm, in seconds.
func (s *Spec) Capacity() float64 { return float64(s.Cores) * s.Speed }

// Job is one attempt that has reached a machine.
type Job struct {
	Attempt uint64 // the lab's number for it
	Key     uint64 // 0: none
	Work    time.Duration
	Agent   int
	Draw    float64 // 0 to 1: decides whether it meets an error
	Shake   bool    // it came on a new connection
	Informs bool    // its agent knew that the machine had started
}

// Result says how a job ended.
type Result uint8

const (
	Served  Result = iota
	Failed         // the machine answered with an error; it may have run
	Turned         // turned away unseen
	Dropped        // given up by its agent before it was started
	Lost           // the machine went away under it: no answer
)

func (r Result) String() string {
	return [...]string{"served", "failed", "turned away", "dropped", "lost"}[r]
}

// Done is the end of a job.
type Done struct {
	Job
	At     time.Duration
	Result Result
	Ran    bool // its effect happened
	Waited time.Duration
}

// State says what a machine does with what reaches it.
type State uint8

const (
	Up State = iota
	Draining
	Gone   // its process has ended: connections to it are refused
	Silent // it is lost or cut off from everyone: it says nothing
	Fallen // pushed over while cold
)

// Machine is one backend.
type Machine struct {
	Spec
	State    State
	Started  time.Duration // negative: long ago
	Fell     time.Duration // when it fell over
	Informed float64       // share of the work in the window of its fall that came from agents that knew of its start

	badShare  float64 // share of requests that fail at once
	taken     float64 // share of the machine that another program takes
	now       time.Duration
	attained  float64 // work that each request in work has had since the start, seconds
	rate      float64 // by which attained grows
	inWork    jobs
	waiting   []*running
	keys      map[uint64]time.Duration
	sent      []pressure // work sent in the latest window
	sum, told float64    // of sent, seconds; told: from agents that knew
	crowded   time.Duration
	choked    time.Duration // since; negative: not
	rested    time.Duration // mostly idle since; negative: not
	service   float64       // running mean of service time, seconds
}

type pressure struct {
	at   time.Duration
	work float64
	told bool
}

type running struct {
	Job
	end     float64 // attained at which it is done
	came    time.Duration
	began   time.Duration
	seconds float64
}

type jobs []*running

func (h jobs) Len() int { return len(h) }
func (h jobs) Less(i, j int) bool {
	if h[i].end != h[j].end {
		return h[i].end < h[j].end
	}
	return h[i].Attempt < h[j].Attempt
}
func (h jobs) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *jobs) Push(x any)   { *h = append(*h, x.(*running)) }
func (h *jobs) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return x
}

// never is later than any run lasts.
const never = time.Duration(math.MaxInt64)

// New returns a machine that started at a time; a negative one is long ago.
func New(s Spec, started time.Duration) *Machine {
	m := &Machine{Spec: s, Started: started, keys: map[uint64]time.Duration{}}
	m.calm()
	return m
}

func (m *Machine) calm() { m.crowded, m.choked, m.rested = never, never, never }

// share is the part of its capacity that a machine has at a time after its start.
func (m *Machine) share(now time.Duration) float64 {
	if !m.cold(now) {
		return 1
	}
	return m.ColdFrom + (1-m.ColdFrom)*float64(now-m.Started)/float64(m.Ramp)
}

func (m *Machine) cold(now time.Duration) bool { return m.Started >= 0 && now < m.Started+m.Ramp }

// Present is the work that it can do in a second by now, in seconds: what a policy that sees the
// true state would reckon with.
func (m *Machine) Present(now time.Duration) float64 {
	if m.State != Up && m.State != Draining {
		return 0
	}
	c := m.Capacity() * m.share(now) * (1 - m.taken)
	if m.choked != never {
		c /= m.ChokeSlower
	}
	return c
}

// settle works out by how much each request in work goes on from now.
func (m *Machine) settle() {
	n := float64(len(m.inWork))
	if n == 0 {
		m.rate = 0
		return
	}
	m.rate = m.Present(m.now) / float64(m.Cores) * min(1, float64(m.Cores)/n)
	if held := n / float64(m.Cores); m.Thrash > 0 && held > m.ThrashAt {
		m.rate *= 1 - m.Thrash*min(1, held/m.ThrashAt-1)
	}
}

// step is how long a rate that changes by itself is taken for constant.
const step = 50 * time.Millisecond

// Next is when something happens at the machine by itself.
func (m *Machine) Next() time.Duration {
	next := never
	if len(m.inWork) > 0 && m.rate > 0 {
		if s := (m.inWork[0].end - m.attained) / m.rate; s < 1e6 {
			next = m.now + max(0, time.Duration(math.Ceil(s*1e9)))
		}
	}
	if m.cold(m.now) && len(m.inWork) > 0 || m.crowded != never || m.choked != never {
		next = min(next, m.now+step)
	}
	return next
}

// Advance brings the machine to a time and returns what has ended, in order.
func (m *Machine) Advance(now time.Duration) (done []Done) {
	for m.now < now {
		to := min(now, m.Next())
		m.attained += m.rate * (to - m.now).Seconds()
		m.now = to
		const slack = 1e-9 // a nanosecond: times are whole ones
		for len(m.inWork) > 0 && m.inWork[0].end <= m.attained+slack {
			r := heap.Pop(&m.inWork).(*running)
			took := (m.now - r.began).Seconds()
			m.service += 0.1 * (took - m.service)
			d := Done{Job: r.Job, At: m.now, Result: Served, Ran: true, Waited: r.began - r.came}
			if r.Draw < m.ErrorRate {
				d.Result = Failed
			}
			if r.Key != 0 {
				m.remember(r.Key)
			}
			done = append(done, d)
			m.admit()
		}
		m.crowd()
		m.settle()
	}
	return done
}

// admit moves what waits into free slots.
func (m *Machine) admit() {
	for len(m.inWork) < m.Slots && len(m.waiting) > 0 {
		r := m.waiting[0]
		m.waiting[0] = nil
		m.waiting = m.waiting[1:]
		m.begin(r)
	}
}

func (m *Machine) begin(r *running) {
	r.began, r.end = m.now, m.attained+r.seconds
	heap.Push(&m.inWork, r)
}

// crowd follows whether it holds so much that it turns slower, or has rested from that.
func (m *Machine) crowd() {
	if m.ChokeAt <= 0 {
		return
	}
	held := float64(len(m.inWork)+len(m.waiting)) / float64(m.Cores)
	switch {
	case held <= m.ChokeAt:
		m.crowded = never
	case m.crowded == never:
		m.crowded = m.now
	case m.choked == never && m.now-m.crowded >= m.ChokeOver:
		m.choked = m.now
	}
	if m.choked == never {
		return
	}
	const mostlyIdle = 0.4 // held requests per core
	switch {
	case held > mostlyIdle:
		m.rested = never
	case m.rested == never:
		m.rested = m.now
	}
	if m.rested != never && m.now-m.rested >= m.ChokeRest || m.now-m.choked >= m.ChokeMost {
		m.calm()
	}
}

func (m *Machine) remember(key uint64) {
	if _, known := m.keys[key]; !known && len(m.keys) >= m.Keys {
		oldest, at := uint64(0), never
		for k, t := range m.keys {
			if t < at || t == at && k < oldest {
				oldest, at = k, t
			}
		}
		delete(m.keys, oldest)
	}
	if m.Keys > 0 {
		m.keys[key] = m.now
	}
}

// Arrive takes a job at a time. Its end comes at once, or from Advance.
func (m *Machine) Arrive(now time.Duration, j Job) (done []Done) {
	done = m.Advance(now)
	seconds := j.Work.Seconds()
	if t, met := m.keys[j.Key]; j.Key != 0 && met && now-t <= m.KeyFor {
		seconds *= 1 - m.KeyGain
	}
	if j.Shake {
		seconds += m.Handshake.Seconds()
	}
	end := func(r Result) []Done { return append(done, Done{Job: j, At: now, Result: r}) }
	switch m.State {
	case Gone, Silent, Fallen:
		return end(Lost)
	}
	if m.press(now, seconds, j.Informs) {
		return append(append(done, m.Leave(now, Fallen)...), Done{Job: j, At: now, Result: Lost})
	}
	if m.State == Draining {
		return end(Turned)
	}
	if j.Draw < m.badShare {
		return end(Failed)
	}
	r := &running{Job: j, came: now, seconds: seconds}
	switch {
	case len(m.inWork) < m.Slots:
		m.begin(r)
	case len(m.waiting) < m.Room:
		m.waiting = append(m.waiting, r)
	default:
		return end(Turned)
	}
	m.crowd()
	m.settle()
	return done
}

// press counts work sent to a cold machine, and reports whether it falls over.
func (m *Machine) press(now time.Duration, seconds float64, told bool) bool {
	if !m.cold(now) || m.FallWindow <= 0 {
		m.sent, m.sum, m.told = nil, 0, 0
		return false
	}
	m.sent = append(m.sent, pressure{now, seconds, told})
	m.sum += seconds
	if told {
		m.told += seconds
	}
	for m.sent[0].at < now-m.FallWindow {
		m.sum -= m.sent[0].work
		if m.sent[0].told {
			m.told -= m.sent[0].work
		}
		m.sent = m.sent[1:]
	}
	// The slack is for chance: a few requests are no pressure.
	slack := 4 * m.sum / float64(len(m.sent))
	budget := m.FallMultiple * m.Capacity() * m.share(now) * m.FallWindow.Seconds()
	if m.sum <= budget+slack {
		return false
	}
	m.Fell, m.Informed = now, m.told/m.sum
	return true
}

// GiveUp says that an agent has closed the connection of an attempt. What is in work goes on.
func (m *Machine) GiveUp(now time.Duration, attempt uint64) (done []Done) {
	done = m.Advance(now)
	if !m.DropsGivenUp {
		return done
	}
	for i, r := range m.waiting {
		if r.Attempt == attempt {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			m.crowd()
			return append(done, Done{Job: r.Job, At: now, Result: Dropped})
		}
	}
	return done
}

// Leave ends the machine's process or takes it out of the world, in the given way. All it held is lost.
func (m *Machine) Leave(now time.Duration, s State) (done []Done) {
	done = m.Advance(now)
	for _, r := range m.inWork {
		done = append(done, Done{Job: r.Job, At: now, Result: Lost, Ran: true})
	}
	for _, r := range m.waiting {
		done = append(done, Done{Job: r.Job, At: now, Result: Lost})
	}
	m.inWork, m.waiting, m.State = nil, nil, s
	m.calm()
	m.settle()
	return done
}

// Start starts its process anew: it is cold.
func (m *Machine) Start(now time.Duration) {
	m.now, m.Started, m.State = max(m.now, now), now, Up
	m.inWork, m.waiting, m.sent, m.sum, m.told = nil, nil, nil, 0, 0
	m.keys = map[uint64]time.Duration{}
	m.calm()
	m.settle()
}

// Drain has it finish its work and take nothing new.
func (m *Machine) Drain(now time.Duration) (done []Done) {
	done = m.Advance(now)
	if m.State == Up {
		m.State = Draining
	}
	return done
}

// Trouble sets the share of requests that fail at once and the share of the machine taken by another
// program. Zeroes end both.
func (m *Machine) Trouble(now time.Duration, bad, taken float64) (done []Done) {
	done = m.Advance(now)
	m.badShare, m.taken = bad, taken
	m.settle()
	return done
}

// Load is what a machine reports of itself.
type Load struct {
	Inflight int
	Util     float64
	Service  time.Duration // recent service time, without waiting
}

// Report tells the load at a time. It costs the machine ProbeWork, which the caller sends as a job of its own.
func (m *Machine) Report() Load {
	return Load{len(m.inWork) + len(m.waiting), min(1, float64(len(m.inWork))/float64(m.Cores)),
		time.Duration(m.service * float64(time.Second))}
}
