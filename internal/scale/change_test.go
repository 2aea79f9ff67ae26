package scale

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"martenbeam/internal/scale/hollow"
)

// changeWithin is how long a change is waited for.
const changeWithin = 30 * time.Second

func changeTable(t *testing.T) {
	for _, n := range sized(t, 14) {
		for _, run := range ran() {
			if *full { // one fleet for both
				for _, mode := range joined() {
					t.Run(fmt.Sprintf("%s-%d-%d", mode, n, run), func(t *testing.T) { changes(t, mode, n, run, changed(mode)) })
				}
				continue
			}
			for _, mode := range joined() {
				for _, what := range changed(mode) {
					t.Run(string(mode)+"-"+what.String(), func(t *testing.T) {
						t.Parallel()
						changes(t, mode, n, run, []hollow.Change{what})
					})
				}
			}
		}
	}
}

// changed are the changes that are measured. Hubs alone carry settings.
func changed(mode hollow.Mode) []hollow.Change {
	list := []hollow.Change{hollow.Policy, hollow.List}
	if mode == hollow.Hubs {
		list = append(list, hollow.Settings)
	}
	return list
}

// make makes a change at its source.
func (c *crew) make(what hollow.Change) (version int64, at time.Time) {
	switch what {
	case hollow.Policy:
		return c.give()
	case hollow.Settings:
		return c.hubs.change(c.t)
	}
	return c.service.change()
}

// news is how long a change took to agents.
type news struct {
	took  []time.Duration
	never int // agents that it did not come to in time
}

// spread waits until those of the agents that which picks have acted on a version. What each took counts from when the
// change was made, or from its own start if that was later.
func (c *crew) spread(what hollow.Change, version int64, at time.Time, which func(i int) bool, started map[int]time.Time) (n news) {
	limit := at.Add(changeWithin)
	for i := range c.n {
		if !which(i) {
			continue
		}
		for {
			came, ok := c.came.when(c.name(i), what, version)
			if ok {
				from := at
				if s := started[i]; s.After(from) {
					from = s
				}
				n.took = append(n.took, max(0, came.Sub(from)))
				break
			}
			if time.Now().After(limit) {
				n.never++
				break
			}
			time.Sleep(pollEvery)
		}
	}
	return n
}

func (n news) values(v map[string]float64, prefix string) {
	v[prefix+"ms p50"] = quantile(n.took, 0.5).Seconds() * 1e3
	v[prefix+"ms p99"] = quantile(n.took, 0.99).Seconds() * 1e3
	v[prefix+"ms last"] = quantile(n.took, 1).Seconds() * 1e3
	v[prefix+"agents never"] = float64(n.never)
}

func everyone(int) bool { return true }

// changes measures how long changes take to all agents of one fleet, undisturbed and disturbed, and what they cost.
func changes(t *testing.T, mode hollow.Mode, n, run int, changed []hollow.Change) {
	c := newCrew(t, mode, n, true)
	c.startAll(time.Duration(n) * *pace)
	began := row{Table: "change", Mode: string(mode), N: n, Matrix: true, Run: run}
	if why := c.begun(); why != "" {
		began.Case, began.Void = "start", why
		keep(t, began)
		return
	}
	repeats, settle := 2, 50*time.Millisecond
	if *full {
		repeats, settle = 5, 2*time.Second
	}
	time.Sleep(settle) // what a start leaves
	draw := rand.New(rand.NewPCG(uint64(n), uint64(run)))
	for _, what := range changed {
		r := began
		r.Case = what.String() + ", undisturbed"
		r.Values = map[string]float64{}
		// What changes cost is what a span with them takes beyond one without.
		idle := c.measure(false)
		time.Sleep(settle) // the span without
		before := idle.end()
		m, all := c.measure(false), news{}
		for range repeats {
			version, at := c.make(what)
			one := c.spread(what, version, at, everyone, nil)
			all.took, all.never = append(all.took, one.took...), all.never+one.never
		}
		s := m.end()
		r.Void = s.void
		all.values(r.Values, "")
		share := s.took.Seconds() / before.took.Seconds()
		each := float64(n * repeats)
		part := hollow.Policies
		switch what {
		case hollow.List:
			part = hollow.Lists
		case hollow.Settings:
			part = hollow.SettingsTexts
		}
		r.Values["a change: bytes out"] = (float64(s.traffic.Out[part].Bytes) - share*float64(before.traffic.Out[part].Bytes)) / each
		r.Values["a change: bytes in"] = (float64(s.traffic.In[part].Bytes) - share*float64(before.traffic.In[part].Bytes)) / each
		r.Values["a change: processor us"] = (s.processor.Seconds() - share*before.processor.Seconds()) * 1e6 / each
		for _, daily := range []float64{580, 5800} {
			r.Values[fmt.Sprintf("%.0f a day: processor s/day", daily)] = r.Values["a change: processor us"] * daily / 1e6
			r.Values[fmt.Sprintf("%.0f a day: kB in/day", daily)] = r.Values["a change: bytes in"] * daily / 1e3
		}
		keep(t, r)
	}
	for _, what := range changed {
		keep(t, c.paused(began, what, draw, settle), c.lossy(began, what, settle))
		if c.hubs == nil { // hubs are processes of their own, between which nothing can be cut here
			keep(t, c.cut(began, what, settle))
		} else {
			keep(t, c.hubDead(began, what, draw))
		}
		keep(t, c.restarting(began, what))
	}
}

// paused makes a change while 2% of the agents are stopped.
func (c *crew) paused(r row, what hollow.Change, draw *rand.Rand, settle time.Duration) row {
	r.Case, r.Values = what.String()+", 2% stopped", map[string]float64{}
	stopped := map[int]bool{}
	for _, i := range draw.Perm(c.n - 1)[:max(1, c.n/50)] {
		stopped[i+1] = true // not the policy's source
		c.agents[i+1].Pause()
	}
	time.Sleep(settle / 4) // how long they have been stopped for
	m := c.measure(false)
	version, at := c.make(what)
	c.spread(what, version, at, func(i int) bool { return !stopped[i] }, nil).values(r.Values, "")
	r.Void = m.end().void
	resumed, since := time.Now(), map[int]time.Time{}
	for i := range stopped {
		since[i] = resumed
		c.agents[i].Resume()
	}
	c.spread(what, version, resumed, func(i int) bool { return stopped[i] }, since).values(r.Values, "stopped ones, once resumed: ")
	return c.restored(r)
}

// lossy makes a change while 10% of all datagrams are lost, and as many writes to streams late.
func (c *crew) lossy(r row, what hollow.Change, settle time.Duration) row {
	r.Case, r.Values = what.String()+", 10% lost", map[string]float64{}
	c.net.Lose(0.1)
	time.Sleep(settle) // losses are to be under way
	m := c.measure(false)
	version, at := c.make(what)
	c.spread(what, version, at, everyone, nil).values(r.Values, "")
	r.Void = m.end().void
	c.net.Lose(0)
	return c.restored(r)
}

// cut makes a change while a zone is cut off from all others, and from the list service.
func (c *crew) cut(r row, what hollow.Change, settle time.Duration) row {
	r.Case, r.Values = what.String()+", a zone cut", map[string]float64{}
	away := len(zones) - 1
	inside := func(i int) bool { return i%len(zones) == away }
	c.net.Cut(zones[away])
	time.Sleep(settle) // for so long it has been cut
	m := c.measure(false)
	version, at := c.make(what)
	c.spread(what, version, at, func(i int) bool { return !inside(i) }, nil).values(r.Values, "")
	r.Void = m.end().void
	if _, told := c.came.when(c.name(away), what, version); told {
		c.t.Errorf("%v: it came to a zone that is cut off", what)
	}
	c.net.Cut()
	c.spread(what, version, time.Now(), inside, nil).values(r.Values, "cut ones, once healed: ")
	return c.restored(r)
}

// restarting makes a change while a third of the agents are down, which start within the next two seconds.
func (c *crew) restarting(r row, what hollow.Change) row {
	r.Case, r.Values = what.String()+", a third restarting", map[string]float64{}
	third := func(i int) bool { return i%3 == 1 }
	for i := range c.agents {
		if third(i) {
			c.kill(i)
		}
	}
	m := c.measure(false)
	version, at := c.make(what)
	started := map[int]time.Time{}
	within, k := 2*time.Second, 0
	if !*full {
		within = 100 * time.Millisecond
	}
	for i, a := range c.agents {
		if !third(i) {
			continue
		}
		if d := time.Until(at.Add(within * time.Duration(k*3) / time.Duration(c.n))); d > 0 {
			time.Sleep(d) // the pace is what is asked for
		}
		started[i] = time.Now()
		c.start(i, a.Addr())
		k++
	}
	c.spread(what, version, at, func(i int) bool { return !third(i) }, nil).values(r.Values, "")
	c.spread(what, version, at, third, started).values(r.Values, "restarted ones, from their start: ")
	r.Void = m.end().void
	return c.restored(r)
}

// restored waits until all know all again, so that one fault is not measured on what another left.
func (c *crew) restored(r row) row {
	took, ok, why := c.whole(patience)
	r.Values["all know all again after s"] = took.Seconds()
	if !ok {
		c.t.Errorf("%s: not whole again: %s", r.Case, why)
		r.Void = "not whole again: " + why
	}
	return r
}
