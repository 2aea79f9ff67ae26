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

// Machine is one backend.
type Machine struct {
	Spec
	State         State
	StartedAt     time.Duration // negative: long ago
	OverloadedAt  time.Duration // when it fell over
	InformedShare float64       // share of the work in the window of its fall that came from agents that knew of its start

	failureShare                  float64 // share of requests that fail at once
	stolenShare                   float64 // share of the machine that another program takes
	now                           time.Duration
	serviceReceived               float64 // work that each request in work has had since the start, seconds
	serviceRate                   float64 // by which attained grows
	running                       taskHeap
	queue                         []*task
	keyCache                      map[uint64]time.Duration
	slowStartWork                 []sentWork // work sent in the latest window
	slowStartTotal, informedTotal float64    // of sent, seconds; told: from agents that knew
	overloadedSince               time.Duration
	degradedSince                 time.Duration // since; negative: not
	idleSince                     time.Duration // mostly idle since; negative: not
	meanService                   float64       // running mean of service time, seconds
}

// never is later than any run lasts.
const never = time.Duration(math.MaxInt64)

// New returns a machine that started at a time; a negative one is long ago.
func New(s Spec, started time.Duration) *Machine {
	m := &Machine{Spec: s, StartedAt: started, keyCache: map[uint64]time.Duration{}}
	m.clearDegradation()
	return m
}

// PresentCapacity is the work that it can do in a second by now, in seconds: what a policy that sees the
// true state would reckon with.
func (m *Machine) PresentCapacity(now time.Duration) float64 {
	if m.State != Up && m.State != Draining {
		return 0
	}
	capacity := m.Capacity() * m.warmth(now) * (1 - m.stolenShare)
	if m.degradedSince != never {
		capacity /= m.DegradeFactor
	}
	return capacity
}

// updateRate works out by how much each request in work goes on from now.
func (m *Machine) updateRate() {
	running := float64(len(m.running))
	if running == 0 {
		m.serviceRate = 0
		return
	}
	m.serviceRate = m.PresentCapacity(m.now) / float64(m.Cores) * min(1, float64(m.Cores)/running)
	if load := running / float64(m.Cores); m.ThrashLoss > 0 && load > m.ThrashAt {
		m.serviceRate *= 1 - m.ThrashLoss*min(1, load/m.ThrashAt-1)
	}
}

// step is how long a rate that changes by itself is taken for constant.
const maxStep = 50 * time.Millisecond

// NextEvent is when something happens at the machine by itself.
func (m *Machine) NextEvent() time.Duration {
	next := never
	if len(m.running) > 0 && m.serviceRate > 0 {
		if s := (m.running[0].finishAt - m.serviceReceived) / m.serviceRate; s < 1e6 {
			next = m.now + max(0, time.Duration(math.Ceil(s*1e9)))
		}
	}
	if m.warmingUp(m.now) && len(m.running) > 0 || m.overloadedSince != never || m.degradedSince != never {
		next = min(next, m.now+maxStep)
	}
	return next
}

// Advance brings the machine to a time and returns what has ended, in order.
func (m *Machine) Advance(now time.Duration) (done []Completion) {
	for m.now < now {
		until := min(now, m.NextEvent())
		m.serviceReceived += m.serviceRate * (until - m.now).Seconds()
		m.now = until
		const slack = 1e-9 // a nanosecond: times are whole ones
		for len(m.running) > 0 && m.running[0].finishAt <= m.serviceReceived+slack {
			finished := heap.Pop(&m.running).(*task)
			elapsed := (m.now - finished.startedAt).Seconds()
			m.meanService += 0.1 * (elapsed - m.meanService)
			completion := Completion{Job: finished.Job, At: m.now, Result: Served, Ran: true, QueuedFor: finished.startedAt - finished.arrivedAt}
			if finished.ErrorDraw < m.ErrorRate {
				completion.Result = Failed
			}
			if finished.Key != 0 {
				m.rememberKey(finished.Key)
			}
			done = append(done, completion)
			m.startQueued()
		}
		m.updateDegradation()
		m.updateRate()
	}
	return done
}

// startQueued moves what waits into free slots.
func (m *Machine) startQueued() {
	for len(m.running) < m.Slots && len(m.queue) > 0 {
		r := m.queue[0]
		m.queue[0] = nil
		m.queue = m.queue[1:]
		m.startTask(r)
	}
}

func (m *Machine) startTask(r *task) {
	r.startedAt, r.finishAt = m.now, m.serviceReceived+r.seconds
	heap.Push(&m.running, r)
}

// Arrive takes a job at a time. Its end comes at once, or from Advance.
func (m *Machine) Arrive(now time.Duration, job Job) (done []Completion) {
	done = m.Advance(now)
	seconds := job.Work.Seconds()
	if lastSeen, known := m.keyCache[job.Key]; job.Key != 0 && known && now-lastSeen <= m.KeyTTL {
		seconds *= 1 - m.KeySaving
	}
	if job.NewConnection {
		seconds += m.Handshake.Seconds()
	}
	end := func(newTask Result) []Completion { return append(done, Completion{Job: job, At: now, Result: newTask}) }
	switch m.State {
	case Removed, Silent, Overloaded:
		return end(Lost)
	}
	if m.recordSlowStartWork(now, seconds, job.StartKnown) {
		return append(append(done, m.Stop(now, Overloaded)...), Completion{Job: job, At: now, Result: Lost})
	}
	if m.State == Draining {
		return end(Rejected)
	}
	if job.ErrorDraw < m.failureShare {
		return end(Failed)
	}
	newTask := &task{Job: job, arrivedAt: now, seconds: seconds}
	switch {
	case len(m.running) < m.Slots:
		m.startTask(newTask)
	case len(m.queue) < m.QueueCapacity:
		m.queue = append(m.queue, newTask)
	default:
		return end(Rejected)
	}
	m.updateDegradation()
	m.updateRate()
	return done
}

// Cancel says that an agent has closed the connection of an attempt. What is in work goes on.
func (m *Machine) Cancel(now time.Duration, attempt uint64) (done []Completion) {
	done = m.Advance(now)
	if !m.DropsCancelled {
		return done
	}
	for i, r := range m.queue {
		if r.Attempt == attempt {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			m.updateDegradation()
			return append(done, Completion{Job: r.Job, At: now, Result: Dropped})
		}
	}
	return done
}

// Stop ends the machine's process or takes it out of the world, in the given way. All it held is lost.
func (m *Machine) Stop(now time.Duration, s State) (done []Completion) {
	done = m.Advance(now)
	for _, r := range m.running {
		done = append(done, Completion{Job: r.Job, At: now, Result: Lost, Ran: true})
	}
	for _, r := range m.queue {
		done = append(done, Completion{Job: r.Job, At: now, Result: Lost})
	}
	m.running, m.queue, m.State = nil, nil, s
	m.clearDegradation()
	m.updateRate()
	return done
}

// Restart starts its process anew: it is cold.
func (m *Machine) Restart(now time.Duration) {
	m.now, m.StartedAt, m.State = max(m.now, now), now, Up
	m.running, m.queue, m.slowStartWork, m.slowStartTotal, m.informedTotal = nil, nil, nil, 0, 0
	m.keyCache = map[uint64]time.Duration{}
	m.clearDegradation()
	m.updateRate()
}

// Drain has it finish its work and take nothing new.
func (m *Machine) Drain(now time.Duration) (done []Completion) {
	done = m.Advance(now)
	if m.State == Up {
		m.State = Draining
	}
	return done
}

// SetFault sets the share of requests that fail at once and the share of the machine taken by another
// program. Zeroes end both.
func (m *Machine) SetFault(now time.Duration, failureShare, stolenShare float64) (done []Completion) {
	done = m.Advance(now)
	m.failureShare, m.stolenShare = failureShare, stolenShare
	m.updateRate()
	return done
}

