package overhead

// Statistics of the calls of one workload.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// newRow summarizes the calls and the resource usage of all agents with one workload. The workload ran for
// the time took.
func newRow(window string, agents []*agentRun, took time.Duration) Row {
	row := Row{Window: window, Workload: agents[0].workload}
	var through, direct []sample
	var lateness []float64
	for _, agent := range agents {
		through, direct = append(through, agent.through.samples...), append(direct, agent.direct.samples...)
		row.Failed += agent.through.failed
		row.FailedDirect += agent.direct.failed
		if row.FirstError == "" {
			row.FirstError = agent.through.firstError + agent.direct.firstError
		}
		row.ResidentMB = max(row.ResidentMB, agent.usageAfter.ResidentMB)
		cpu := agent.usageAfter.CPU - agent.usageBefore.CPU
		row.CPUMillisPerSecond += cpu.Seconds() * 1e3 / took.Seconds() / float64(len(agents))
		if agent.workload.ListChanges != "" {
			row.Changes += len(agent.changedAt)
			afterChange := func(s sample) bool { return agent.afterChange(s.plannedAt) }
			after, otherTimes := partition(agent.through.samples, afterChange)
			row.AfterChange, row.OtherTimes = summarize(after), summarize(otherTimes)
			after, otherTimes = partition(agent.direct.samples, afterChange)
			row.AfterChangeDirect, row.OtherTimesDirect = summarize(after), summarize(otherTimes)
		}
	}
	for _, s := range append(slices.Clone(through), direct...) {
		lateness = append(lateness, ms(s.lateness))
	}
	slices.Sort(lateness)
	row.LatenessP99 = quantile(lateness, 0.99)
	row.Through, row.Direct = summarize(through), summarize(direct)
	row.summarizeSlowest(through)
	return row
}

// afterChangeSpan is the time after a change of the list within which a call counts as made after the change.
const afterChangeSpan = 100 * time.Millisecond

// afterChange reports whether a time since base is less than afterChangeSpan after a change of the list.
func (a *agentRun) afterChange(at time.Duration) bool {
	return slices.ContainsFunc(a.changedAt, func(t time.Duration) bool { return at >= t && at < t+afterChangeSpan })
}

// partition splits samples into the samples for which match returns true and all others, and keeps their order.
func partition(list []sample, match func(sample) bool) (matching, others []sample) {
	for _, s := range list {
		if match(s) {
			matching = append(matching, s)
		} else {
			others = append(others, s)
		}
	}
	return matching, others
}

// summarize returns the quantiles of calls, which are all 0 for an empty list.
func summarize(list []sample) (s Quantiles) {
	if len(list) == 0 {
		return s
	}
	var total, in, out []float64
	newConnections := 0.0
	for _, x := range list {
		total, in, out = append(total, ms(x.total)), append(in, ms(x.inbound)), append(out, ms(x.outbound))
		if x.newConnection {
			newConnections++
		}
	}
	slices.Sort(total)
	slices.Sort(in)
	slices.Sort(out)
	return Quantiles{len(list), quantile(total, 0.5), quantile(total, 0.99), quantile(total, 0.999), total[len(total)-1],
		newConnections / float64(len(list)), quantile(in, 0.99), quantile(out, 0.99)}
}

// summarizeSlowest sets Slowest from all calls through the agents.
func (r *Row) summarizeSlowest(list []sample) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(b.total, a.total) })
	list = list[:(len(list)+99)/100]
	for _, s := range list {
		n := float64(len(list))
		r.Slowest.Inbound += ms(s.inbound) / n
		r.Slowest.Outbound += ms(s.outbound) / n
		if s.newConnection {
			r.Slowest.NewConnectionShare += 1 / n
		}
	}
}

// quantile returns the q-quantile of a sorted list by the nearest-rank method; 0 for an empty list.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, max(0, int(math.Ceil(q*float64(len(list))))-1))]
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
