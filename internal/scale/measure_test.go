package scale

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/pprof/profile"

	"martenbeam/internal/scale/simagent"
)

// processCPU is the time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // its arguments are constants
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stolenTime is how much of its processors' time the machine was not given by its host, and of how much.
func stolenTime() (steal, total float64) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line)[1:] {
		n, _ := strconv.ParseFloat(field, 64) // 0 if it is odd
		if i < 8 {                            // guests' time is in users' already
			total += n
		}
		if i == 7 {
			steal = n
		}
	}
	return steal, total
}

// residentBytes is this process's resident memory, bytes.
func residentBytes() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64) // 0 if it is odd
	return pages * float64(os.Getpagesize())
}

// lateness finds out whether the machine bears a run: how late a task comes that is due each 10 ms.
type lateness struct {
	end  chan struct{}
	done sync.WaitGroup
	late []time.Duration
}

const beatInterval = 10 * time.Millisecond

func watchLateness() *lateness {
	l := &lateness{end: make(chan struct{})}
	l.done.Go(func() {
		for due := time.Now().Add(beatInterval); ; {
			select {
			case <-l.end:
				return
			case <-time.After(time.Until(due)):
			}
			now := time.Now()
			l.late = append(l.late, now.Sub(due))
			due = now.Add(beatInterval)
		}
	})
	return l
}

// stop ends it, and returns the 99th percentile and the longest.
func (l *lateness) stop() (p99, most time.Duration) {
	close(l.end)
	l.done.Wait()
	return quantile(l.late, 0.99), quantile(l.late, 1)
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(list))
	return s[int(math.Ceil(q*float64(len(s)-1)))]
}

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
func (c *testFleet) startMeter(profiled bool) *meter {
	m := &meter{fleet: c, late: watchLateness(), traffic: c.traffic()}
	if profiled {
		m.profile = &bytes.Buffer{}
		if err := pprof.StartCPUProfile(m.profile); err != nil {
			c.t.Fatal(err)
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

// memory is heap in use and resident memory after a collection, bytes.
func memory() (heap, rss float64) {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), residentBytes()
}

// rules tell by a function on the stack whose a sample is, the first that matches anywhere.
var profileRules = []struct {
	part string
	in   []string
}{
	{"harness", []string{"internal/scale.", "net/http.(*conn).serve;internal/scale"}},
	{"distances", []string{"internal/fleet/latency.", "fleet.(*Fleet).publishLatencies"}},
	{"list", []string{"internal/fleet.(*relay).ServeHTTP", "internal/agent/discovery.", "internal/fleet/startup.", "fleet.(*Fleet).Next", "fleet.(*Fleet).RecordUpdate"}},
	{"settings", []string{"internal/settings.", "hubclient.appliedSettings"}},
	{"hub stream", []string{"internal/fleet/hubclient.(*attachment)", "internal/fleet/hub/frame."}},
	{"policy", []string{"fleet.(*Fleet).shareDocuments", "fleet.(*Fleet).fetchPolicy", "fleet.(*Fleet).getPolicy", "internal/fleet.(*relay).policy", "internal/residency."}},
	{"facts", []string{"internal/fleet/gossip."}},
	{"parts", []string{"fleet.(*Fleet).recomputeQuota", "fleet.(*Fleet).detectDead", "fleet.(*Fleet).logSummary", "fleet.(*Fleet).runLoop", "internal/fleet/hubclient.(*Client).runLoop"}},
	{"members", []string{"hashicorp/memberlist", "internal/fleet/member."}},
	{"streams", []string{"net/http."}},
	{"collector", []string{"runtime.gcBgMarkWorker", "runtime.bgsweep", "runtime.bgscavenge", "runtime.gcStart"}},
}

// partOf names the part of a stack. What no rule knows is the runtime's: its scheduler and its timers.
func partOf(stack []string) string {
	for _, r := range profileRules {
		for _, f := range stack {
			for _, in := range r.in {
				if strings.Contains(f, in) {
					return r.part
				}
			}
		}
	}
	return "runtime"
}

// cpuByPart attributes a processor profile.
func cpuByPart(data *bytes.Buffer) (map[string]time.Duration, error) {
	p, err := profile.Parse(data)
	if err != nil {
		return nil, err
	}
	parts := map[string]time.Duration{}
	for _, s := range p.Sample {
		var stack []string
		for _, l := range s.Location {
			for _, line := range l.Line {
				if line.Function != nil {
					stack = append(stack, line.Function.Name)
				}
			}
		}
		parts[partOf(stack)] += time.Duration(s.Value[len(s.Value)-1])
	}
	return parts, nil
}
