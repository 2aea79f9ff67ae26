package member

// This file has the callbacks through which memberlist reports members and carries gossip.

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// delegate implements memberlist's delegate interfaces for a List. It is a separate type so that List does not export their
// methods.
type delegate List

// maxGossipBytes is the size of a gossip message in one packet. A memberlist packet could hold more, but a larger packet is
// fragmented, and then lost if any fragment is lost.
const maxGossipBytes = 1000

// maxConflicts is the number of reported name conflicts after which a process leaves even if it started first.
const maxConflicts = 5

// NodeMeta returns the encoded Meta, or nil if it is too long.
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

// NotifyMsg passes on a received gossip message.
func (d *delegate) NotifyMsg(data []byte) { d.cfg.Merge(data) }

// GetBroadcasts returns a gossip message for the next packet.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	l := (*List)(d)
	l.mu.Lock()
	n := len(l.members)
	l.mu.Unlock()
	if n < 2 {
		return nil // there is no other member
	}
	if data := d.cfg.NextMessage(min(maxGossipBytes, limit-overhead), n); data != nil {
		return [][]byte{data}
	}
	return nil
}

// AckPayload returns nothing: replies to probes carry no data.
func (d *delegate) AckPayload() []byte { return nil }

// NotifyPingComplete passes on the round trip of a memberlist probe.
func (d *delegate) NotifyPingComplete(n *memberlist.Node, rtt time.Duration, _ []byte) {
	d.cfg.ObserveRTT(n.Name, rtt)
}

// LocalState returns nothing: gossip is not part of the exchange of states.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// memberOf converts a node. It reports false if the address is invalid.
func (l *List) memberOf(n *memberlist.Node) (Member, bool) {
	m := Member{Name: n.Name, JoinedAt: time.Now()}
	ip, ok := netip.AddrFromSlice(n.Addr)
	if !ok {
		return m, false
	}
	m.Addr = netip.AddrPortFrom(ip.Unmap(), n.Port)
	if cbor.Unmarshal(n.Meta, &m.Meta) != nil {
		m.Meta = Meta{} // unknown encoding: the node is still a member
	}
	return m, true
}

// NotifyJoin adds a member.
func (d *delegate) NotifyJoin(n *memberlist.Node) {
	l := (*List)(d)
	m, ok := l.memberOf(n)
	if !ok {
		return
	}
	l.mu.Lock()
	l.putLocked(&m)
	if m.Name != l.cfg.Name {
		l.peerJoins++
	}
	l.mu.Unlock()
	l.cfg.Changed()
}

// NotifyUpdate replaces a member whose Meta has changed. JoinedAt stays unchanged while the incarnation is the same.
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

// NotifyLeave removes a member, and records it as failed unless it left the fleet itself.
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

// NotifyConflict makes this process leave if another process has the same name and started earlier. Incarnations depend on wall
// clocks, and the other process may not detect the conflict, so this process leaves after maxConflicts reports even if it
// started first.
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
