package check

// Counts of the service that clients got, by second, class, tenant and zone.

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the end of a client's request, including the client's retries.
type Outcome struct {
	IntendedAt     time.Duration // when the request was scheduled; latency counts from this time even if the client sent it late
	FinishedAt     time.Duration
	Answer         Answer
	InObjective    bool    // the request was served within its latency objective
	Weight         float64 // the priority weight of the request
	Class          int
	Tenant         int
	Zone           int // the zone of the agent
	ClientAttempts int // number of requests that the client sent, including the first
}

// Window counts one second of a run. A request belongs to the second of its intended time, an attempt to the second in
// which it reached its backend.
type Window struct {
	Offered           int     `json:"offered"`
	Served            int     `json:"served"`
	Rejected          int     `json:"refused"`
	Failed            int     `json:"failed"`
	Lost              int     `json:"lost"`
	Weight            float64 `json:"worth"`
	WeightInObjective float64 `json:"worth_in_aim"`
	Attempts          int     `json:"attempts"`
	P50               float64 `json:"p50_ms"`
	P99               float64 `json:"p99_ms"`
	Used              float64 `json:"used"`     // share of the available capacity in use at the end of the second
	Agents            int     `json:"agents"`   // number of agents that serve at the end of the second
	Backends          int     `json:"backends"` // number of backends that are up at the end of the second

	latency []time.Duration
}

// Tally counts the service of a run. It is not safe for concurrent use.
type Tally struct {
	Windows                             []Window
	Latency                             *hdrhistogram.Histogram // of served requests, counted from the intended time, in microseconds
	Attempts, CrossZone, ClientAttempts int
	Classes, Tenants                    map[int]*Share
	Zones                               map[int]*Share
	countedFrom                         time.Duration
	firstAttempts                       []firstAttemptCounts // one entry for each countInterval
}

// firstAttemptCounts counts first attempts, and first attempts at unreachable backends.
type firstAttemptCounts struct{ total, unreachable int }

// countInterval is the span of one entry of Tally.firstAttempts.
const countInterval = 100 * time.Millisecond

// Span is a part of a run.
type Span struct{ From, To time.Duration }

// CountFirstAttempt counts the first attempt of a request. unreachable means that the agent cannot reach the backend.
func (t *Tally) CountFirstAttempt(now time.Duration, unreachable bool) {
	n := int(max(0, now) / countInterval)
	for len(t.firstAttempts) <= n {
		t.firstAttempts = append(t.firstAttempts, firstAttemptCounts{})
	}
	t.firstAttempts[n].total++
	if unreachable {
		t.firstAttempts[n].unreachable++
	}
}

// minReachableSpan is the shortest span over which AvoidedAfter computes a share. The lab observes connections about once per
// countInterval, so the share over a shorter span would be random.
const minReachableSpan = 300 * time.Millisecond

// AvoidedAfter returns the earliest time, counted from the start of the span, after which agents avoid unreachable backends:
// between this time and the end of the span, the share of first attempts at unreachable backends is below maxShare. The time
// is at least minReachableSpan before the end of the span. AvoidedAfter returns false if there is no such time.
func (t *Tally) AvoidedAfter(s Span, maxShare float64) (time.Duration, bool) {
	first, end := int(s.From/countInterval), min(int(s.To/countInterval), len(t.firstAttempts))
	total, unreachable, at := 0, 0, -1
	for i := end - 1; i >= first; i-- {
		total, unreachable = total+t.firstAttempts[i].total, unreachable+t.firstAttempts[i].unreachable
		if total > 0 && float64(unreachable) < maxShare*float64(total) && time.Duration(end-i)*countInterval >= minReachableSpan {
			at = i
		}
	}
	if at < 0 {
		return 0, false
	}
	return time.Duration(at)*countInterval - s.From.Truncate(countInterval), true
}

// Share is the service of one class, tenant or zone.
type Share struct {
	Offered           int     `json:"offered"`
	Weight            float64 `json:"worth"`
	WeightInObjective float64 `json:"worth_in_aim"`
}

// NewTally returns an empty tally. Its totals leave out requests and attempts before the time from.
func NewTally(from time.Duration) *Tally {
	return &Tally{Latency: hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3), countedFrom: from,
		Classes: map[int]*Share{}, Tenants: map[int]*Share{}, Zones: map[int]*Share{}}
}

// window returns the window of a time, and creates it if needed.
func (t *Tally) window(intended time.Duration) *Window {
	n := int(intended / time.Second)
	for len(t.Windows) <= n {
		t.Windows = append(t.Windows, Window{})
	}
	return &t.Windows[n]
}

// CountAttempt counts an attempt that reached a backend.
func (t *Tally) CountAttempt(now time.Duration, crossZone bool) {
	t.window(now).Attempts++
	if now < t.countedFrom {
		return
	}
	t.Attempts++
	if crossZone {
		t.CrossZone++
	}
}

// CountOutcome counts a request that has ended.
func (t *Tally) CountOutcome(outcome Outcome) {
	window := t.window(outcome.IntendedAt)
	window.Offered++
	window.Weight += outcome.Weight
	switch outcome.Answer {
	case Served:
		window.Served++
		window.latency = append(window.latency, outcome.FinishedAt-outcome.IntendedAt)
	case Rejected:
		window.Rejected++
	case Failed, Unreachable, Disconnected:
		window.Failed++
	default:
		window.Lost++
	}
	if outcome.InObjective {
		window.WeightInObjective += outcome.Weight
	}
	if outcome.IntendedAt < t.countedFrom {
		return
	}
	t.ClientAttempts += outcome.ClientAttempts
	if outcome.Answer == Served {
		_ = t.Latency.RecordValue(max(1, (outcome.FinishedAt - outcome.IntendedAt).Microseconds())) // the range of the histogram includes every deadline
	}
	for _, p := range []*Share{shareOf(t.Classes, outcome.Class), shareOf(t.Tenants, outcome.Tenant), shareOf(t.Zones, outcome.Zone)} {
		p.Offered++
		p.Weight += outcome.Weight
		if outcome.InObjective {
			p.WeightInObjective += outcome.Weight
		}
	}
}

// shareOf returns the share of a class, tenant or zone, and creates it if needed.
func shareOf(shares map[int]*Share, n int) *Share {
	p := shares[n]
	if p == nil {
		p = &Share{}
		shares[n] = p
	}
	return p
}

// CompleteWindows computes the percentiles of the windows before the given one, and frees their latencies.
func (t *Tally) CompleteWindows(window int) {
	for i := range t.Windows[:min(window, len(t.Windows))] {
		w := &t.Windows[i]
		if len(w.latency) == 0 {
			continue
		}
		p := t.Snapshot(i)
		w.P50, w.P99, w.latency = p.P50, p.P99, nil
	}
}

// Total returns the summed counts and weights of the windows that begin at the time given to NewTally or later.
func (t *Tally) Total() (s Window) {
	for i, w := range t.Windows {
		if time.Duration(i)*time.Second < t.countedFrom {
			continue
		}
		s.add(w)
	}
	return s
}

func (s *Window) add(w Window) {
	s.Offered += w.Offered
	s.Served += w.Served
	s.Rejected += w.Rejected
	s.Failed += w.Failed
	s.Lost += w.Lost
	s.Weight += w.Weight
	s.WeightInObjective += w.WeightInObjective
	s.Attempts += w.Attempts
}

// Worst returns the lowest share of weight served within the objective over a number of consecutive seconds, and the first
// of these seconds. A run of fewer seconds counts as one span.
func (t *Tally) Worst(seconds int) (share float64, from int) {
	first := int((t.countedFrom + time.Second - 1) / time.Second)
	share, from = 1, first
	for i := first; i == first || i+seconds <= len(t.Windows); i++ {
		var s Window
		for _, w := range t.Windows[min(i, len(t.Windows)):min(i+seconds, len(t.Windows))] {
			s.add(w)
		}
		if s.Weight > 0 && s.WeightInObjective/s.Weight < share {
			share, from = s.WeightInObjective/s.Weight, i
		}
	}
	return share, from
}

// Snapshot returns a copy of the n-th window, with the percentiles of its latencies so far.
func (t *Tally) Snapshot(n int) Window {
	w := t.Windows[n]
	if len(w.latency) > 0 {
		sorted := slices.Sorted(slices.Values(w.latency))
		at := func(q float64) float64 { return sorted[int(q*float64(len(sorted)-1))].Seconds() * 1e3 }
		w.P50, w.P99 = at(0.5), at(0.99)
	}
	return w
}
