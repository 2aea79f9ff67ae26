package scale

// Check that the sum of all agents' quotas never exceeds the in-flight limit by more than 10%.

import (
	"sync"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

// quotaWatch samples the sum of all running agents' quotas, as a share of the in-flight limit.
type quotaWatch struct {
	end    chan struct{}
	done   sync.WaitGroup
	maxSum float64
}

const (
	sumInterval = 50 * time.Millisecond
	maxQuotaSum = 1.1 // share of the in-flight limit: the sum may exceed the limit by 10% while quotas change
)

// quotaHolder is an agent or a fake agent with a quota.
type quotaHolder interface{ Quota() float64 }

// sumQuotas returns the sum of all quotas.
func sumQuotas[H quotaHolder](list []H) (sum float64) {
	for _, u := range list {
		sum += u.Quota()
	}
	return sum
}

// watchQuotas starts a quotaWatch, which ends with stop.
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
			w.maxSum = max(w.maxSum, sumQuotas(f.startedAgents()))
		}
	})
	return w
}

// startedAgents returns the latest started agent of each number.
func (f *testFleet) startedAgents() (list []*simagent.Agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.agents {
		if a != nil {
			list = append(list, a)
		}
	}
	return list
}

// stop ends the sampling, and fails the test if the sum has exceeded maxQuotaSum.
func (w *quotaWatch) stop(t testing.TB) {
	t.Helper()
	close(w.end)
	w.done.Wait()
	t.Logf("largest sum of the quotas: %.3f of the limit", w.maxSum)
	if w.maxSum > maxQuotaSum {
		t.Errorf("the sum of the quotas reached %.3f of the limit, want at most maxQuotaSum", w.maxSum)
	}
}

// fakeQuotaHolder is a fake agent that uses its quota several times.
type fakeQuotaHolder struct {
	quota float64
	times int
}

func (g fakeQuotaHolder) Quota() float64 { return g.quota * float64(g.times) }

// The sum of quotas exceeds its bound if one of five agents uses its quota twice.
func TestQuotaSumDetectsAnAgentThatUsesItsQuotaTwice(t *testing.T) {
	fair := fakeQuotaHolder{0.2, 1}
	for _, c := range []struct {
		list []fakeQuotaHolder
		bad  bool
	}{
		{[]fakeQuotaHolder{fair, fair, fair, fair, fair}, false},
		{[]fakeQuotaHolder{fair, fair, fair, fair, {0.2, 2}}, true},
		{nil, false},
	} {
		if got := sumQuotas(c.list); got > maxQuotaSum != c.bad {
			t.Errorf("quotas %v: the sum %v is on the wrong side of maxQuotaSum", c.list, got)
		}
	}
}
