// Package model models the backends of an emulated fleet: cores shared by the requests in service, a bounded queue, slow start,
// a crash by overload in slow start, degradation under load, and a cache of keys.
//
// The package has no clock, sockets or goroutines: the caller passes the time, and each Job contains its random draw. Times are
// spans since the start of the run. Work is given as time on one reference core. A Machine is not safe for concurrent use.
package model

import (
	"container/heap"
	"math"
	"time"
)

// Machine is one emulated backend.
type Machine struct {
	Spec
	State         State
	StartedAt     time.Duration // negative: before the run, so that the slow start is over
	OverloadedAt  time.Duration // when the backend crashed by overload
	InformedShare float64       // share of the work that crashed the backend, from agents to which discovery had delivered the backend's start

	failureShare    float64 // share of requests that fail at once because of a fault
	stolenShare     float64 // share of the capacity that another program uses because of a fault
	now             time.Duration
	serviceReceived float64 // seconds of work that a request running since time 0 would have received by now
	serviceRate     float64 // seconds of work per second that each running request receives
	running         taskHeap
	queue           []*task // oldest first
	keyCache        map[uint64]time.Duration
	slowStartWork   []sentWork    // within the latest overload window
	slowStartTotal  float64       // seconds of slowStartWork
	informedTotal   float64       // seconds of slowStartWork from agents that had received the backend's start
	overloadedSince time.Duration // never: not overloaded
	degradedSince   time.Duration // never: not degraded
	idleSince       time.Duration // never: not mostly idle
	meanService     float64       // running mean of the service time, in seconds
}

// never is later than any run lasts.
const never = time.Duration(math.MaxInt64)

// New returns a backend that started at a time. A negative time means that its slow start is over.
func New(s Spec, started time.Duration) *Machine {
	m := &Machine{Spec: s, StartedAt: started, keyCache: map[uint64]time.Duration{}}
	m.clearDegradation()
	return m
}

// PresentCapacity returns the work that the backend can do in a second in its present state, in seconds of a reference core.
// It is the value that a routing policy with access to the true state would use.
func (m *Machine) PresentCapacity(now time.Duration) float64 {
	if m.State != Up && m.State != Draining {
		return 0
	}
	capacity := m.Capacity() * m.capacityShare(now) * (1 - m.stolenShare)
	if m.degradedSince != never {
		capacity /= m.DegradeFactor
	}
	return capacity
}

// updateRate recomputes serviceRate. Callers call it after each change of the running requests or of the capacity.
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

// maxStep is the longest span over which a continuously changing service rate is treated as constant.
const maxStep = 50 * time.Millisecond

// NextEvent returns the next time at which a running job may end or the service rate may change without input, or never.
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

// Advance moves the backend to a time and returns the completions until then, ordered by time.
func (m *Machine) Advance(now time.Duration) (done []Completion) {
	for m.now < now {
		until := min(now, m.NextEvent())
		m.serviceReceived += m.serviceRate * (until - m.now).Seconds()
		m.now = until
		const slack = 1e-9 // in seconds of work; times are rounded to nanoseconds
		for len(m.running) > 0 && m.running[0].finishAt <= m.serviceReceived+slack {
			finished := heap.Pop(&m.running).(*task)
			elapsed := (m.now - finished.startedAt).Seconds()
			m.meanService += 0.1 * (elapsed - m.meanService)
			completion := Completion{Job: finished.Job, At: m.now, Result: Served, Ran: true, QueuedFor: finished.startedAt - finished.arrivedAt}
			if finished.ErrorDraw < m.ErrorRate {
				completion.Result = Failed
			}
			if finished.Key != 0 {
				m.cacheKey(finished.Key)
			}
			done = append(done, completion)
			m.startQueued()
		}
		m.updateDegradation()
		m.updateRate()
	}
	return done
}

// startQueued moves queued requests into free slots.
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

// Arrive passes a job to the backend. The job's completion is returned by this call or by a later one that advances the
// backend or stops it.
func (m *Machine) Arrive(now time.Duration, job Job) (done []Completion) {
	done = m.Advance(now)
	seconds := job.Work.Seconds()
	if lastSeen, known := m.keyCache[job.Key]; job.Key != 0 && known && now-lastSeen <= m.KeyTTL {
		seconds *= 1 - m.KeySaving
	}
	if job.NewConnection {
		seconds += m.Handshake.Seconds()
	}
	end := func(result Result) []Completion { return append(done, Completion{Job: job, At: now, Result: result}) }
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

// Cancel reports that an agent has closed the connection of an attempt. A queued job is dropped if DropsCancelled is set;
// a running job continues.
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

// Stop takes the backend out of service and sets the given state. All running and queued jobs are lost.
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

// Restart starts the process again, in slow start. The caller stops the backend first: Restart drops jobs without a completion.
func (m *Machine) Restart(now time.Duration) {
	m.now, m.StartedAt, m.State = max(m.now, now), now, Up
	m.running, m.queue, m.slowStartWork, m.slowStartTotal, m.informedTotal = nil, nil, nil, 0, 0
	m.keyCache = map[uint64]time.Duration{}
	m.clearDegradation()
	m.updateRate()
}

// Drain makes the backend reject new jobs. Running and queued jobs are finished.
func (m *Machine) Drain(now time.Duration) (done []Completion) {
	done = m.Advance(now)
	if m.State == Up {
		m.State = Draining
	}
	return done
}

// SetFault sets the share of requests that fail at once and the share of the capacity that another program uses. Zeros end
// both faults.
func (m *Machine) SetFault(now time.Duration, failureShare, stolenShare float64) (done []Completion) {
	done = m.Advance(now)
	m.failureShare, m.stolenShare = failureShare, stolenShare
	m.updateRate()
	return done
}
