package balancer

// The records that follow the list of backends. Nothing is decided here.

import (
	"cmp"
	"fmt"
	"slices"
)

// merge takes a list over into the records: what is new, what has started again, what is gone.
func (b *Balancer) merge(e List) {
	listed := map[string]bool{}
	for _, n := range b.heed(e.Backends) {
		listed[n.ID] = true
		t := b.byID[n.ID]
		if t == nil {
			t = &backend{Backend: n, key: keyOf(n.ID), slow: 1, rank: keyOf(fmt.Sprint(n.ID, b.s.Self))}
			b.byID[n.ID], b.byKey[t.key] = t, t
			b.backends, b.unsettled = append(b.backends, t), append(b.unsettled, t)
			if n.Started > 0 {
				b.start(t, n.Started)
			}
			continue
		}
		b.unsettle(t)
		if n.Started > t.Started {
			b.start(t, max(n.Started, t.warmFrom))
			t.strikes, t.ejected, t.down = 0, 0, false
		}
		t.Backend = n
	}
	slices.SortStableFunc(b.backends, func(x, y *backend) int { return cmp.Compare(x.rank, y.rank) })
	// One that is gone is kept no longer than its attempts are out: fleets are replaced again and again.
	b.backends = slices.DeleteFunc(b.backends, func(t *backend) bool {
		if e.Kind != ListDelta && !listed[t.ID] {
			b.unsettle(t)
			t.State = Gone
		}
		over := t.State == Gone && len(t.out) == 0
		if over {
			delete(b.byID, t.ID)
			delete(b.byKey, t.key)
		}
		return over
	})
	b.unsettled = slices.DeleteFunc(b.unsettled, func(t *backend) bool { return b.byID[t.ID] != t })
}
