package model

// The load report of an emulated backend.

import "time"

// Load is what a machine reports of itself.
type Load struct {
	Inflight int
	Util     float64
	Service  time.Duration // recent service time, without waiting
}

// Load tells the load at a time. It costs the machine ProbeWork, which the caller sends as a job of its own.
func (m *Machine) Load() Load {
	return Load{len(m.running) + len(m.queue), min(1, float64(len(m.running))/float64(m.Cores)),
		time.Duration(m.meanService * float64(time.Second))}
}
