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

// resetAfterSuspend forgets all that was known before a stop, as a hub that starts anew: its agents have gone elsewhere, and what lies
// in their streams is old.
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

// publishToHubs tells the other hubs what this one's agents come to.
func (s *Server) publishToHubs() {
	store := s.fleet.Gossip()
	store.Publish(gossip.FleetSize, s.cfg.Name, s.localSize().MarshalBody())
	for _, sum := range startup.Aggregate(s.loadReports.Entries(gossip.ListServiceLoad)) {
		store.PublishAged(gossip.ListServiceLoad, "agents "+sum.Subject, sum.Body, sum.Age)
	}
}

// sharedEntries is what all agents are told alike.
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

// latencyRows are what is known of round trips from each site that agents are of.
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

// firstAgentSeq sets what agents are told apart from what hubs tell each other of the same subjects.
const firstAgentSeq = 1 << 32

// publisher writes what a hub tells its agents: facts of its own, in the form of messages between members.
type publisher struct {
	seq        uint64
	lastBodies map[gossip.Kind][]byte // bodies, as last told
}

// changed reports whether anything of these has changed that agents have to hear of at once, and keeps them.
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

func (s *Server) logSummary(now time.Time, lagging []string) {
	size, _ := s.fleetSize(now)
	s.cfg.Log.Info("hub", "agents", len(s.registry.attachments()), "all", size.Attached, "starting", size.Starting, "gone", size.Dead, "refused", s.protocolErrors.Load())
	if len(lagging) > 0 {
		s.cfg.Log.Warn("hub: agents are behind the settings", "version", s.currentSettings().Version, "agents", len(lagging), "some", lagging[:min(len(lagging), maxLogged)])
	}
}
