package brookferry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brookferry"
)

// zoned is a rig with three zones of three backends, whose backends answer after a while unless their zone is
// silent.
type zoned struct {
	*rig
	list   []brookferry.Backend
	silent map[int]bool
	due    map[string]time.Duration // by request: when its answer comes
	first  map[int]int              // first attempts by zone
	probes []string
	n      int
	probed int
	mute   map[string]bool // single backends that are silent
}

func newZoned(t *testing.T, seed uint64) *zoned {
	z := &zoned{silent: map[int]bool{}, due: map[string]time.Duration{}, first: map[int]int{}}
	for i := range 9 {
		z.list = append(z.list, brookferry.Backend{ID: string(rune('a' + i)), Zone: i % 3, Cell: i % 3})
	}
	s := settings()
	s.MayProbe, s.Balancers = true, 1
	z.rig = newRig(t, s, seed, z.list)
	return z
}

func (z *zoned) zone(id string) int { return int(id[0]-'a') % 3 }

// note takes what the balancer wants done.
func (z *zoned) note(actions []brookferry.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case brookferry.Send:
			if len(z.sent[a.Request]) == 1 {
				z.first[z.zone(a.Backend)]++
			}
			z.due[a.Request] = z.now + 20*ms
			if z.silent[z.zone(a.Backend)] || z.mute[a.Backend] {
				z.due[a.Request] = z.now + time.Second // its client's patience
			}
		case brookferry.Probe:
			z.probes = append(z.probes, a.Backend)
			z.probed++
		}
	}
}

// run lets time pass, with a request every 5 ms.
func (z *zoned) run(span time.Duration) {
	for end := z.now + span; z.now < end; {
		z.note(z.advance(5 * ms))
		var over []string
		for id, at := range z.due {
			if at <= z.now {
				over = append(over, id)
			}
		}
		slices.Sort(over)
		for _, id := range over {
			delete(z.due, id)
			to := z.sent[id][len(z.sent[id])-1]
			if z.silent[z.zone(to)] || z.mute[to] {
				z.note(z.outcome(id, brookferry.TimedOut, time.Second))
			} else {
				z.note(z.outcome(id, brookferry.OK, 20*ms))
			}
		}
		probes := z.probes
		z.probes = nil
		for _, id := range probes {
			result := brookferry.OK
			if z.silent[z.zone(id)] {
				result = brookferry.TimedOut
			}
			z.note(z.step(brookferry.ProbeResult{Backend: id, Result: result, Latency: ms}))
		}
		z.n++
		id := fmt.Sprint("z", z.n)
		z.note(z.request(id, safe))
	}
}

// A zone that falls silent is left, asked by probes, and comes back by a part that grows.
func TestSilentZoneIsLeftAndComesBack(t *testing.T) {
	z := newZoned(t, 3)
	z.run(2 * time.Second)
	if z.first[1] < 60 {
		t.Fatalf("before: %v", z.first)
	}
	z.silent[1] = true
	z.run(1500 * ms)
	clear(z.first)
	z.run(2 * time.Second)
	if z.first[1] > 0 || z.first[0]+z.first[2] < 300 {
		t.Errorf("after it was left: first attempts by zone %v", z.first)
	}
	z.silent[1] = false
	z.run(5 * time.Second)
	clear(z.first)
	z.run(2 * time.Second)
	if z.first[1] < 60 {
		t.Errorf("after its return: %v", z.first)
	}
}

// Silence everywhere is this agent's own: it leaves nothing, and is whole as soon as anything answers.
func TestSilenceEverywhereLeavesNothing(t *testing.T) {
	z := newZoned(t, 4)
	z.run(time.Second)
	for zone := range 3 {
		z.silent[zone] = true
	}
	z.run(3 * time.Second)
	if z.probed > 0 {
		t.Error("a zone was left")
	}
	clear(z.silent)
	z.run(6 * time.Second)
	clear(z.first)
	z.run(2 * time.Second)
	if z.first[0] < 30 || z.first[1] < 30 || z.first[2] < 30 {
		t.Errorf("afterwards: %v", z.first)
	}
}

// A zone of which most backends are silent and one answers is not left: its backends are judged one by one.
func TestZoneThatAnswersIsNotLeft(t *testing.T) {
	z := newZoned(t, 5)
	z.run(time.Second)
	z.mute = map[string]bool{"e": true, "h": true}
	z.run(4 * time.Second)
	if z.probed > 0 {
		t.Error("the zone was left")
	}
	if z.first[1] == 0 {
		t.Error("nothing goes there")
	}
}

// Whatever zones do, none is out of use for good once all answer again.
func TestZonesUnderRandomSilence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		z := newZoned(t, rapid.Uint64().Draw(rt, "seed"))
		z.run(500 * ms)
		for range rapid.IntRange(1, 6).Draw(rt, "turns") {
			zone := rapid.IntRange(0, 2).Draw(rt, "zone")
			z.silent[zone] = !z.silent[zone]
			z.run(time.Duration(rapid.IntRange(100, 2500).Draw(rt, "ms")) * ms)
		}
		clear(z.silent)
		z.run(12 * time.Second)
		clear(z.first)
		z.run(time.Second)
		for zone := range 3 {
			if z.first[zone] == 0 {
				rt.Fatalf("zone %d is out of use for good: %v", zone, z.first)
			}
		}
	})
}
