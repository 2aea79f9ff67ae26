package check

// What discovery has told each agent of backends, and when an agent has to act on it.

import "time"

type noticeKey struct {
	agent   int
	backend string
}

type notice struct {
	unavailableAt time.Duration // told to drain or gone, since; 0: not
	startedAt     time.Duration // the latest start that it was told of
}

// Notify says that discovery has told an agent of a backend: that it drains or is gone, or that it is ready
// and started then.
func (c *Checker) Notify(now time.Duration, agent int, backend string, unavailable bool, started time.Duration) {
	key := noticeKey{agent, backend}
	current := c.notices[key]
	switch {
	case !unavailable:
		current.unavailableAt = 0
	case current.unavailableAt == 0:
		current.unavailableAt = max(now, 1)
	}
	current.startedAt = max(current.startedAt, started)
	c.notices[key] = current
}

// ForgetNotices drops what an agent was told: its process is another one.
func (c *Checker) ForgetNotices(agent int) {
	for k := range c.notices {
		if k.agent == agent {
			delete(c.notices, k)
		}
	}
}

// KnowsStart reports whether an agent was told of a start of a backend.
func (c *Checker) KnowsStart(agent int, backend string, started time.Duration) bool {
	return started >= 0 && c.notices[noticeKey{agent, backend}].startedAt >= started
}

// graceEnd is when the grace ends of an agent that was told something. The time in which it could not act does
// not count.
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
