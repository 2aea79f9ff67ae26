package fleet

// This file implements source.Selector: where and when this process requests the endpoint list.

import (
	"context"
	"net"
	"slices"
	"time"

	"martenbeam/internal/fleet/member"
	"martenbeam/internal/fleet/source"
)

const (
	relayTimeout     = 2500 * time.Millisecond // a relay that sends nothing for this time counts as failed
	maxRelayAttempts = 2                       // attempts at relays before one at the list service
	largeSiteMembers = 20                      // a site with at least this many members has two relays
	relayPeerTimeout = time.Second             // how long after its start a process waits for peers before it requests the list from the service itself
)

// startingCount returns the number of agents that are starting, this one included.
func (f *Fleet) startingCount() int { return max(1, f.members.View().StartingCount()) }

// relayMembers returns the agents of this site that relay the list: the first ones in rendezvous order. Members with the
// same view choose the same ones.
func (f *Fleet) relayMembers() (list []member.Member) {
	candidates := slices.DeleteFunc(slices.Collect(f.members.View().InSite(f.cfg.Site).All()),
		func(m member.Member) bool { return m.Hub })
	relaySubject := "relay " + f.cfg.Site
	for range relayCount(len(candidates)) {
		best := -1
		for i, m := range candidates {
			if best < 0 || member.RendezvousScore(relaySubject, m.Name) < member.RendezvousScore(relaySubject, candidates[best].Name) {
				best = i
			}
		}
		list = append(list, candidates[best])
		candidates = append(candidates[:best], candidates[best+1:]...)
	}
	return list
}

// Next waits until this process may request the list, and returns the source to use. If lists are relayed and this
// process is not a relay, the source is a relay; after every maxRelayAttempts failures in a row, one attempt goes to the list
// service. Before it returns the list service, Next waits for this process's turn. failures is the number of attempts in a
// row that failed. Next reports false if ctx ends first.
func (f *Fleet) Next(ctx context.Context, failures int) (source.Source, bool) {
	countStarting := f.startingCount
	if f.cfg.RelayedLists {
		for f.members.PeerJoins() == 0 && time.Since(f.startedAt) < relayPeerTimeout {
			select {
			case <-ctx.Done():
				return source.Source{}, false
			case <-time.After(20 * time.Millisecond):
			}
		}
		relays, isRelay := f.relayMembers(), false
		for _, m := range relays {
			isRelay = isRelay || m.Name == f.cfg.Name
		}
		if attempt := failures % (maxRelayAttempts + 1); !isRelay && attempt < maxRelayAttempts && len(relays) > 0 {
			m := relays[attempt%len(relays)]
			return source.Source{Addr: m.Addr.String(), SilenceTimeout: relayTimeout, Relayed: true}, true
		}
		if isRelay {
			countStarting = f.totalRelays
		}
	}
	return source.Source{}, f.pacer.AwaitTurn(ctx, countStarting)
}

// totalRelays returns the number of relays in all sites, at least 1. Relays take turns only with each other, because other
// processes call the list service only after failed attempts at relays. The number of relays of a site is computed from all
// its members, hubs included.
func (f *Fleet) totalRelays() (n int) {
	for _, members := range f.members.View().Sites() {
		n += relayCount(members.Len())
	}
	return max(1, n)
}

// relayCount returns the number of relays in a site with the given number of members.
func relayCount(members int) int {
	if members >= largeSiteMembers {
		return 2
	}
	return min(1, members)
}

// RecordAttempt records the result of a request to the list service: the time until the first message or that the request
// failed, and the list version at this process. It ignores requests to relays.
func (f *Fleet) RecordAttempt(s source.Source, waited time.Duration, failed bool, version int64) {
	if !s.Relayed {
		f.pacer.RecordAttempt(waited, failed, version)
	}
}

// Dial opens a TCP connection to another member, from this member's IP address.
func (f *Fleet) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return f.members.Dial(ctx, network, addr)
}

// RecordLiveness records that something was received from the list service. It ignores relays.
func (f *Fleet) RecordLiveness(s source.Source) {
	if !s.Relayed {
		f.relay.recordLiveness()
	}
}

// RecordUpdate records a list update for the members to which this process relays lists, if the source is the list service:
// the change between two versions, nil for a full list, and the full list at the later version, both as JSON. The first
// update from any source puts this process in phase Serving.
func (f *Fleet) RecordUpdate(s source.Source, from, to int64, change, fullList []byte) {
	if !s.Relayed {
		f.relay.recordUpdate(from, to, change, fullList)
	}
	f.Ready()
}

// Lagging reports whether another process has published a later version of the list than the given one.
func (f *Fleet) Lagging(version int64) bool { return f.pacer.LatestVersion() > version }
