package lab

// The classes of requests, the tenants and the scale of the work.

import (
	"time"

	"martenbeam/internal/lab/check"
)

// class is a class of requests.
type class struct {
	name        string
	share       float64
	work        time.Duration // mean
	cv          float64       // coefficient of variation of the work
	objective   time.Duration
	deadline    time.Duration
	weight      float64
	idempotency check.Idempotency
	dedupWindow time.Duration
}

// classes are the classes of requests of the emulated application, with their times before scaling.
var classes = []class{
	{"stop-update", 0.59, 117 * time.Millisecond, 0.5, 600 * time.Millisecond, 2 * time.Second, 5, check.IdempotencyKey, 10 * time.Second},
	{"route-assign", 0.41, 155 * time.Millisecond, 0.5, 800 * time.Millisecond, 3 * time.Second, 8, check.NonIdempotent, 0},
}

// tenant is a tenant with its share of the service. usage is the tenant's load relative to its share.
type tenant struct {
	name         string
	share, usage float64
}

var tenants = []tenant{{"state-post", 0.52, 0.85}, {"city-couriers", 0.48, 1.15}}

// scaleClasses scales the work of requests so that the request rate results in the utilization of the scenario. It scales
// objectives and deadlines by the same factor.
func (l *Lab) scaleClasses() {
	capacity, mean := 0.0, 0.0
	for _, h := range l.hosts {
		capacity += h.machine.Capacity()
	}
	for _, c := range classes {
		mean += c.share * c.work.Seconds()
	}
	l.scale = l.Scenario.Load.Utilization * capacity / (l.Scenario.Load.Rate * mean)
	for _, c := range classes {
		c.work, c.objective, c.deadline = l.scaled(c.work), l.scaled(c.objective), l.scaled(c.deadline)
		l.classes = append(l.classes, c)
	}
	for _, h := range l.hosts {
		l.scaleHost(h)
	}
}

func (l *Lab) scaleHost(h *host) {
	h.machine.Handshake, h.machine.ProbeWork = l.scaled(h.machine.Handshake), l.scaled(h.machine.ProbeWork)
}

func (l *Lab) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * l.scale) }

// MaxDeadline returns the longest deadline of any class.
func (l *Lab) MaxDeadline() time.Duration { return l.maxDeadline() }

func (l *Lab) maxDeadline() (d time.Duration) {
	for _, c := range l.classes {
		d = max(d, c.deadline)
	}
	return d
}

func (l *Lab) checkClasses() (list []check.Class) {
	for _, c := range l.classes {
		list = append(list, check.Class{Name: c.name, Idempotency: c.idempotency, DedupWindow: c.dedupWindow})
	}
	return list
}

// quotaRate returns the request rate up to which a tenant's requests have their full weight: its share of 85% of the capacity.
func (l *Lab) quotaRate(t tenant) float64 {
	return t.share * 0.85 * l.Scenario.Load.Rate / l.Scenario.Load.Utilization
}
