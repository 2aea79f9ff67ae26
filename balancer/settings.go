package balancer

import (
	"fmt"
	"time"
)

// check returns an error that names the first setting that makes no sense. It decides nothing.
func (s *Settings) check() error {
	bad := func(field string, v any) error {
		return fmt.Errorf("balancer: settings: %s: %v makes no sense", field, v)
	}
	switch {
	case len(s.Classes) == 0:
		return bad("Classes", "none")
	case s.Balancers < 1:
		return bad("Balancers", s.Balancers)
	case s.Self < 0 || s.Self >= s.Balancers:
		return bad("Self", s.Self)
	case s.MaxAttempts < 0:
		return bad("MaxAttempts", s.MaxAttempts)
	case !(s.InitialCapacity >= 0 && s.InitialCapacity <= 1):
		return bad("ColdShare", s.InitialCapacity)
	case !(s.OverloadMultiple >= 0):
		return bad("FallMultiple", s.OverloadMultiple)
	case !(s.CrossZoneCost >= 0 && s.CrossRegionCost >= 0):
		return bad("CrossZonePrice", []float64{s.CrossZoneCost, s.CrossRegionCost})
	case !(s.GoalOverall >= 0 && s.GoalWorstWindow >= 0 && s.GoalWorstClass >= 0):
		return bad("Goal", []float64{s.GoalOverall, s.GoalWorstWindow, s.GoalWorstClass})
	}
	for _, f := range []struct {
		name string
		d    time.Duration
	}{{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout},
		{"DrainGrace", s.DrainGrace}, {"AnswerGrace", s.AnswerGrace}, {"AskWithin", s.PollInterval},
		{"RampTime", s.SlowStartWindow}, {"FallWindow", s.OverloadWindow}} {
		if f.d < 0 {
			return bad(f.name, f.d)
		}
	}
	for i, class := range s.Classes {
		at := func(field string) string { return fmt.Sprintf("Classes[%d].%s", i, field) }
		switch {
		case class.LatencyObjective <= 0:
			return bad(at("Aim"), class.LatencyObjective)
		case class.Deadline <= 0:
			return bad(at("Deadline"), class.Deadline)
		case !(class.PriorityWeight >= 0):
			return bad(at("Worth"), class.PriorityWeight)
		case class.Idempotency > NonIdempotent:
			return bad(at("Effect"), class.Idempotency)
		case class.Scope > ScopeCell:
			return bad(at("Group"), class.Scope)
		case class.DedupWindow < 0:
			return bad(at("Window"), class.DedupWindow)
		}
	}
	return nil
}
