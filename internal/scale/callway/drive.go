package callway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// sample is one call that was answered.
type sample struct {
	at      time.Duration // when it was meant to be sent
	late    time.Duration // how much later it was
	total   time.Duration // from when it was meant to be sent until its answer was read
	in, out time.Duration // from when it was sent until the backend's handler had it; from there back
	fresh   bool          // it was the first call of its connection to the backend
}

// way is one of the two that calls go, with what they showed. Calls that are meant for the time before from count for
// nothing: connections are opened and code is run for the first time.
type way struct {
	from time.Duration

	mu      sync.Mutex
	samples []sample
	failed  int
	why     string // the first that failed
}

func (w *way) add(s sample, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case s.at < w.from:
	case err == nil:
		w.samples = append(w.samples, s)
	default:
		if w.failed++; w.why == "" {
			w.why = err.Error()
		}
	}
}

// newClient returns a client that keeps every connection.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true,
		DialContext: (&net.Dialer{KeepAlive: -1}).DialContext}}
}

var callID atomic.Int64

// call makes one call, meant for a time, and returns which backend answered.
func call(client *http.Client, addr string, at time.Duration) (s sample, backend int, err error) {
	sent := since()
	s.at, s.late = at, sent-at
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/"+Class+"/x", nil)
	if err != nil {
		return s, 0, err
	}
	req.Header.Set("X-Trace-Id", strconv.FormatInt(callID.Add(1), 16))
	resp, err := client.Do(req)
	if err != nil {
		return s, 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	done := since()
	if err != nil {
		return s, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return s, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	number := func(name string) int64 {
		n, e := strconv.ParseInt(resp.Header.Get(name), 10, 64)
		err = cmp.Or(err, e)
		return n
	}
	backend = int(number(headBackend))
	s.total, s.in, s.out = done-at, time.Duration(number(headCame))-sent, done-time.Duration(number(headLeft))
	s.fresh = number(headNth) == 1
	return s, backend, err
}

// Cell is one agent in a window: its list, and the calls through it.
type Cell struct {
	List   int     `json:"List"`             // backends
	Rate   float64 `json:"Rate"`             // calls a second through the agent, and as many directly
	Tick   string  `json:"Tick"`             // the agent's attempts.tick
	Even   bool    `json:"Even,omitempty"`   // calls come evenly; else each at random, as from many callers
	Agents int     `json:"Agents,omitempty"` // so many agents, each called at this rate, count as one; 0: one
	Turns  string  `json:"Turns,omitempty"`  // how a change of the list is told each second: "", "entries" or "whole"
}

// lane is a cell's agent at work.
type lane struct {
	cell           Cell
	process        *Process
	lists          *Lists
	agent          *http.Client
	through, alone way
	last           atomic.Int64 // backend of the latest call through the agent
	turns          []time.Duration
	before, after  Use
}

// shot is a call that is to be made.
type shot struct {
	at     time.Duration
	lane   *lane
	direct bool
}

// plan is the calls of a lane: through the agent and directly in turn, each direct one halfway to the next.
func (l *lane) plan(rng *rand.Rand, from, until time.Duration) (shots []shot) {
	gap := func() time.Duration {
		x := 1.0
		if !l.cell.Even {
			x = rng.ExpFloat64()
		}
		return time.Duration(x / l.cell.Rate * float64(time.Second))
	}
	for at := from + time.Duration(rng.Float64()/l.cell.Rate*float64(time.Second)); at < until; {
		next := at + gap()
		shots = append(shots, shot{at, l, false}, shot{at + (next-at)/2, l, true})
		at = next
	}
	return shots
}

// drive makes the calls of all lanes from one plan, each at its time whatever became of those before, and waits for the
// answers. Go's own timers are up to a millisecond late: a thread sleeps in the system instead.
func drive(lanes []*lane, direct *http.Client, addrs []string, rng *rand.Rand, warm, length time.Duration) {
	start := since() + 10*time.Millisecond
	var shots []shot
	for _, l := range lanes {
		l.through.from, l.alone.from = start+warm, start+warm
		shots = append(shots, l.plan(rng, start, start+warm+length)...)
	}
	slices.SortFunc(shots, func(a, b shot) int { return cmp.Compare(a.at, b.at) })
	var calls sync.WaitGroup
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, s := range shots {
		for left := s.at - since(); left > 0; left = s.at - since() {
			t := syscall.NsecToTimespec(int64(left))
			_ = syscall.Nanosleep(&t, nil) // a signal ends it early
		}
		calls.Go(func() {
			if s.direct {
				got, _, err := call(direct, addrs[s.lane.last.Load()], s.at)
				s.lane.alone.add(got, err)
				return
			}
			got, backend, err := call(s.lane.agent, s.lane.process.Addr, s.at)
			if err == nil {
				s.lane.last.Store(int64(backend))
			}
			s.lane.through.add(got, err)
		})
	}
	calls.Wait()
}

// turn changes the lane's list each second, until ctx ends.
func (l *lane) turn(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.turns = append(l.turns, l.lists.Change(l.cell.Turns == "whole"))
		}
	}
}
