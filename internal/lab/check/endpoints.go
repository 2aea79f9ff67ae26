package check

// What discovery has told each agent of backends, and when an agent has to act on it.

import "time"

// endpointKey names what an agent knows of a backend.
type endpointKey struct {
	agent   int
	backend string
}

// endpointState is the latest state of a backend that discovery has delivered to an agent.
type endpointState struct {
	unavailableAt time.Duration // since when it drains or is gone; 0: it is ready
	startedAt     time.Duration // its latest start
}

// Notify reports that discovery has delivered the state of a backend to an agent: unavailable if it drains or is gone, and
// when it started.
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

// ForgetEndpoints drops what an agent knows: its process was replaced.
func (c *Checker) ForgetEndpoints(agent int) {
	for key := range c.endpoints {
		if key.agent == agent {
			delete(c.endpoints, key)
		}
	}
}

// KnowsStart reports whether discovery has delivered a start of a backend to an agent.
func (c *Checker) KnowsStart(agent int, backend string, started time.Duration) bool {
	return started >= 0 && c.endpoints[endpointKey{agent, backend}].startedAt >= started
}

// graceEnd returns until when an agent that was notified at a time may still act on the state before. Spans for which it is
// excused do not count.
func (c *Checker) graceEnd(agent int, notifiedAt time.Duration) time.Duration {
	grace := c.rules.DrainGrace + c.rules.Slack
	end := notifiedAt + grace
	for _, s := range c.excuses[agent] { // in order of their begin
		if s.from <= end && s.to >= notifiedAt {
			end = max(end, min(s.to, forever-grace)+grace)
		}
	}
	return end
}
