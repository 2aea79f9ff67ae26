// This file publishes what the hub knows: sums of its agents to the other hubs, sums of all hubs to its agents.

package hub

import (
	"bytes"
	"context"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/fleet/startup"
)

const (
	publishInterval  = time.Second
	suspendThreshold = time.Second // between two ticks: the process was stopped
	summaryInterval  = 10 * time.Second
)

// publishSums tells agents and other hubs what is known, each second, and agents at once what has changed.
func (s *Server) publishSums(ctx context.Context) {
	tick := time.NewTicker(gossip.TickInterval)
	defer tick.Stop()
	lastTickAt, publishedAt, summarizedAt := time.Now(), time.Time{}, time.Now()
	var lagging []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(lastTickAt) > suspendThreshold {
			s.resetAfterSuspend(now)
		}
		lastTickAt = now
		s.loadReports.Tick()
		due := now.Sub(publishedAt) >= publishInterval
		if due {
			publishedAt = now
			s.publishToHubs()
			s.registry.expireRemote(now)
			lagging = s.laggingAgents(now)
		}
		entries := s.sharedEntries(now)
		if s.changed(entries) || due {
			s.publish(entries, s.latencyRows(), now)
		}
		if now.Sub(summarizedAt) >= summaryInterval {
			summarizedAt = now
			s.logSummary(now, lagging)
		}
	}
}

// resetAfterSuspend makes the hub start anew after its process was suspended: its agents have moved to other hubs meanwhile,
// and what lies in their streams is old.
func (s *Server) resetAfterSuspend(now time.Time) {
	for _, a := range s.registry.clear() {
		a.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumedAt = now
	clear(s.reportedDead)
	clear(s.attachedByHub)
	clear(s.hubsDeadAt)
}

// publishToHubs publishes the sums of this hub's agents to the other hubs.
func (s *Server) publishToHubs() {
	store := s.fleet.Gossip()
	store.Publish(gossip.FleetSize, s.cfg.Name, s.localSize().MarshalBody())
	for _, sum := range startup.Aggregate(s.loadReports.Entries(gossip.ListServiceLoad)) {
		store.PublishAged(gossip.ListServiceLoad, "agents "+sum.Subject, sum.Body, sum.Age)
	}
}

// sharedEntries returns the entries that all agents receive alike: the load of the list service, the fleet size, and the
// versions of the documents that this hub holds.
func (s *Server) sharedEntries(now time.Time) []gossip.Entry {
	entries := startup.Aggregate(s.fleet.Gossip().Entries(gossip.ListServiceLoad))
	size, age := s.fleetSize(now)
	entries = append(entries, gossip.Entry{Kind: gossip.FleetSize, Subject: FleetSubject, Age: age, Body: size.MarshalBody()})
	if kind := s.cfg.Settings; kind != nil {
		if state := kind.Applied(); state.Version > 0 {
			entries = append(entries, gossip.Entry{Kind: kind.GossipKind, Subject: kind.Subject, Body: state.MarshalBody()})
		}
	}
	if kind := s.cfg.Policy; kind != nil {
		if age, ok := s.cfg.PolicyAge(); ok && age <= s.cfg.Bounds[gossip.ResidencyVersion] {
			entries = append(entries, gossip.Entry{Kind: kind.GossipKind, Subject: kind.Subject, Age: age, Body: kind.Applied().MarshalBody()})
		}
	}
	return entries
}

// latencyRows returns the latency row of each zone that attached agents are in, by zone.
func (s *Server) latencyRows() map[string]gossip.Entry {
	matrix := s.fleet.LatencyMatrix()
	rows := map[string]gossip.Entry{}
	for _, a := range s.registry.attachments() {
		if _, known := rows[a.site]; known || a.site == "" {
			continue
		}
		if body, age := matrix.Row(a.site, s.maxSourceAge(gossip.LatencyRow)); body != nil {
			rows[a.site] = gossip.Entry{Kind: gossip.LatencyRow, Subject: a.site, Age: age, Body: body}
		}
	}
	return rows
}

// firstAgentSeq is the base of the sequence numbers of entries to agents. It sets them apart from the entries of the same
// subjects that this process publishes to the other hubs.
const firstAgentSeq = 1 << 32

// publisher encodes the entries that a hub publishes to its agents. It belongs to one goroutine.
type publisher struct {
	seq        uint64
	lastBodies map[gossip.Kind][]byte // bodies, as last told
}

// changed reports whether entries differ from those of the last call in what agents have to know at once: all but the load
// of the list service, which they may learn at the next interval.
func (p *publisher) changed(entries []gossip.Entry) bool {
	bodies := map[gossip.Kind][]byte{}
	for _, entry := range entries {
		if entry.Kind != gossip.ListServiceLoad {
			bodies[entry.Kind] = entry.Body
		}
	}
	changed := len(bodies) != len(p.lastBodies)
	for kind, body := range bodies {
		changed = changed || !bytes.Equal(p.lastBodies[kind], body)
	}
	p.lastBodies = bodies
	return changed
}

// encodeEntries encodes a frame of facts, each with an age of now.
func (s *Server) encodeEntries(entries []gossip.Entry, now time.Time) []byte {
	message := gossip.Message{Version: gossip.Version, Sender: s.cfg.Name, Incarnation: s.cfg.Incarnation, Clock: now.Sub(s.startedAt)}
	for _, entry := range entries {
		s.seq++
		entry.Observer, entry.Incarnation, entry.Seq = s.cfg.Name, s.cfg.Incarnation, firstAgentSeq+s.seq
		message.Entries = append(message.Entries, entry)
		gossip.Trace{W: s.cfg.Trace}.Use(gossip.Use{Entry: entry, Published: true, AgeAtUse: entry.Age})
	}
	data, err := gossip.EncodeMessage(&message)
	if err == nil {
		data, err = frame.Encode(&frame.Frame{Gossip: data})
	}
	if err != nil {
		panic(err) // each body is within its bound
	}
	return data
}

// publish has every agent told, by one encoding for each site.
func (s *Server) publish(entries []gossip.Entry, rows map[string]gossip.Entry, now time.Time) {
	frames := map[string][]byte{}
	for _, a := range s.registry.attachments() {
		row, known := rows[a.site]
		data := frames[row.Subject]
		if data == nil {
			own := entries[:len(entries):len(entries)]
			if known {
				own = append(own, row)
			}
			data = s.encodeEntries(own, now)
			frames[row.Subject] = data
		}
		a.enqueue(data)
	}
}

// logSummary logs what the hub knows. lagging names agents that lack the latest settings, with the reason.
func (s *Server) logSummary(now time.Time, lagging []string) {
	size, _ := s.fleetSize(now)
	s.cfg.Log.Info("hub", "agents", len(s.registry.attachments()), "all", size.Attached, "starting", size.Starting, "gone", size.Dead, "refused", s.protocolErrors.Load())
	if len(lagging) > 0 {
		s.cfg.Log.Warn("hub: agents are behind the settings", "version", s.currentSettings().Version, "agents", len(lagging), "some", lagging[:min(len(lagging), maxLogged)])
	}
}
