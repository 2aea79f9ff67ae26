package scale

// Record of the times at which agents applied changes.

import (
	"sync"
	"time"

	"martenbeam/internal/scale/simagent"
)

// appliedVersions records the time at which each agent applied each version. Its methods may be called from any goroutine.
type appliedVersions struct {
	mu    sync.Mutex
	byKey map[appliedKey][]appliedVersion // in the order of recording
}

type appliedKey struct {
	agent  string
	change simagent.Change
}

type appliedVersion struct {
	version int64
	at      time.Time
}

func (a *appliedVersions) record(name string, what simagent.Change, version int64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := appliedKey{name, what}
	a.byKey[k] = append(a.byKey[k], appliedVersion{version, at})
}

// appliedAt returns the time at which an agent first applied a version or a later version. It returns false if the agent has
// applied neither.
func (a *appliedVersions) appliedAt(name string, what simagent.Change, version int64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range a.byKey[appliedKey{name, what}] {
		if x.version >= version {
			return x.at, true
		}
	}
	return time.Time{}, false
}
