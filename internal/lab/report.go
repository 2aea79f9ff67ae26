package lab

import (
	"os/exec"
	"runtime/debug"
	"strings"

	"martenbeam/internal/lab/check"
)

// Schema is the version of the JSON form of Report.
const Schema = 1

// Report is the result of a run. Shares are from 0 to 1; the JSON key of a time names its unit.
type Report struct {
	Schema          int     `json:"schema"`
	Scenario        string  `json:"scenario"`
	Seed            uint64  `json:"seed"`
	Commit          string  `json:"commit"`
	Agents          int     `json:"agents"`
	Backends        int     `json:"backends"`
	DurationSeconds float64 `json:"for_s"`
	WarmUpSeconds   float64 `json:"settle_s"`
	Verdict         string  `json:"verdict"` // "kept", "broken", "crashed" or "void"

	Offered            int         `json:"offered"` // requests of clients; a request and its retries count once
	ServedInObjective  float64     `json:"served_in_aim"`
	Rejected           float64     `json:"refused"`
	Failed             float64     `json:"failed"`
	Lost               int         `json:"lost"`
	Attempts           float64     `json:"attempts_per_request"`
	CrossZone          float64     `json:"cross_zone_share"`
	Worst10s           float64     `json:"worst_10s"`
	Worst10sAt         int         `json:"worst_10s_at_s"`
	AvoidedAfter       *float64    `json:"left_after_s"` // see avoidedAfter
	OverloadedBackends int         `json:"fall_overs"`
	Latency            Percentiles `json:"latency_ms"`
	Rules              Rules       `json:"rules"`
	Crashes            int         `json:"crashes"`
	Crash              string      `json:"crash,omitempty"`
	LabLateness        struct {
		P50 float64 `json:"p50"`
		P99 float64 `json:"p99"`
	} `json:"lab_late_ms"`
	Agent             Usage              `json:"agent"`
	Datagrams         float64            `json:"datagrams_per_s"`
	MaxDialsPerSecond int                `json:"connections_busiest_backend_worst_s"` // opened in one second, after the warm-up
	RestartTimes      Percentiles        `json:"ready_ms"`                            // from the restart of an agent until it accepts clients
	RecoveryTime      *float64           `json:"recovered_after_s"`                   // see recoveryTime
	Lists             *Lists             `json:"list_service,omitempty"`
	Shared            *Shared            `json:"shared,omitempty"`
	Hubs              *HubsReport        `json:"hubs,omitempty"`
	WorkScale         float64            `json:"work_scale"`
	Classes           map[string]float64 `json:"served_in_aim_by_class"`
	Tenants           map[string]float64 `json:"served_in_aim_by_tenant"`
	Zones             map[string]float64 `json:"served_in_aim_by_zone"`
	Windows           []check.Window     `json:"windows"`
}

// Percentiles holds percentiles, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Rules holds the violations of a run.
type Rules struct {
	Violations int              `json:"broken"`
	First      *check.Violation `json:"first"`
	ByRule     map[string]int   `json:"by_rule,omitempty"`
	History    *check.Request   `json:"history,omitempty"` // of the first request that broke a rule
	Shared     string           `json:"shared,omitempty"`  // the first violated bound of the state that agents share
}

// The verdicts of a run, as the report has them.
const (
	Passed       = "kept"
	Violated     = "broken"
	Crashed      = "crashed"
	Inconclusive = "void"
)

// worstWindow is the length of the worst span of a report, in seconds.
const worstWindow = 10

// report returns the result of the run. Lab.mu is held.
func (l *Lab) report() *Report {
	s := l.Scenario
	r := &Report{Schema: Schema, Scenario: s.Name, Seed: l.Seed, Commit: commit(), Agents: len(l.agents), Backends: s.Fleet.Backends,
		DurationSeconds: s.Duration.Duration().Seconds(), WarmUpSeconds: s.WarmUp.Duration().Seconds(),
		AvoidedAfter: l.avoidedAfter(), OverloadedBackends: l.overloadedBackends, Crashes: len(l.crashes), WorkScale: l.scale,
		Datagrams: float64(l.datagrams) / max(1, l.now().Seconds())}
	l.reportService(r)
	r.LabLateness.P50, r.LabLateness.P99 = float64(l.lateness.ValueAtQuantile(50))/1e3, float64(l.lateness.ValueAtQuantile(99))/1e3
	r.MaxDialsPerSecond, r.RestartTimes, r.RecoveryTime = l.maxConnectionsPerSecond(), l.restartTimePercentiles(), l.recoveryTime()
	r.Lists, r.Shared, r.Hubs = l.listsReport(), l.sharedReport(), l.hubsReport()
	for _, a := range l.agents {
		r.Agent.RSS, r.Agent.FDs = max(r.Agent.RSS, a.usage.RSS), max(r.Agent.FDs, a.usage.FDs)
		r.Agent.CPU += a.usage.CPU
	}
	l.reportVerdict(r)
	return r
}

// reportService fills in the outcomes and latencies of the clients' requests. Lab.mu is held.
func (l *Lab) reportService(r *Report) {
	l.tally.CompleteWindows(len(l.tally.Windows))
	sum := l.tally.Total()
	offered, attempts := float64(sum.Offered), float64(l.tally.Attempts)
	r.Offered, r.Lost, r.Windows = sum.Offered, sum.Lost, l.tally.Windows
	r.ServedInObjective = share(sum.WeightInObjective, sum.Weight)
	r.Rejected, r.Failed = share(float64(sum.Rejected), offered), share(float64(sum.Failed), offered)
	r.Attempts, r.CrossZone = share(attempts, offered), share(float64(l.tally.CrossZone), attempts)
	r.Worst10s, r.Worst10sAt = l.tally.Worst(worstWindow)
	at := func(q float64) float64 { return float64(l.tally.Latency.ValueAtQuantile(q)) / 1e3 }
	r.Latency = Percentiles{at(50), at(99), at(99.9)}
	r.Classes, r.Tenants, r.Zones = map[string]float64{}, map[string]float64{}, map[string]float64{}
	for i, p := range l.tally.Classes {
		r.Classes[l.classes[i].name] = share(p.WeightInObjective, p.Weight)
	}
	for i, p := range l.tally.Tenants {
		r.Tenants[tenants[i].name] = share(p.WeightInObjective, p.Weight)
	}
	for i, p := range l.tally.Zones {
		r.Zones[l.Scenario.Fleet.Zones[i]] = share(p.WeightInObjective, p.Weight)
	}
}

// reportVerdict fills in the violations and the verdict. Lab.mu is held.
func (l *Lab) reportVerdict(r *Report) {
	violations, count := l.check.Violations()
	r.Rules.Violations = count
	if len(violations) > 0 {
		r.Rules.First, r.Rules.History, r.Rules.ByRule = &violations[0], l.check.FirstViolator(), map[string]int{}
		for _, v := range violations {
			r.Rules.ByRule[v.Rule]++
		}
	}
	switch {
	case r.LabLateness.P99 > l.Scenario.Limits.MaxLabLatenessMs: // checked first, since a late lab may itself cause a crash or a violation
		r.Verdict = Inconclusive
	case r.Crashes > 0:
		r.Verdict, r.Crash = Crashed, l.crashes[0]
	case count > 0 || r.Shared.violation() != "":
		r.Verdict, r.Rules.Shared = Violated, r.Shared.violation()
	default:
		r.Verdict = Passed
	}
}

// commit returns the commit that this program was built from, or "unknown" if neither the build information nor git has it.
func commit() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		rev, dirty := "", ""
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				rev = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				dirty = "+"
			}
		}
		if rev != "" {
			return rev + dirty
		}
	}
	out, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
