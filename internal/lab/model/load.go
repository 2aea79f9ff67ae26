package model

// The load report of an emulated backend.

import "time"

// Load is the load report of a backend.
type Load struct {
	Inflight int           // requests held, queued ones included
	Util     float64       // share of the cores in use, from 0 to 1
	Service  time.Duration // recent service time, without waiting
}

// Load returns the present load. Its cost, ProbeWork, is up to the caller, who sends it as a job of its own.
func (m *Machine) Load() Load {
	return Load{len(m.running) + len(m.queue), min(1, float64(len(m.running))/float64(m.Cores)),
		time.Duration(m.meanService * float64(time.Second))}
}
