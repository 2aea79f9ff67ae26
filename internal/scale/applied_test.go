package scale

// When each agent applied each change.

import (
	"sync"
	"time"

	"martenbeam/internal/scale/simagent"
)

// appliedVersions are when agents acted on changes.
type appliedVersions struct {
	mu    sync.Mutex
	byKey map[appliedKey][]appliedVersion // in order
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

// appliedAt is when an agent first had a version, or one after it.
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
