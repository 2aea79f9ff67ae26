package hubclient

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet/gossip"
)

const (
	sampleEvery = 50 * time.Millisecond
	sumMost     = 1.1
	traceLate   = 500 * time.Millisecond // a line may be written so much later than what it tells of, on a busy machine
)

// line is a line of a trace.
type line struct {
	What, Kind, Observer, Subject string
	Incarnation, Seq              uint64
	Age, At                       int64 // us
}

type factID struct {
	kind, observer, subject string
	incarnation, seq        uint64
}

// watch looks at all agents of a test all along, and reads the traces of all processes.
type watch struct {
	bounds map[string]time.Duration
	stop   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	alive   map[string]func() Known
	newest  map[string][2]int64 // settings, policy; over restarts
	seen    map[factID]int64    // when it was seen at the latest, by who told it, us
	uses    int
	matched int // of these, whose telling was read
	samples int
	least   float64 // no part may be less; 0: it is not looked at
	living  bool    // nobody is dead: none may say so
	sum     float64 // the highest
	wrong   []string
}

func newWatch() *watch {
	w := &watch{bounds: map[string]time.Duration{}, stop: make(chan struct{}), done: make(chan struct{}), alive: map[string]func() Known{}, newest: map[string][2]int64{},
		seen: map[factID]int64{}}
	for k, d := range gossip.DefaultBounds {
		w.bounds[k.String()] = d
	}
	go w.run()
	return w
}

func (w *watch) run() {
	defer close(w.done)
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
			w.sample()
		}
	}
}

// over ends the watch, and fails the test for what it saw.
func (w *watch) over(t *testing.T) {
	t.Helper()
	close(w.stop)
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.wrong {
		t.Error(x)
	}
	t.Logf("%d samples, highest sum of parts %.3f, %d facts told, %d uses checked, %d of them by when they were seen", w.samples, w.sum, len(w.seen), w.uses, w.matched)
	if w.samples == 0 {
		t.Error("nothing was watched")
	}
}

func (w *watch) fault(format string, args ...any) {
	if len(w.wrong) < 10 {
		w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
	}
}

func (w *watch) lives(name string, known func() Known) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alive[name] = known
}

// hold has more be looked at from now on.
func (w *watch) hold(least float64, living bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.least, w.living = least, living
}

func (w *watch) dead(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.alive, name)
}

func (w *watch) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	sum := 0.0
	for range 3 { // agents are looked at one after the other, while they change
		sum = 0
		for name, known := range w.alive {
			k := known()
			sum += max(0, k.Part)
			if w.least > 0 && k.Part < w.least {
				w.fault("%s has a part of %v", name, k.Part)
			}
			if w.living && k.Census.Gone > 0 {
				w.fault("%s was told that %d are dead, and all live", name, k.Census.Gone)
			}
			was := w.newest[name]
			if k.Settings < was[0] || k.Policy < was[1] {
				w.fault("%s went back from settings %d, policy %d to %d, %d", name, was[0], was[1], k.Settings, k.Policy)
			}
			w.newest[name] = [2]int64{max(was[0], k.Settings), max(was[1], k.Policy)}
		}
		if sum <= sumMost+1e-9 {
			break
		}
	}
	if sum > sumMost+1e-9 {
		w.fault("the parts of %d living agents come to %.3f", len(w.alive), sum)
	}
	w.sum = max(w.sum, sum)
}

// Write takes a line of a trace of this process.
func (w *watch) Write(p []byte) (int, error) {
	var l line
	if err := json.Unmarshal(p, &l); err == nil {
		w.traced(l)
	}
	return len(p), nil
}

func (w *watch) traced(l line) {
	if l.What == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := factID{l.Kind, l.Observer, l.Subject, l.Incarnation, l.Seq}
	if l.What == "tell" {
		w.seen[id] = l.At - l.Age
		return
	}
	w.uses++
	age, bound := time.Duration(l.Age)*time.Microsecond, w.bounds[l.Kind]
	if age > bound {
		w.fault("%+v is used past its bound of %v", l, bound)
	}
	if at, told := w.seen[id]; told {
		w.matched++
		if real := time.Duration(l.At-at) * time.Microsecond; real > bound+traceLate {
			w.fault("%+v is used, and was seen %v ago: its bound is %v", l, real, bound)
		}
	}
}

// The checker sees an agent that goes back to an old version, one that takes its part twice, and a fact that is used past its
// bound: by the age that is reckoned, and by when it was told.
func TestTheWatchSees(t *testing.T) {
	t.Parallel()
	now := time.Now().UnixMicro()
	use := line{What: "use", Kind: "gone", Observer: "h", Subject: "agents 0", Incarnation: 1, Seq: 1, Age: 1e6, At: now}
	told := use
	told.What, told.Age, told.At = "tell", 1e6, now-2e6
	for name, c := range map[string]struct {
		part    float64
		version int64
		lines   []line
		wrong   int
	}{
		"all is well":     {1. / 5, 3, []line{told, use}, 0},
		"an old version":  {1. / 5, 2, nil, 1},
		"a part twice":    {2. / 5, 3, nil, 1},
		"a fact too old":  {1. / 5, 3, []line{{What: "use", Kind: "gone", Age: 3000001}}, 1},
		"a fact told old": {1. / 5, 3, []line{{What: "tell", Kind: "gone", Observer: "h", Subject: "agents 0", Incarnation: 1, Seq: 1, Age: 2e6, At: now - 2e6}, use}, 1},
	} {
		w := newWatch()
		close(w.stop)
		<-w.done
		k := Known{Part: 1. / 5, Settings: 3, Policy: 3}
		for i := range 5 {
			w.lives(fmt.Sprint(i), func() Known { return k })
		}
		w.sample()
		liar := k
		liar.Part, liar.Settings = c.part, c.version
		w.lives("0", func() Known { return liar })
		w.sample()
		for _, l := range c.lines {
			w.traced(l)
		}
		if len(w.wrong) < c.wrong || c.wrong == 0 && len(w.wrong) > 0 {
			t.Errorf("%s: %q", name, w.wrong)
		}
	}
}
