package scale

// Measurement of a span of a fleet's run.

import (
	"bytes"
	"fmt"
	"runtime"
	"runtime/pprof"
	"time"

	"martenbeam/internal/scale/simagent"
)

// A run is void if it exceeds one of these limits, since the machine did not keep up.
const (
	maxLateP99  = 20 * time.Millisecond // 99th percentile of the timers' lateness
	maxCPUShare = 0.85                  // share of all cores' time
)

// span is the total usage of all agents of a fleet in a measured span.
type span struct {
	duration  time.Duration
	cpu       time.Duration
	traffic   simagent.Traffic
	cpuByPart map[string]time.Duration // sampled processor time by part of the product; nil: no profile was taken
	late      time.Duration            // 99th percentile of the timers' lateness
	maxLate   time.Duration
	steal     float64 // share of the processors' time that the machine's host gave to other machines
	void      string  // reason why the span does not count; "": it counts
}

// meter measures a span, from startMeter to end.
type meter struct {
	fleet     *testFleet
	startedAt time.Time
	cpu       time.Duration
	traffic   simagent.Traffic
	late      *lateness
	steal     float64
	total     float64
	profile   *bytes.Buffer
}

// startMeter begins a span. Only one span at a time may be profiled.
func (f *testFleet) startMeter(profiled bool) *meter {
	m := &meter{fleet: f, late: watchLateness(), traffic: f.traffic()}
	if profiled {
		m.profile = &bytes.Buffer{}
		if err := pprof.StartCPUProfile(m.profile); err != nil {
			f.t.Fatal(err)
		}
	}
	m.steal, m.total = stolenTime()
	m.startedAt, m.cpu = time.Now(), processCPU()
	return m
}

// end ends the span and returns its usage.
func (m *meter) end() span {
	s := span{duration: time.Since(m.startedAt), cpu: processCPU() - m.cpu}
	now := m.fleet.traffic()
	for p := range now.In {
		s.traffic.In[p] = countSince(m.traffic.In[p], now.In[p])
		s.traffic.Out[p] = countSince(m.traffic.Out[p], now.Out[p])
	}
	s.traffic.FromRealAgents = countSince(m.traffic.FromRealAgents, now.FromRealAgents)
	if steal, all := stolenTime(); all > m.total {
		s.steal = (steal - m.steal) / (all - m.total)
	}
	s.late, s.maxLate = m.late.stop()
	if m.profile != nil {
		pprof.StopCPUProfile()
		var err error
		if s.cpuByPart, err = cpuByPart(m.profile); err != nil {
			m.fleet.t.Fatal(err)
		}
	}
	cpuShare := s.cpu.Seconds() / s.duration.Seconds() / float64(runtime.NumCPU())
	switch {
	case cpuShare > maxCPUShare:
		s.void = fmt.Sprintf("processor %.0f%% busy, %.0f%% stolen by the host", 100*cpuShare, 100*s.steal)
	case s.late > maxLateP99:
		s.void = fmt.Sprintf("timers late: p99 %v, processor %.0f%% busy, %.0f%% stolen by the host",
			s.late.Round(time.Millisecond), 100*cpuShare, 100*s.steal)
	}
	return s
}

// countSince returns the difference of two counts.
func countSince(before, now simagent.Count) simagent.Count {
	return simagent.Count{Bytes: now.Bytes - before.Bytes, Messages: now.Messages - before.Messages}
}
