package model

// Degradation: a backend that is overloaded for DegradeAfter becomes slower until it recovers.

func (m *Machine) clearDegradation() {
	m.overloadedSince, m.degradedSince, m.idleSince = never, never, never
}

// updateDegradation starts or ends the degraded state according to the present load and its duration.
func (m *Machine) updateDegradation() {
	if m.DegradeAt <= 0 {
		return
	}
	load := float64(len(m.running)+len(m.queue)) / float64(m.Cores)
	switch {
	case load <= m.DegradeAt:
		m.overloadedSince = never
	case m.overloadedSince == never:
		m.overloadedSince = m.now
	case m.degradedSince == never && m.now-m.overloadedSince >= m.DegradeAfter:
		m.degradedSince = m.now
	}
	if m.degradedSince == never {
		return
	}
	const mostlyIdleLoad = 0.4 // requests per core, running or queued
	switch {
	case load > mostlyIdleLoad:
		m.idleSince = never
	case m.idleSince == never:
		m.idleSince = m.now
	}
	if m.idleSince != never && m.now-m.idleSince >= m.RecoverAfter || m.now-m.degradedSince >= m.MaxDegraded {
		m.clearDegradation()
	}
}
