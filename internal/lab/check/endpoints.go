package check

// The backend states that discovery has delivered to each agent, and when an agent must act on them.

import "time"

// endpointKey identifies the state of a backend at an agent.
type endpointKey struct {
	agent   int
	backend string
}

// endpointState is the latest state of a backend that discovery has delivered to an agent.
type endpointState struct {
	unavailableAt time.Duration // when discovery first delivered that the backend drains or is removed; 0: the backend is ready
	startedAt     time.Duration // the latest start of the backend's process
}

// Notify reports that discovery has delivered the state of a backend to an agent. unavailable means that the backend drains or
// is removed, started is the start of the backend's process. A repeated notice does not restart the grace.
func (c *Checker) Notify(now time.Duration, agent int, backend string, unavailable bool, started time.Duration) {
	key := endpointKey{agent, backend}
	current := c.endpoints[key]
	switch {
	case !unavailable:
		current.unavailableAt = 0
	case current.unavailableAt == 0:
		current.unavailableAt = max(now, 1)
	}
	current.startedAt = max(current.startedAt, started)
	c.endpoints[key] = current
}

// ForgetEndpoints drops the backend states of an agent whose process was replaced.
func (c *Checker) ForgetEndpoints(agent int) {
	for key := range c.endpoints {
		if key.agent == agent {
			delete(c.endpoints, key)
		}
	}
}

// KnowsStart reports whether discovery has delivered to an agent the start of a backend at the time started, or a later start.
// It returns false for a negative time.
func (c *Checker) KnowsStart(agent int, backend string, started time.Duration) bool {
	return started >= 0 && c.endpoints[endpointKey{agent, backend}].startedAt >= started
}

// graceEnd returns the time until which an agent that was notified at notifiedAt may still act on the previous state. Each
// excused span of the agent that overlaps the grace restarts the grace at the end of the span.
func (c *Checker) graceEnd(agent int, notifiedAt time.Duration) time.Duration {
	grace := c.rules.DrainGrace + c.rules.Slack
	end := notifiedAt + grace
	for _, s := range c.excuses[agent] { // ordered by from
		if s.from <= end && s.to >= notifiedAt {
			end = max(end, min(s.to, forever-grace)+grace)
		}
	}
	return end
}
