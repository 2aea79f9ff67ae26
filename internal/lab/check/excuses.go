package check

// Spans in which an agent cannot keep the rules.

import (
	"slices"
	"time"
)

// interval is a span of the run, including both ends.
type interval struct{ from, to time.Duration }

// Excuse reports that an agent cannot keep the rules from one time to another, because the agent is killed, stopped, or
// partitioned from its client.
func (c *Checker) Excuse(agent int, from, to time.Duration) {
	c.excuses[agent] = append(c.excuses[agent], interval{from, to})
}

// Down excuses an agent whose process has ended, until the caller reports Running.
func (c *Checker) Down(agent int, from time.Duration) { c.Excuse(agent, from, forever) }

// Running reports that the process of an agent runs again, which ends the excuse by Down.
func (c *Checker) Running(agent int, at time.Duration) {
	for i, s := range c.excuses[agent] {
		if s.to == forever {
			c.excuses[agent][i].to = at
		}
	}
}

// forever is later than any run lasts.
const forever = time.Duration(1<<63 - 1)

// excusedDuring reports whether an agent is excused for any part of a span.
func (c *Checker) excusedDuring(agent int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.excuses[agent], func(s interval) bool { return s.from <= to && from <= s.to })
}
