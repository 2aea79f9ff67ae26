package scale

// The sum of all agents' quotas, which must never exceed the limit by much.

import (
	"sync"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

// quotaWatch follows how much of the in-flight limit all agents that run use together.
type quotaWatch struct {
	end    chan struct{}
	done   sync.WaitGroup
	maxSum float64
}

const (
	sumInterval = 50 * time.Millisecond
	maxQuotaSum = 1.1 // of the limit
)

// quotaHolder is what has a part.
type quotaHolder interface{ Quota() float64 }

// sumQuotas is the parts' sum.
func sumQuotas[U quotaHolder](list []U) (all float64) {
	for _, u := range list {
		all += u.Quota()
	}
	return all
}

func (f *testFleet) watchQuotas() *quotaWatch {
	w := &quotaWatch{end: make(chan struct{})}
	w.done.Go(func() {
		tick := time.NewTicker(sumInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-w.end:
				return
			}
			w.maxSum = max(w.maxSum, sumQuotas(f.present()))
		}
	})
	return w
}

// present are the agents that were started, each number's latest.
func (f *testFleet) present() (list []*simagent.Agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.agents {
		if a != nil {
			list = append(list, a)
		}
	}
	return list
}

// stop ends it, and fails the test if the sum was too large.
func (w *quotaWatch) stop(t testing.TB) {
	close(w.end)
	w.done.Wait()
	t.Logf("the parts' largest sum: %.3f of the limit", w.maxSum)
	if w.maxSum > maxQuotaSum {
		t.Errorf("the parts' sum came to %.3f of the limit", w.maxSum)
	}
}

// fakeQuotaHolder is an agent that takes its part several times.
type fakeQuotaHolder struct {
	quota float64
	times int
}

func (g fakeQuotaHolder) Quota() float64 { return g.quota * float64(g.times) }

// The check of the parts' sum finds an agent that takes a part twice.
func TestQuotaSumFindsAnAgentThatCountsTwice(t *testing.T) {
	fair := fakeQuotaHolder{0.2, 1}
	for _, c := range []struct {
		list []fakeQuotaHolder
		bad  bool
	}{{[]fakeQuotaHolder{fair, fair, fair, fair, fair}, false}, {[]fakeQuotaHolder{fair, fair, fair, fair, {0.2, 2}}, true}, {nil, false}} {
		if got := sumQuotas(c.list); got > maxQuotaSum != c.bad {
			t.Errorf("%v: %v", c.list, got)
		}
	}
}
