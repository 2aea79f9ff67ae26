package balancer

// The validation of settings, and values derived from settings alone. Nothing is decided here.

import (
	"fmt"
	"time"
)

// SettingError is the error that New returns for a setting out of range.
type SettingError struct {
	Field string // field of Settings, such as "MaxAttempts" or "Classes[2].DedupWindow"
	Value any
}

// Error names the field and its value.
func (e *SettingError) Error() string {
	return fmt.Sprintf("balancer: settings: %s: %v is out of range", e.Field, e.Value)
}

// settingError returns the error for a field and its value.
func settingError(field string, value any) error { return &SettingError{field, value} }

// check returns an error that names the first setting that is out of range.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) == 0:
		return settingError("Classes", "none")
	case s.Balancers < 1:
		return settingError("Balancers", s.Balancers)
	case s.Self < 0 || s.Self >= s.Balancers:
		return settingError("Self", s.Self)
	case s.MaxAttempts < 0:
		return settingError("MaxAttempts", s.MaxAttempts)
	case !(s.InitialCapacity >= 0 && s.InitialCapacity <= 1):
		return settingError("InitialCapacity", s.InitialCapacity)
	case !(s.OverloadMultiple >= 0):
		return settingError("OverloadMultiple", s.OverloadMultiple)
	case !(s.CrossZoneCost >= 0 && s.CrossRegionCost >= 0):
		return settingError("CrossZoneCost", []float64{s.CrossZoneCost, s.CrossRegionCost})
	case !(s.GoalOverall >= 0 && s.GoalWorstWindow >= 0 && s.GoalWorstClass >= 0):
		return settingError("Goal", []float64{s.GoalOverall, s.GoalWorstWindow, s.GoalWorstClass})
	}
	if err := s.checkDurations(); err != nil {
		return err
	}
	for i := range s.Classes {
		if field, value := s.Classes[i].check(); field != "" {
			return settingError(fmt.Sprintf("Classes[%d].%s", i, field), value)
		}
	}
	return nil
}

// checkDurations returns an error for the first negative duration.
func (s *Settings) checkDurations() error {
	for _, duration := range []struct {
		field string
		value time.Duration
	}{
		{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout},
		{"DrainGrace", s.DrainGrace}, {"AnswerGrace", s.AnswerGrace}, {"PollInterval", s.PollInterval},
		{"SlowStartWindow", s.SlowStartWindow}, {"OverloadWindow", s.OverloadWindow},
	} {
		if duration.value < 0 {
			return settingError(duration.field, duration.value)
		}
	}
	return nil
}

// check returns the first field that is out of range, with its value. field is "" if all are in range.
func (c *Class) check() (field string, value any) {
	switch {
	case c.LatencyObjective <= 0:
		return "LatencyObjective", c.LatencyObjective
	case c.Deadline <= 0:
		return "Deadline", c.Deadline
	case !(c.PriorityWeight >= 0):
		return "PriorityWeight", c.PriorityWeight
	case c.Idempotency > NonIdempotent:
		return "Idempotency", c.Idempotency
	case c.Scope > ScopeCell:
		return "Scope", c.Scope
	case c.DedupWindow < 0:
		return "DedupWindow", c.DedupWindow
	}
	return "", nil
}

// retryAfter returns the Retry-After of a refusal for a wait: at most MaxRetryAfter, and 0 if clients see none.
func (s *Settings) retryAfter(wait time.Duration) time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return min(wait, s.MaxRetryAfter)
}

// crossingCost returns the cost of sending to a zone, as a share of the result.
func (s *Settings) crossingCost(zone int) float64 {
	switch own, regions := s.Zone, s.Regions; {
	case zone == own:
		return 0
	case zone >= 0 && zone < len(regions) && own >= 0 && own < len(regions) && regions[zone] != regions[own]:
		return max(s.CrossZoneCost, s.CrossRegionCost)
	}
	return s.CrossZoneCost
}
