package model

// Slow start: the capacity of a backend that has just started, and the overload that crashes it.

import "time"

// warmth is the part of its capacity that a machine has at a time after its start.
func (m *Machine) warmth(now time.Duration) float64 {
	if !m.warmingUp(now) {
		return 1
	}
	return m.InitialCapacity + (1-m.InitialCapacity)*float64(now-m.StartedAt)/float64(m.SlowStartWindow)
}

func (m *Machine) warmingUp(now time.Duration) bool {
	return m.StartedAt >= 0 && now < m.StartedAt+m.SlowStartWindow
}

type sentWork struct {
	at       time.Duration
	seconds  float64
	informed bool
}

// recordSlowStartWork counts work sent to a cold machine, and reports whether it falls over.
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
	// The slack is for chance: a few requests are no pressure.
	slack := 4 * m.slowStartTotal / float64(len(m.slowStartWork))
	budget := m.OverloadMultiple * m.Capacity() * m.warmth(now) * m.OverloadWindow.Seconds()
	if m.slowStartTotal <= budget+slack {
		return false
	}
	m.OverloadedAt, m.InformedShare = now, m.informedTotal/m.slowStartTotal
	return true
}

