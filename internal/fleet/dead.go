package fleet

// This file checks which failed members are dead, and publishes their names.

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
	deadCheckers      = 2  // members that check each failed member
	maxNamesPerEntry  = 64 // names in one gossip entry, whose body is limited in size
)

// detectDead checks the failed members for which this process is responsible, once a second until ctx ends, and publishes
// the names of the agents that ConfirmDead reports as dead. Other members then use the quota of these agents; see
// recomputeQuota.
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
		var checks sync.WaitGroup
		for i, m := range failed {
			checks.Go(func() { dead[i] = f.members.ConfirmDead(ctx, m, deadCheckTimeout) })
		}
		checks.Wait()
		var names []string
		for i, m := range failed {
			if dead[i] && !m.Hub { // a hub has no quota that others could use
				names = append(names, m.Name)
			}
		}
		for i := 0; i < len(names); i += maxNamesPerEntry {
			body, err := cbor.Marshal(names[i:min(len(names), i+maxNamesPerEntry)])
			if err != nil {
				panic(err) // strings always encode
			}
			f.store.Publish(gossip.DeadProcesses, strconv.Itoa(i), body)
		}
	}
}
