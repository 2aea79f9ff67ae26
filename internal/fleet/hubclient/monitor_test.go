// A monitor that checks invariants of a fleet throughout a test, by samples and traces.

package hubclient

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet/gossip"
)

const (
	sampleInterval = 50 * time.Millisecond
	maxQuotaSum    = 1.1                    // the limit of 1 plus a tolerance: quotas change while the monitor samples one agent after the other
	maxTraceDelay  = 500 * time.Millisecond // between the use of an entry and its trace line, on a busy machine
)

// traceLine is a line of a trace. It records that a process published (What is "tell") or used ("use") an entry.
type traceLine struct {
	What, Kind, Observer, Subject string
	Incarnation, Seq              uint64
	Age, At                       int64 // microseconds; At since the machine's start
}

type entryID struct {
	kind, observer, subject string
	incarnation, seq        uint64
}

// monitor checks invariants of a fleet during a test, by samples of all agents' status and by the traces of all
// processes: the sum of the quotas does not exceed the limit, versions never decrease, and no agent uses an entry
// beyond its age bound.
type monitor struct {
	bounds map[string]time.Duration
	stop   chan struct{}
	done   chan struct{}

	mu             sync.Mutex
	agents         map[string]func() Status
	newestVersions map[string][2]int64 // of settings and policy, by agent; kept when an agent restarts
	observedAt     map[entryID]int64   // when a published entry was observed, in microseconds since the machine's start
	uses           int                 // uses of entries in traces
	matched        int                 // uses of entries whose publication is in a trace
	samples        int
	minQuota       float64  // lower bound of each agent's quota; 0: not checked
	noneDead       bool     // hubs must not report any agent as dead
	maxSum         float64  // the highest sum of quotas in a sample
	violations     []string // the first 10
}

func newMonitor() *monitor {
	m := &monitor{bounds: map[string]time.Duration{}, stop: make(chan struct{}), done: make(chan struct{}),
		agents: map[string]func() Status{}, newestVersions: map[string][2]int64{},
		observedAt: map[entryID]int64{}}
	for k, d := range gossip.DefaultAgeBounds {
		m.bounds[k.String()] = d
	}
	go m.run()
	return m
}

func (m *monitor) run() {
	defer close(m.done)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-tick.C:
			m.sample()
		}
	}
}

// stopAndCheck ends sampling, and fails the test for each violation.
func (m *monitor) stopAndCheck(t *testing.T) {
	t.Helper()
	close(m.stop)
	<-m.done
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, violation := range m.violations {
		t.Error(violation)
	}
	t.Logf("%d samples, highest sum of quotas %.3f, %d entries published, %d uses checked, %d of them against the time of observation",
		m.samples, m.maxSum, len(m.observedAt), m.uses, m.matched)
	if m.samples == 0 {
		t.Error("the monitor took no sample, want at least one")
	}
}

func (m *monitor) addViolation(format string, args ...any) {
	if len(m.violations) < 10 {
		m.violations = append(m.violations, fmt.Sprintf(format, args...))
	}
}

func (m *monitor) agentStarted(name string, status func() Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.agents[name] = status
}

// require sets further invariants for later samples: a minimum for each quota and, if noneDead is set, that hubs report
// no agent as dead.
func (m *monitor) require(minQuota float64, noneDead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.minQuota, m.noneDead = minQuota, noneDead
}

func (m *monitor) agentStopped(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.agents, name)
}

func (m *monitor) sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	sum := 0.0
	for range 3 { // samples again, since a quota may change between the samples of two agents
		sum = 0
		for name, readStatus := range m.agents {
			status := readStatus()
			sum += max(0, status.Quota)
			if m.minQuota > 0 && status.Quota < m.minQuota {
				m.addViolation("%s has a quota of %v, want the required minimum at least", name, status.Quota)
			}
			if m.noneDead && status.FleetSize.Dead > 0 {
				m.addViolation("%s received a fleet size with %d dead agents, want none", name, status.FleetSize.Dead)
			}
			newest := m.newestVersions[name]
			if status.SettingsVersion < newest[0] || status.PolicyVersion < newest[1] {
				m.addViolation("%s returned from settings %d, policy %d to settings %d, policy %d; want no lower version",
					name, newest[0], newest[1], status.SettingsVersion, status.PolicyVersion)
			}
			m.newestVersions[name] = [2]int64{max(newest[0], status.SettingsVersion), max(newest[1], status.PolicyVersion)}
		}
		if sum <= maxQuotaSum+1e-9 {
			break
		}
	}
	if sum > maxQuotaSum+1e-9 {
		m.addViolation("the quotas of %d running agents add up to %.3f, want 1.1 at most", len(m.agents), sum)
	}
	m.maxSum = max(m.maxSum, sum)
}

// Write checks a line of the trace of an agent in the test process.
func (m *monitor) Write(p []byte) (int, error) {
	var line traceLine
	if err := json.Unmarshal(p, &line); err == nil {
		m.checkTraceLine(line)
	}
	return len(p), nil
}

func (m *monitor) checkTraceLine(line traceLine) {
	if line.What == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	id := entryID{line.Kind, line.Observer, line.Subject, line.Incarnation, line.Seq}
	if line.What == "tell" {
		m.observedAt[id] = line.At - line.Age
		return
	}
	m.uses++
	age, bound := time.Duration(line.Age)*time.Microsecond, m.bounds[line.Kind]
	if age > bound {
		m.addViolation("%+v was used beyond its age bound of %v", line, bound)
	}
	if observedAt, known := m.observedAt[id]; known {
		m.matched++
		if actualAge := time.Duration(line.At-observedAt) * time.Microsecond; actualAge > bound+maxTraceDelay {
			m.addViolation("%+v was used %v after its observation, beyond its age bound of %v", line, actualAge, bound)
		}
	}
}

// The monitor reports an agent that returns to an older version, quotas whose sum exceeds the limit, and the use of an
// entry beyond its age bound, both by the age in the trace and by the time of its observation.
func TestMonitorReportsEachViolation(t *testing.T) {
	t.Parallel()
	now := time.Now().UnixMicro()
	used := traceLine{What: "use", Kind: "gone", Observer: "h", Subject: "agents 0", Incarnation: 1, Seq: 1, Age: 1e6, At: now}
	published := used
	published.What, published.Age, published.At = "tell", 1e6, now-2e6
	for name, test := range map[string]struct {
		quota         float64
		version       int64
		lines         []traceLine
		minViolations int
	}{
		"no violation":       {1. / 5, 3, []traceLine{published, used}, 0},
		"an old version":     {1. / 5, 2, nil, 1},
		"a quota used twice": {2. / 5, 3, nil, 1},
		"an expired entry":   {1. / 5, 3, []traceLine{{What: "use", Kind: "gone", Age: 3000001}}, 1},
		"an entry observed too long ago": {1. / 5, 3, []traceLine{
			{What: "tell", Kind: "gone", Observer: "h", Subject: "agents 0", Incarnation: 1, Seq: 1, Age: 2e6, At: now - 2e6}, used}, 1},
	} {
		m := newMonitor()
		close(m.stop)
		<-m.done
		status := Status{Quota: 1. / 5, SettingsVersion: 3, PolicyVersion: 3}
		for i := range 5 {
			m.agentStarted(fmt.Sprint(i), func() Status { return status })
		}
		m.sample()
		altered := status
		altered.Quota, altered.SettingsVersion = test.quota, test.version
		m.agentStarted("0", func() Status { return altered })
		m.sample()
		for _, line := range test.lines {
			m.checkTraceLine(line)
		}
		if len(m.violations) < test.minViolations || test.minViolations == 0 && len(m.violations) > 0 {
			t.Errorf("%s: violations %q, want none in the case without a violation and at least one in any other", name, m.violations)
		}
	}
}
