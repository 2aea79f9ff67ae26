// This file publishes aggregates over this hub's agents to the other hubs, and aggregates over all hubs to this hub's
// agents.

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
	suspendThreshold = time.Second // a longer time between two ticks shows that the process was suspended
	summaryInterval  = 10 * time.Second
	maxLogged        = 20 // lagging agents named in a log line
)

// publishLoop publishes to the agents and to the other hubs every second until ctx ends. When an entry that agents must
// receive immediately has changed, publishLoop publishes to the agents at the next tick.
func (s *Server) publishLoop(ctx context.Context) {
	tick := time.NewTicker(gossip.TickInterval)
	defer tick.Stop()
	pub := publisher{name: s.cfg.Name, incarnation: s.cfg.Incarnation, startedAt: s.startedAt, trace: gossip.Trace{W: s.cfg.Trace}}
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
		if pub.changed(entries) || due {
			s.publishToAgents(&pub, entries, s.latencyRows(), now)
		}
		if now.Sub(summarizedAt) >= summaryInterval {
			summarizedAt = now
			s.logSummary(now, lagging)
		}
	}
}

// resetAfterSuspend closes all streams and clears the registry and the evidence after a suspension of the process. By then
// the agents may have moved to other hubs, and the frames in their streams are out of date.
func (s *Server) resetAfterSuspend(now time.Time) {
	for _, a := range s.registry.clear() {
		a.close()
	}
	s.evidence.reset(now)
}

// publishToHubs publishes the aggregates over this hub's agents to the other hubs.
func (s *Server) publishToHubs() {
	store := s.fleet.Gossip()
	store.Publish(gossip.FleetSize, s.cfg.Name, s.localSize().MarshalBody())
	for _, sum := range startup.Aggregate(s.loadReports.Entries(gossip.ListServiceLoad)) {
		store.PublishAged(gossip.ListServiceLoad, "agents "+sum.Subject, sum.Body, sum.Age)
	}
}

// sharedEntries returns the entries that are the same for all agents: the load of the list service, the fleet size, and
// the versions of this hub's documents. It omits settings without a version, and a policy that no source has confirmed
// within the age bound of gossip.ResidencyVersion.
func (s *Server) sharedEntries(now time.Time) []gossip.Entry {
	entries := startup.Aggregate(s.fleet.Gossip().Entries(gossip.ListServiceLoad))
	size, age := s.fleetSize(now)
	entries = append(entries, gossip.Entry{Kind: gossip.FleetSize, Subject: FleetSubject, Age: age, Body: size.MarshalBody()})
	if document := s.cfg.Settings; document != nil {
		if applied := document.Applied(); applied.Version > 0 {
			entries = append(entries, gossip.Entry{Kind: document.GossipKind, Subject: document.Subject, Body: applied.MarshalBody()})
		}
	}
	if document := s.cfg.Policy; document != nil {
		if age, ok := s.cfg.PolicyAge(); ok && age <= s.cfg.AgeBounds[gossip.ResidencyVersion] {
			body := document.Applied().MarshalBody()
			entries = append(entries, gossip.Entry{Kind: document.GossipKind, Subject: document.Subject, Age: age, Body: body})
		}
	}
	return entries
}

// latencyRows returns the latency row of each zone with attached agents, by zone.
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

// publishToAgents sends each agent the shared entries and the latency row of its zone. Agents with the same row share
// one encoding.
func (s *Server) publishToAgents(pub *publisher, entries []gossip.Entry, rows map[string]gossip.Entry, now time.Time) {
	frames := map[string][]byte{} // by the row's zone; "" for agents without a row
	for _, a := range s.registry.attachments() {
		row, known := rows[a.site]
		data := frames[row.Subject]
		if data == nil {
			agentEntries := entries[:len(entries):len(entries)]
			if known {
				agentEntries = append(agentEntries, row)
			}
			data = pub.encode(agentEntries, now)
			frames[row.Subject] = data
		}
		a.enqueue(data)
	}
}

// logSummary logs the numbers of agents and of protocol errors. lagging lists the agents that lag behind the current
// settings, each with the reason.
func (s *Server) logSummary(now time.Time, lagging []string) {
	size, _ := s.fleetSize(now)
	s.cfg.Log.Info("hub summary", "agents", len(s.registry.attachments()), "all", size.Attached, "starting", size.Starting,
		"gone", size.Dead, "refused", s.protocolErrors.Load())
	if len(lagging) > 0 {
		s.cfg.Log.Warn("agents lag behind the current settings", "version", s.currentSettings().Version, "agents", len(lagging),
			"some", lagging[:min(len(lagging), maxLogged)])
	}
}

// firstAgentSeq is the base of the sequence numbers of entries to agents. The base separates these numbers from the
// sequence numbers of the entries with the same subjects that this process publishes to the other hubs.
const firstAgentSeq = 1 << 32

// publisher encodes the entries that a hub publishes to its agents. It is not safe for concurrent use.
type publisher struct {
	name        string
	incarnation uint64
	startedAt   time.Time // origin of the clock in each message
	trace       gossip.Trace
	seq         uint64
	lastBodies  map[gossip.Kind][]byte // at the last call of changed
}

// changed reports whether entries differ from the last call's entries in a kind that agents must receive immediately: any
// kind except the load of the list service, which can wait for the next interval.
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

// encode returns an encoded frame with entries, marked as observations of this hub. The entries have their ages at now.
func (p *publisher) encode(entries []gossip.Entry, now time.Time) []byte {
	message := gossip.Message{Version: gossip.Version, Sender: p.name, Incarnation: p.incarnation, Clock: now.Sub(p.startedAt)}
	for _, entry := range entries {
		p.seq++
		entry.Observer, entry.Incarnation, entry.Seq = p.name, p.incarnation, firstAgentSeq+p.seq
		message.Entries = append(message.Entries, entry)
		p.trace.Use(gossip.Use{Entry: entry, Published: true, AgeAtUse: entry.Age})
	}
	data, err := gossip.EncodeMessage(&message)
	if err == nil {
		data, err = frame.Encode(&frame.Frame{Gossip: data})
	}
	if err != nil {
		panic(err) // cannot happen: the entries are bounded to far less than the maximum size of a frame
	}
	return data
}
