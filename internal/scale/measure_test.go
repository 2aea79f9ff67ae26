package scale

import (
	"bytes"
	"fmt"
	"runtime"
	"runtime/pprof"
	"time"

	"martenbeam/internal/scale/simagent"
)

// What the machine must do for a run to count.
const (
	maxLateP99 = 20 * time.Millisecond // of 99 in a hundred beats
	maxBusy    = 0.85                  // of all cores
)

// span is one measured span of a fleet, whole, to be divided by who asks.
type span struct {
	duration  time.Duration
	cpu       time.Duration
	traffic   simagent.Traffic
	cpuByPart map[string]time.Duration // processor time by part; nil: no profile
	late      time.Duration            // p99
	maxLate   time.Duration
	steal     float64 // share of the machine's processors that its host gave to others
	void      string
}

// meter measures a span.
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

// startMeter begins a span. One profile at most is taken at a time.
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

func (m *meter) end() span {
	s := span{duration: time.Since(m.startedAt), cpu: processCPU() - m.cpu}
	now := m.fleet.traffic()
	for p := range now.In {
		s.traffic.In[p] = simagent.Count{Bytes: now.In[p].Bytes - m.traffic.In[p].Bytes, Messages: now.In[p].Messages - m.traffic.In[p].Messages}
		s.traffic.Out[p] = simagent.Count{Bytes: now.Out[p].Bytes - m.traffic.Out[p].Bytes, Messages: now.Out[p].Messages - m.traffic.Out[p].Messages}
	}
	s.traffic.FromRealAgents = simagent.Count{Bytes: now.FromRealAgents.Bytes - m.traffic.FromRealAgents.Bytes, Messages: now.FromRealAgents.Messages - m.traffic.FromRealAgents.Messages}
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
	busy := s.cpu.Seconds() / s.duration.Seconds() / float64(runtime.NumCPU())
	switch {
	case busy > maxBusy:
		s.void = fmt.Sprintf("processor %.0f%% busy, %.0f%% stolen by the host", 100*busy, 100*s.steal)
	case s.late > maxLateP99:
		s.void = fmt.Sprintf("timers late: p99 %v, processor %.0f%% busy, %.0f%% stolen by the host", s.late.Round(time.Millisecond), 100*busy, 100*s.steal)
	}
	return s
}
