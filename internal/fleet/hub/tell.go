package hub

import (
	"bytes"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

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
