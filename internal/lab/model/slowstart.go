package model

// Slow start: the capacity of a backend that has just started, and the overload that crashes it.

import "time"

// capacityShare returns the share of its full capacity that a backend has at the time now.
func (m *Machine) capacityShare(now time.Duration) float64 {
	if !m.warmingUp(now) {
		return 1
	}
	return m.InitialCapacity + (1-m.InitialCapacity)*float64(now-m.StartedAt)/float64(m.SlowStartWindow)
}

func (m *Machine) warmingUp(now time.Duration) bool {
	return m.StartedAt >= 0 && now < m.StartedAt+m.SlowStartWindow
}

// sentWork is the work of one job sent to a backend in slow start.
type sentWork struct {
	at       time.Duration
	seconds  float64
	informed bool
}

// recordSlowStartWork adds work sent during slow start, and reports whether the work of the latest OverloadWindow crashes
// the backend.
func (m *Machine) recordSlowStartWork(now time.Duration, seconds float64, informed bool) bool {
	if !m.warmingUp(now) || m.OverloadWindow <= 0 {
		m.slowStartWork, m.slowStartTotal, m.informedTotal = nil, 0, 0
		return false
	}
	m.slowStartWork = append(m.slowStartWork, sentWork{now, seconds, informed})
	m.slowStartTotal += seconds
	if informed {
		m.informedTotal += seconds
	}
	for m.slowStartWork[0].at < now-m.OverloadWindow {
		m.slowStartTotal -= m.slowStartWork[0].seconds
		if m.slowStartWork[0].informed {
			m.informedTotal -= m.slowStartWork[0].seconds
		}
		m.slowStartWork = m.slowStartWork[1:]
	}
	// The slack, four requests of average work, prevents a few requests that arrive together from counting as overload.
	slack := 4 * m.slowStartTotal / float64(len(m.slowStartWork))
	budget := m.OverloadMultiple * m.Capacity() * m.capacityShare(now) * m.OverloadWindow.Seconds()
	if m.slowStartTotal <= budget+slack {
		return false
	}
	m.OverloadedAt, m.InformedShare = now, m.informedTotal/m.slowStartTotal
	return true
}
