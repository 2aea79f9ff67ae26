package hub

import (
	"bytes"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

// firstSeq sets what agents are told apart from what hubs tell each other of the same subjects.
const firstSeq = 1 << 32

// teller writes what a hub tells its agents: facts of its own, in the form of messages between members.
type teller struct {
	seq  uint64
	last map[gossip.Kind][]byte // bodies, as last told
}

// news reports whether anything of these has changed that agents have to hear of at once, and keeps them.
func (t *teller) news(words []gossip.Fact) bool {
	last := map[gossip.Kind][]byte{}
	for _, w := range words {
		if w.Kind != gossip.Service {
			last[w.Kind] = w.Body
		}
	}
	changed := len(last) != len(t.last)
	for k, body := range last {
		changed = changed || !bytes.Equal(t.last[k], body)
	}
	t.last = last
	return changed
}

// message encodes a frame of facts, each with an age of now.
func (s *Server) message(words []gossip.Fact, now time.Time) []byte {
	m := gossip.Message{Version: gossip.Version, Sender: s.cfg.Name, Incarnation: s.cfg.Incarnation, Clock: now.Sub(s.born)}
	for _, w := range words {
		s.seq++
		w.Observer, w.Incarnation, w.Seq = s.cfg.Name, s.cfg.Incarnation, firstSeq+s.seq
		m.Facts = append(m.Facts, w)
		gossip.Trace{W: s.cfg.Trace}.Use(gossip.Use{Fact: w, Told: true, Now: w.Age})
	}
	data, err := gossip.Encode(&m)
	if err == nil {
		data, err = frame.Encode(&frame.Frame{Facts: data})
	}
	if err != nil {
		panic(err) // each body is within its bound
	}
	return data
}

// tell has every agent told, by one encoding for each site.
func (s *Server) tell(words []gossip.Fact, rows map[string]gossip.Fact, now time.Time) {
	frames := map[string][]byte{}
	for _, x := range s.roll.streams() {
		row, known := rows[x.site]
		data := frames[row.Subject]
		if data == nil {
			mine := words[:len(words):len(words)]
			if known {
				mine = append(mine, row)
			}
			data = s.message(mine, now)
			frames[row.Subject] = data
		}
		x.offer(data)
	}
}
