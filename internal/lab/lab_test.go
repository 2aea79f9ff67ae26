package lab

import (
	"fmt"
	"os/exec"
	"reflect"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/scenario"
)

// A machine that falls silent and is back before discovery knows is never told to be gone.
func TestOutdatedChangeIsNotPublished(t *testing.T) {
	l, err := New(options(t, "real", smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	h := l.hosts[0]
	l.mu.Lock()
	defer l.mu.Unlock()
	h.machine.Stop(0, model.Silent)
	l.discovery.learn(0, h, "gone", scenario.Range{5, 5})
	h.machine.Restart(time.Second)
	l.discovery.learn(time.Second, h, "ready", scenario.Range{0.5, 0.5})
	l.runPending(20 * time.Second)
	for _, m := range l.discovery.cachedList(l.agents[0], 20*time.Second).Servers {
		if m.ID == h.machine.ID && m.State == "ready" && m.Started > 0 {
			return
		}
	}
	t.Error("it is not in the list as ready again")
}

// The same seed gives the same arrivals and requests; what one agent draws shifts nothing of another's.
func TestSameSeedSameArrivals(t *testing.T) {
	draw := func(seed uint64, agents string) map[int][]string {
		o := options(t, "real", strings.Replace(smallScenario, "agents = 3", agents, 1))
		o.Seed = seed
		l, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		got := map[int][]string{}
		for _, a := range l.agents {
			at := time.Duration(0)
			for range 50 {
				at = l.nextArrival(a, at)
				p := l.newRequest(a, at)
				got[a.number] = append(got[a.number], fmt.Sprint(p.firstID, p.class, p.tenant, p.sid, p.work, p.idempotencyKey, string(p.body)))
			}
		}
		return got
	}
	one, again, other := draw(1, "agents = 3"), draw(1, "agents = 3"), draw(2, "agents = 3")
	if !reflect.DeepEqual(one, again) {
		t.Error("the same seed drew something else")
	}
	if reflect.DeepEqual(one, other) {
		t.Error("another seed drew the same")
	}
	if more := draw(1, "agents = 4"); !reflect.DeepEqual(one[0], more[0]) {
		t.Error("a fourth agent changed what the first is asked")
	}
}

// The platform's agent has nothing of the lab in it.
func TestPlatformAgentHasNoLab(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "martenbeam/cmd/agent").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range strings.Fields(string(out)) {
		if strings.HasPrefix(p, "martenbeam/internal/lab") || strings.Contains(p, "/kong") || strings.Contains(p, "hdrhistogram") {
			t.Errorf("it is linked with %s", p)
		}
	}
	if !strings.Contains(string(out), "martenbeam/internal/agent") {
		t.Error("it is not linked with the agent")
	}
}
