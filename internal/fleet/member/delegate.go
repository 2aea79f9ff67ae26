package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// delegate is a List in memberlist's terms.
type delegate List

// Facts of one packet. A memberlist packet holds more; less keeps a lossy way whole.
const maxGossipBytes = 1000

const maxConflicts = 5

func (d *delegate) NodeMeta(limit int) []byte {
	l := (*List)(d)
	l.mu.Lock()
	meta := l.cfg.Meta
	meta.Phase = l.phase
	l.mu.Unlock()
	data, err := cbor.Marshal(meta)
	if err != nil || len(data) > limit {
		return nil
	}
	return data
}

func (d *delegate) NotifyMsg(data []byte) { d.cfg.Merge(data) }

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	l := (*List)(d)
	l.mu.Lock()
	n := len(l.members)
	l.mu.Unlock()
	if n < 2 {
		return nil // nobody would hear it
	}
	if data := d.cfg.NextMessage(min(maxGossipBytes, limit-overhead), n); data != nil {
		return [][]byte{data}
	}
	return nil
}

func (d *delegate) AckPayload() []byte { return nil }

func (d *delegate) NotifyPingComplete(n *memberlist.Node, rtt time.Duration, _ []byte) {
	d.cfg.ObserveRTT(n.Name, rtt)
}

func (d *delegate) LocalState(bool) []byte { return nil }

func (d *delegate) MergeRemoteState([]byte, bool) {}

func (l *List) memberOf(n *memberlist.Node) (Member, bool) {
	m := Member{Name: n.Name, JoinedAt: time.Now()}
	ip, ok := netip.AddrFromSlice(n.Addr)
	if !ok {
		return m, false
	}
	m.Addr = netip.AddrPortFrom(ip.Unmap(), n.Port)
	if cbor.Unmarshal(n.Meta, &m.Meta) != nil {
		m.Meta = Meta{} // of a form that is not known here: it is there all the same
	}
	return m, true
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	l := (*List)(d)
	m, ok := l.memberOf(n)
	if !ok {
		return
	}
	l.mu.Lock()
	l.putLocked(&m)
	if m.Name != l.cfg.Name {
		l.peersMet++
	}
	l.mu.Unlock()
	l.cfg.Changed()
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) {
	l := (*List)(d)
	m, ok := l.memberOf(n)
	if !ok {
		return
	}
	l.mu.Lock()
	if i, known := findMember(l.members, m.Name); known && l.members[i].Incarnation == m.Incarnation {
		m.JoinedAt = l.members[i].JoinedAt
	}
	l.putLocked(&m)
	l.mu.Unlock()
	l.cfg.Changed()
}

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	l := (*List)(d)
	l.mu.Lock()
	if i, known := findMember(l.members, n.Name); known && n.Name != l.cfg.Name {
		if n.State != memberlist.StateLeft {
			l.failed[n.Name] = *l.members[i]
		}
		l.members = slices.Delete(l.members, i, i+1)
		l.view = nil
	}
	l.mu.Unlock()
	l.cfg.Changed()
}

// NotifyConflict has the one of two processes with one name leave that started later. Clocks may say otherwise, and the
// other may not hear of it: who hears of it again and again leaves, too.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	l := (*List)(d)
	if existing.Name != l.cfg.Name {
		return
	}
	m, ok := l.memberOf(other)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conflictCount++; !ok || l.leaving || l.cfg.Meta.Incarnation < m.Incarnation && l.conflictCount < maxConflicts {
		return
	}
	l.leaving = true
	close(l.leave)
}
