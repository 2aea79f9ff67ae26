package fleet

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

const (
	deadCheckInterval = time.Second
	deadCheckTimeout  = 600 * time.Millisecond
	deadCheckers      = 2 // members that see to whether a failed one is dead
)

// detectDead sees to it that members that failed and whose machine refuses connections are told to be gone.
func (f *Fleet) detectDead(ctx context.Context) {
	tick := time.NewTicker(deadCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		failed := f.members.FailedToCheck(deadCheckers)
		dead := make([]bool, len(failed))
		var calls sync.WaitGroup
		for i, m := range failed {
			calls.Go(func() { dead[i] = f.members.ConfirmDead(ctx, m, deadCheckTimeout) })
		}
		calls.Wait()
		var names []string
		for i, m := range failed {
			if dead[i] && !m.Hub { // a hub has no part that others could use
				names = append(names, m.Name)
			}
		}
		for i := 0; i < len(names); i += 64 { // so many fit into a fact
			body, err := cbor.Marshal(names[i:min(len(names), i+64)])
			if err != nil {
				panic(err) // they are names alone
			}
			f.store.Publish(gossip.DeadProcesses, strconv.Itoa(i), body)
		}
	}
}
