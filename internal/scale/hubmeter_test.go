package scale

// Measurement of the resources that the hubs' processes use.

import (
	"testing"
	"time"
)

// hubMeter measures the processor time and memory of the hubs' processes over a span.
type hubMeter struct {
	t         testing.TB
	hubs      *hubProcesses
	cpuBefore []time.Duration
}

// meter begins a span. For a fleet without hubs (h is nil) the meter has no values.
func (h *hubProcesses) meter(t testing.TB) *hubMeter {
	m := &hubMeter{t: t, hubs: h}
	if h != nil {
		for i := range h.processes {
			cpu, _ := m.read(i)
			m.cpuBefore = append(m.cpuBefore, cpu)
		}
	}
	return m
}

// read returns the processor time of hub i since its start, and its resident memory in kB.
func (m *hubMeter) read(i int) (time.Duration, float64) {
	cpu, rss, err := processUsage(m.hubs.processes[i].Process.Pid)
	if err != nil {
		m.t.Fatal(err)
	}
	return cpu, rss
}

// end returns the usage of one hub in a span, as the mean over all hubs, and the usage of the first hub. Bytes include only
// the agents' connections to hubs, not traffic between hubs.
func (m *hubMeter) end(s span) map[string]float64 {
	v := map[string]float64{}
	for i, before := range m.cpuBefore {
		cpu, rss := m.read(i)
		used := (cpu - before).Seconds() * 1e3 / s.duration.Seconds()
		v["a hub: processor ms/s"] += used / float64(len(m.cpuBefore))
		v["a hub: resident MB"] += rss / 1e3 / float64(len(m.cpuBefore))
		if i == 0 {
			v["the first hub: processor ms/s"], v["the first hub: resident MB"] = used, rss/1e3
		}
	}
	if n := float64(len(m.cpuBefore)); n > 0 {
		for p := range s.traffic.Out {
			v["a hub: bytes/s from its agents"] += float64(s.traffic.Out[p].Bytes) / s.duration.Seconds() / n
			v["a hub: bytes/s to its agents"] += float64(s.traffic.In[p].Bytes) / s.duration.Seconds() / n
		}
	}
	return v
}
