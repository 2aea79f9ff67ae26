package fleet

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

const (
	// A starter takes a tenth of an even part until it can be sure that nobody uses its own: it has met others, who by
	// then would have told that it counts as gone, or it has waited for as long as such a word holds.
	startupQuotaFactor = 0.1
	peersMetPeriod     = 500 * time.Millisecond
)

// recomputeQuota reckons this process's part of the in-flight limit. An even part belongs to each process that the fleet may
// have, except those that are dead for certain: of these the others use it while a word no older than its bound says so.
// Who is merely not heard keeps its part: it may be alive beyond a cut. So the sum of all parts stays within the limit.
func (f *Fleet) recomputeQuota() {
	view := f.members.View()
	dead, selfReportedDead := map[string]bool{}, false
	for _, entry := range f.store.Entries(gossip.DeadProcesses) {
		var names []string
		if cbor.Unmarshal(entry.Body, &names) != nil {
			continue
		}
		for _, name := range names {
			if name == f.cfg.Name {
				selfReportedDead = true
			} else if _, alive := view.ByName(name); !alive && !f.members.WasHub(name) {
				dead[name] = true
			}
		}
	}
	now := time.Now()
	f.mu.Lock()
	if f.peersMetAt.IsZero() && f.members.PeersMet() > 0 {
		f.peersMetAt = now
	}
	quotaConfirmed := now.Sub(f.startedAt) >= f.cfg.AgeBounds[gossip.DeadProcesses] || !f.peersMetAt.IsZero() && now.Sub(f.peersMetAt) >= peersMetPeriod && !selfReportedDead
	quota := startupQuotaFactor / float64(f.cfg.MaxMembers)
	if quotaConfirmed {
		quota = 1 / float64(max(1, view.AgentCount(), f.cfg.MaxMembers-len(dead)))
	}
	unchanged := quota == f.quota
	f.quota = quota
	f.mu.Unlock()
	if unchanged {
		return
	}
	f.trace(map[string]any{"part": quota})
	if f.callbacks.Quota != nil {
		f.callbacks.Quota(quota)
	}
}
