package model

// The load report of an emulated backend.

import "time"

// Load is the load report of a backend.
type Load struct {
	Inflight int           // running and queued requests
	Util     float64       // share of the cores in use, from 0 to 1
	Service  time.Duration // running mean of the service time, without time in the queue
}

// Load returns the present load. The caller models the cost of the report by sending a separate job of ProbeWork.
func (m *Machine) Load() Load {
	return Load{len(m.running) + len(m.queue), min(1, float64(len(m.running))/float64(m.Cores)),
		time.Duration(m.meanService * float64(time.Second))}
}
