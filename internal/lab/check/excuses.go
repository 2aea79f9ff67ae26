package check

// When an agent could not act.

import (
	"slices"
	"time"
)

type interval struct{ from, to time.Duration }

// Excuse says that an agent could not do its duty in a span: it was killed, stopped, or cut off from
// its client.
func (c *Checker) Excuse(agent int, from, to time.Duration) {
	c.excuses[agent] = append(c.excuses[agent], interval{from, to})
}

// Down says that an agent's process has been ended or is being started, until Running.
func (c *Checker) Down(agent int, from time.Duration) { c.Excuse(agent, from, forever) }

// Running ends Down.
func (c *Checker) Running(agent int, at time.Duration) {
	for i, s := range c.excuses[agent] {
		if s.to == forever {
			c.excuses[agent][i].to = at
		}
	}
}

const forever = time.Duration(1<<63 - 1)

func (c *Checker) excusedDuring(agent int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.excuses[agent], func(s interval) bool { return s.from <= to && from <= s.to })
}
