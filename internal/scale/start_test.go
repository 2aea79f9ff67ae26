package scale

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/scale/hollow"
)

// rolled is how many agents are restarted one after another, and pace how far apart.
func rolled() (n int, pace time.Duration) {
	if *full {
		return 10, time.Second
	}
	return 2, 100 * time.Millisecond
}

func startTable(t *testing.T) {
	for _, n := range sized(t, 14) {
		for _, run := range ran() {
			within := []time.Duration{time.Second, 10 * time.Second}
			if !*full {
				within = []time.Duration{200 * time.Millisecond}
			}
			for _, mode := range joined() {
				for _, d := range within {
					t.Run(fmt.Sprintf("%s-%d-%v-%d", mode, n, d, run), func(t *testing.T) { keep(t, startAll(t, mode, n, d, run)) })
				}
				t.Run(fmt.Sprintf("%s-%d-zone-%d", mode, n, run), func(t *testing.T) { keep(t, startZone(t, mode, n, run)...) })
			}
		}
	}
}

// worst follows the fleet's bytes, and finds the second in which most were sent.
type worst struct {
	end  chan struct{}
	done sync.WaitGroup
	most int64
}

func (c *crew) watchWorst() *worst {
	w := &worst{end: make(chan struct{})}
	before := c.sent()
	w.done.Go(func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for ended := false; !ended; {
			select {
			case <-tick.C:
			case <-w.end:
				ended = true // the rest of a second is no more than one
			}
			now := c.sent()
			w.most, before = max(w.most, now-before), now
		}
	})
	return w
}

func (w *worst) stop() int64 {
	close(w.end)
	w.done.Wait()
	return w.most
}

// sent is how many bytes all agents have sent.
func (c *crew) sent() (n int64) {
	t := c.traffic()
	for _, x := range t.Out {
		n += x.Bytes
	}
	return n
}

// eventful measures what do does to a fleet until all know all they need. of is among how many its cost is divided.
func (c *crew) eventful(r row, do func(), settled func() bool) row {
	w, m := c.watchWorst(), c.measure(false)
	do()
	asked := time.Now()
	_, ok, why := c.whole(patience)
	for ok && settled != nil && !settled() {
		if ok = time.Since(asked) < patience; !ok {
			why = "old processes are still known"
		}
		time.Sleep(pollEvery)
	}
	s := m.end()
	r.Void = s.void
	if !ok {
		r.Void = strings.TrimSuffix("not whole: "+why+", "+s.void, ", ")
	}
	var sent int64
	for _, x := range s.traffic.Out {
		sent += x.Bytes
	}
	each := float64(c.n)
	r.Values = map[string]float64{"all know all after s": s.took.Seconds(), "after the last start s": time.Since(asked).Seconds(), "bytes out": float64(sent) / each,
		"processor ms": s.processor.Seconds() * 1e3 / each, "worst second, bytes out": float64(w.stop()) / each, "timers late ms p99": s.late.Seconds() * 1e3}
	return r
}

func startAll(t *testing.T, mode hollow.Mode, n int, within time.Duration, run int) row {
	c := newCrew(t, mode, n, true)
	return c.eventful(row{Table: "start", Mode: string(mode), N: n, Matrix: true, Case: fmt.Sprintf("all within %v", within), Run: run},
		func() { c.startAll(within) }, nil)
}

// startZone starts a zone beside the others, and then restarts some agents one after another.
func startZone(t *testing.T, mode hollow.Mode, n, run int) []row {
	c := newCrew(t, mode, n, true)
	zone := zones[len(zones)-1]
	start := func(these bool, within time.Duration) {
		began, k := time.Now(), 0
		for i := range n {
			if (zones[i%len(zones)] == zone) != these {
				continue
			}
			c.start(i, "")
			if d := time.Until(began.Add(within * time.Duration(k) / time.Duration(n))); d > 0 {
				time.Sleep(d) // the pace is what is asked for
			}
			k++
		}
	}
	start(false, time.Duration(n)**pace)
	r := row{Table: "start", Mode: string(mode), N: n, Matrix: true, Run: run}
	// One zone is not there: round trips to it can't be known yet.
	c.expect = len(zones) - 1
	if why := c.begun(); why != "" {
		r.Case, r.Void = "a zone within 1s", why
		return []row{r}
	}
	c.expect = 0
	r.Case = "a zone within 1s"
	rows := []row{c.eventful(r, func() { start(true, time.Second) }, nil)}
	count, pace := rolled()
	r.Case = fmt.Sprintf("%d restarted at 1 each %v", count, pace)
	return append(rows, c.eventful(r, func() {
		for i := range count {
			began := time.Now()
			c.restart(1 + seeds + i%(n-1-seeds))
			if i < count-1 {
				time.Sleep(time.Until(began.Add(pace))) // the pace is what is asked for
			}
		}
	}, c.processesKnown))
}

// processesKnown reports whether everyone knows everyone's latest process.
func (c *crew) processesKnown() bool {
	latest := map[string]uint64{}
	for _, a := range c.agents {
		for _, m := range a.Members() {
			if m.Name == a.Spec().Name {
				latest[m.Name] = m.Incarnation
			}
		}
	}
	for _, a := range c.agents {
		for _, m := range a.Members() {
			if latest[m.Name] != m.Incarnation {
				return false
			}
		}
	}
	return true
}
