package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"martenbeam/internal/lab/netfault"
)

// The lab checks the state that agents share from outside. Each process traces the gossip entries that it publishes and uses,
// and the quotas that it takes. Times are since the machine's boot, so the lab can compare times of different processes.

const (
	traceName    = "fleet.trace"
	maxTraceLine = 1 << 20 // bytes
)

// entryAgeBounds are the configured age bounds of gossip entries, by kind.
var entryAgeBounds = map[string]time.Duration{"service": 5 * time.Second, "distance": 3 * time.Second, "residency": 10 * time.Second, "gone": 3 * time.Second,
	"settings": 10 * time.Second, "census": 3 * time.Second}

const (
	ageSlack    = 50 * time.Millisecond // for writing the trace, and for the first message between two processes
	maxQuotaSum = 1.1                   // bound on the sum of all agents' quotas, as a multiple of the in-flight limit
)

// fleetConfig returns the parts of an agent's configuration for its fleet and for the residency policy. A part that the scenario
// does not use is nil.
func (l *Lab) fleetConfig(a *agent) (fleet, policy map[string]any) {
	s := &l.Scenario.Shared
	if !s.Enabled {
		return nil, nil
	}
	var seeds []string
	for i := range min(3, len(l.agents)) {
		seeds = append(seeds, l.fleetLink(i*len(l.agents)/3%len(l.agents)))
	}
	ages := map[string]any{}
	for kind, d := range entryAgeBounds {
		ages[kind] = d.Seconds() * 1e3
	}
	lists := "own"
	if s.RelayedLists {
		lists = "relayed"
	}
	fleet = map[string]any{"listen": l.fleetAddr(a.number), "advertise": l.fleetLink(a.number), "seeds": seeds, "label": l.label(),
		"most": len(l.agents), "lists": lists, "list_rate": l.Scenario.Discovery.Rate, "matrix": s.LatencyMatrix, "max_age_ms": ages,
		"trace": filepath.Join(a.dir, traceName)}
	if len(l.hubs) > 0 {
		hubs := map[string]string{}
		for _, h := range l.hubs {
			hubs[l.Scenario.Fleet.Zones[l.zone(endpointOf(netfault.Hub, h.number))]] = l.hubLink(h.number)
		}
		fleet["hubs"], fleet["settings_state"] = hubs, filepath.Join(a.dir, "settings")
		if !s.MeshFallback {
			fleet["seeds"] = []string{}
		}
	}
	if s.Policy == "" {
		return fleet, nil
	}
	policy = map[string]any{"bound_ms": s.PolicyBound.Duration().Seconds() * 1e3, "state": filepath.Join(a.dir, "residency")}
	if a.number < s.Sources && len(l.hubs) == 0 {
		policy["policy"] = l.policyFile(a)
	}
	return fleet, policy
}

func (l *Lab) label() string { return fmt.Sprintf("lab-%d", l.Seed) }

// violation returns a description of the first violated bound, or "" if no bound was violated.
func (r *Shared) violation() string {
	switch {
	case r == nil:
	case r.PastBound > 0:
		return r.First
	case r.MaxQuotaSum > maxQuotaSum:
		return fmt.Sprintf("parts of the limit sum up to %.3f, at most %v", r.MaxQuotaSum, maxQuotaSum)
	case r.Settings != nil && r.Settings.PastBound+r.Settings.Regressions > 0:
		return r.Settings.First
	}
	return ""
}

// Shared reports the state that the agents of a fleet shared.
type Shared struct {
	Ages               map[string]Percentiles `json:"age_at_use_ms"`
	Used               map[string]int         `json:"used"`
	PastBound          int                    `json:"past_bound"` // uses of entries that were older than their bound
	First              string                 `json:"first,omitempty"`
	MaxQuotaSum        float64                `json:"parts_most"`            // the largest sum of the agents' quotas, as a multiple of the in-flight limit
	Bytes              float64                `json:"bytes_per_s_per_agent"` // sent and received by agents, each message counted once
	Matrix             *MatrixError           `json:"matrix,omitempty"`
	AgentsWithoutTrace int                    `json:"agents_without_part"`
	Settings           *SettingsReport        `json:"settings,omitempty"`
}

// MatrixError is the relative error of the agents' latency matrices. It covers only times at which the network had not changed
// for stableNetworkTime.
type MatrixError struct {
	P50     float64 `json:"p50"` // as a share of the measured round trip, or of 2 ms if the round trip is shorter
	P99     float64 `json:"p99"`
	Entries int     `json:"entries"`
}

type traceLine struct {
	At          int64              `json:"at"`
	What        string             `json:"what"`
	Kind        string             `json:"kind"`
	Observer    string             `json:"observer"`
	Subject     string             `json:"subject"`
	Incarnation uint64             `json:"incarnation"`
	Seq         uint64             `json:"seq"`
	Age         int64              `json:"age"`
	Quota       *float64           `json:"part"`
	Matrix      map[string]float64 `json:"matrix"`

	user string // the process whose trace has the line
}

type quotaAt struct {
	at    int64 // in microseconds since boot
	agent int
	quota float64
}

// traces holds the traces of all processes of a fleet.
type traces struct {
	publishedAt  map[string]int64 // by entry name: the time of publication minus the entry's age at that time, in microseconds since boot
	uses         []traceLine
	quotas       []quotaAt
	matrixErrors []float64
	missing      int // agents without a trace
}

// entryName identifies a version of a gossip entry.
func (x *traceLine) entryName() string {
	return fmt.Sprint(x.Kind, " ", x.Observer, " ", x.Subject, " ", x.Incarnation, " ", x.Seq)
}

// sharedReport evaluates the traces of all processes. It returns nil if agents are not a fleet. Lab.mu is held.
func (l *Lab) sharedReport() *Shared {
	if !l.Scenario.Shared.Enabled {
		return nil
	}
	all := l.readTraces()
	r := &Shared{Ages: map[string]Percentiles{}, Used: map[string]int{}, AgentsWithoutTrace: all.missing}
	l.fleet.mu.Lock()
	r.Bytes = float64(l.fleet.bytes) / max(1, l.now().Seconds()) / float64(len(l.agents))
	l.fleet.mu.Unlock()
	r.checkAges(all)
	r.MaxQuotaSum = l.maxSumOfQuotas(all.quotas, l.traceTime(0))
	r.Settings = l.settingsReport(l.allAppliedVersions())
	if errors := all.matrixErrors; len(errors) > 0 {
		slices.Sort(errors)
		r.Matrix = &MatrixError{P50: errors[len(errors)/2], P99: errors[int(0.99*float64(len(errors)-1))], Entries: len(errors)}
	}
	return r
}

// readTraces reads the traces of all processes. Lab.mu is held.
func (l *Lab) readTraces() *traces {
	all := &traces{publishedAt: map[string]int64{}}
	for _, h := range l.hubs {
		_ = l.readTrace(all, &h.process, -1) // a hub without a trace has published nothing
	}
	for _, a := range l.agents {
		if err := l.readTrace(all, &a.process, a.number); err != nil {
			all.missing++
		}
	}
	return all
}

// readTrace adds the trace of a process; agent is its number, negative for a hub. Lab.mu is held.
func (l *Lab) readTrace(all *traces, p *process, agent int) error {
	f, err := os.Open(filepath.Join(p.dir, traceName))
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxTraceLine)
	for lines.Scan() {
		var x traceLine
		if json.Unmarshal(lines.Bytes(), &x) != nil {
			continue // a kill truncated the line
		}
		switch {
		case x.Quota != nil:
			if agent >= 0 {
				all.quotas = append(all.quotas, quotaAt{x.At, agent, *x.Quota})
			}
		case x.Matrix != nil:
			all.matrixErrors = append(all.matrixErrors, l.matrixErrors(x.At, x.Matrix)...)
		case x.What == "tell":
			all.publishedAt[x.entryName()] = x.At - x.Age // an aggregate is as old as its oldest input
		case x.What == "use":
			x.user = filepath.Base(p.dir)
			all.uses = append(all.uses, x)
		}
	}
	return nil
}

// checkAges compares the age of each entry at its use with the bound of its kind.
func (r *Shared) checkAges(all *traces) {
	ages := map[string]*hdrhistogram.Histogram{}
	for i := range all.uses {
		x := &all.uses[i]
		at, known := all.publishedAt[x.entryName()]
		if !known {
			continue // a kill lost the trace line of the publication
		}
		age := time.Duration(x.At-at) * time.Microsecond
		if ages[x.Kind] == nil {
			ages[x.Kind] = hdrhistogram.New(1, 3600e3, 3)
		}
		_ = ages[x.Kind].RecordValue(max(1, age.Milliseconds())) // fails only above the histogram's maximum of one hour
		r.Used[x.Kind]++
		if age > entryAgeBounds[x.Kind]+ageSlack {
			if r.PastBound++; r.First == "" {
				r.First = fmt.Sprintf("%s was used by %s %v old (%v by its own clock), bound %v", x.entryName(), x.user, age,
					time.Duration(x.Age)*time.Microsecond, entryAgeBounds[x.Kind])
			}
		}
	}
	for kind, h := range ages {
		r.Ages[kind] = Percentiles{float64(h.ValueAtQuantile(50)), float64(h.ValueAtQuantile(99)), float64(h.Max())}
	}
}

// maxSumOfQuotas returns the largest sum of the quotas of all running agents at any time after the start of the run.
func (l *Lab) maxSumOfQuotas(quotas []quotaAt, begin int64) (maxSum float64) {
	for _, d := range l.processEnds { // a process that has ended has no quota
		quotas = append(quotas, quotaAt{l.traceTime(d.at), d.agent, 0})
	}
	slices.SortStableFunc(quotas, func(a, b quotaAt) int { return int(a.at - b.at) })
	current, sum := map[int]float64{}, 0.0
	for _, change := range quotas {
		if change.at >= begin {
			maxSum = max(maxSum, sum) // the sum before this change
		}
		sum += change.quota - current[change.agent]
		current[change.agent] = change.quota
	}
	return max(maxSum, sum)
}

type processEnd struct {
	at    time.Duration
	agent int
}

// stableNetworkTime is the time since the latest change of the network after which latency matrices are compared with the
// network.
const stableNetworkTime = 3500 * time.Millisecond

// matrixErrors compares a latency matrix with the recent transit times of datagrams. It returns each error as a share of the
// measured round trip, or of 2 ms if the round trip is shorter; nil if the network changed within stableNetworkTime. Lab.mu is
// held.
func (l *Lab) matrixErrors(at int64, m map[string]float64) (list []float64) {
	t := time.Duration(at-l.traceTime(0)) * time.Microsecond
	for _, c := range l.networkChanges {
		if t >= c && t < c+stableNetworkTime {
			return nil
		}
	}
	zones := l.Scenario.Fleet.Zones
	for i, a := range zones {
		for j, b := range zones {
			roundTrip, known := m[a+" "+b]
			forward, forwardOK := l.fleet.recentTransit(i, j, t)
			backward, backwardOK := l.fleet.recentTransit(j, i, t)
			if i != j && known && roundTrip > 0 && forwardOK && backwardOK {
				measured := (forward + backward).Seconds() * 1e6
				list = append(list, math.Abs(roundTrip-measured)/max(measured, 2000))
			}
		}
	}
	return list
}
