package brookferry_test

import (
	"fmt"
	"testing"

	"brookferry"
)

// The other customer's calm day: backends that hold as many connections as they may turn new ones away. That says nothing of
// queues: the limit stays, and the agent keeps to fewer backends, of which it has connections.
func TestConnectionsTurnedAwayAreNoCrowd(t *testing.T) {
	rush := func(fresh bool) (out int, met int) {
		s := settings()
		s.MaxAttempts = 1
		r := newRig(t, s, 1, backends(8))
		for n := range 1 {
			r.rush(fmt.Sprint("calm", n), 20*ms)
		}
		for n := range 60 {
			id := fmt.Sprint("turned", n)
			r.request(id, safe)
			r.step(brookferry.Outcome{Request: id, Backend: r.sent[id][0], Result: brookferry.Full, Latency: ms, New: fresh})
			r.advance(100 * ms)
		}
		return r.rush("after", 20*ms), len(r.serve(100, safe, 20*ms))
	}
	queues, all := rush(false)
	caps, few := rush(true)
	if caps < queues*3/2 {
		t.Errorf("%d in flight after connections were turned away, %d after queues were full", caps, queues)
	}
	if few > all/2 {
		t.Errorf("%d backends in use after connections were turned away, %d after queues were full", few, all)
	}
}
