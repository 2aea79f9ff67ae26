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

// Discovery does not publish the removal of a backend that is up again before the removal was due to be published.
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
	l.discovery.publish(0, h, "gone", scenario.Range{5, 5})
	h.machine.Restart(time.Second)
	l.discovery.publish(time.Second, h, "ready", scenario.Range{0.5, 0.5})
	l.runPending(20 * time.Second)
	for _, m := range l.discovery.cachedList(l.agents[0], 20*time.Second).Servers {
		if m.ID == h.machine.ID && m.State == "ready" && m.Started > 0 {
			return
		}
	}
	t.Error("the list does not have the restarted backend in state ready with its start time")
}

// The same seed gives the same arrivals and requests, and the requests of an agent do not depend on how many agents there are.
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
				req := l.newRequest(a, at)
				got[a.number] = append(got[a.number], fmt.Sprint(req.firstID, req.class, req.tenant, req.sid, req.work, req.idempotencyKey, string(req.body)))
			}
		}
		return got
	}
	one, again, other := draw(1, "agents = 3"), draw(1, "agents = 3"), draw(2, "agents = 3")
	if !reflect.DeepEqual(one, again) {
		t.Error("two runs with the same seed drew different requests")
	}
	if reflect.DeepEqual(one, other) {
		t.Error("two different seeds drew the same requests")
	}
	if more := draw(1, "agents = 4"); !reflect.DeepEqual(one[0], more[0]) {
		t.Error("adding a fourth agent changed the requests of the first")
	}
}

// The agent program of the platform does not link the lab.
func TestPlatformAgentHasNoLab(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "martenbeam/cmd/agent").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range strings.Fields(string(out)) {
		if strings.HasPrefix(p, "martenbeam/internal/lab") || strings.Contains(p, "/kong") || strings.Contains(p, "hdrhistogram") {
			t.Errorf("cmd/agent links %s, want no package of the lab and none of its dependencies", p)
		}
	}
	if !strings.Contains(string(out), "martenbeam/internal/agent") {
		t.Error("cmd/agent does not link internal/agent")
	}
}
