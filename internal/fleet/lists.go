package fleet

import (
	"context"
	"net"
	"slices"
	"time"

	"martenbeam/internal/fleet/member"
	"martenbeam/internal/fleet/source"
)

// startingAgents counts who is seen to start, this process included.
func (f *Fleet) startingAgents() int { return max(1, f.members.View().StartingCount()) }

// relayMembers are the members of this site that ask the service for the others, the same at every member that sees the same.
func (f *Fleet) relayMembers() (list []member.Member) {
	site := slices.DeleteFunc(slices.Collect(f.members.View().InSite(f.cfg.Site).All()), func(m member.Member) bool { return m.Hub })
	subject := "relay " + f.cfg.Site
	for range relayCount(len(site)) {
		best := -1
		for i, m := range site {
			if best < 0 || member.RendezvousScore(subject, m.Name) < member.RendezvousScore(subject, site[best].Name) {
				best = i
			}
		}
		list = append(list, site[best])
		site = append(site[:best], site[best+1:]...)
	}
	return list
}

// Next waits until the list may be asked for, and says where: of a relay first, where lists are relayed and this process
// is none itself, and of the service in this process's turn. fails counts openings that came to nothing. It reports false
// once ctx ends.
func (f *Fleet) Next(ctx context.Context, failures int) (source.Source, bool) {
	countStarting := f.startingAgents
	if f.cfg.RelayedLists {
		for f.members.PeersMet() == 0 && time.Since(f.startedAt) < relayPeerWait {
			select {
			case <-ctx.Done():
				return source.Source{}, false
			case <-time.After(20 * time.Millisecond):
			}
		}
		list, isRelay := f.relayMembers(), false
		for _, m := range list {
			isRelay = isRelay || m.Name == f.cfg.Name
		}
		if turn := failures % (maxRelayAttempts + 1); !isRelay && turn < maxRelayAttempts && len(list) > 0 {
			m := list[turn%len(list)]
			return source.Source{Addr: m.Addr.String(), SilenceTimeout: relayTimeout, Relayed: true}, true
		}
		if isRelay {
			countStarting = f.startingRelays
		}
	}
	return source.Source{}, f.pacer.AwaitTurn(ctx, countStarting)
}

// startingRelays counts those who ask the service for their sites: the others wait for them, and not in turn.
func (f *Fleet) startingRelays() (n int) {
	for _, members := range f.members.View().Sites() {
		n += relayCount(members.Len())
	}
	return max(1, n)
}

// relayCount is how many relays a site of so many members has.
func relayCount(members int) int {
	if members >= largeSiteMembers {
		return 2
	}
	return min(1, members)
}

// RecordAttempt takes how an opening went: after how long the first word came, or that none did, and from which version on.
func (f *Fleet) RecordAttempt(s source.Source, waited time.Duration, failed bool, version int64) {
	if !s.Relayed {
		f.pacer.RecordAttempt(waited, failed, version)
	}
}

// Dial opens a connection to another member.
func (f *Fleet) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return f.members.Dial(ctx, network, addr)
}

// RecordLiveness takes a sign of life of a source.
func (f *Fleet) RecordLiveness(s source.Source) {
	if !s.Relayed {
		f.relay.recordLiveness()
	}
}

// RecordUpdate takes a message of a source; see relay.listed.
func (f *Fleet) RecordUpdate(s source.Source, from, to int64, change, whole []byte) {
	if !s.Relayed {
		f.relay.recordUpdate(from, to, change, whole)
	}
	f.Ready()
}

// Lagging reports whether others have told of a later version of the list than the one known here.
func (f *Fleet) Lagging(version int64) bool { return f.pacer.LatestVersion() > version }
