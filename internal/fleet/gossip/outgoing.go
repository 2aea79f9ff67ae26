package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// NextMessage writes a message of up to limit bytes for one of a fleet of so many: what was passed on least often goes
// first, and nothing more often than a few times the logarithm of the fleet's size. nil: there is nothing to say.
func (s *Store) NextMessage(limit, members int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.active(now) || now.Before(s.silentUntil) {
		return nil
	}
	logSize := max(2, int(math.Ceil(math.Log10(float64(members)+1))))
	// What has been passed on often enough is not looked at again.
	s.outgoing = slices.DeleteFunc(s.outgoing, func(e *storedEntry) bool {
		maxSends := sendsFactor * logSize
		if e.Kind == LatencyRow && members >= smallFleet {
			maxSends = logSize // it is told anew each second by several: that one is missed does no harm
		}
		return e.removed || e.sends >= maxSends || e.age(now) > s.bounds[e.Kind]
	})
	slices.SortFunc(s.outgoing, func(a, b *storedEntry) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.Kind, b.Kind), a.compareKey(b.Subject, b.Observer))
	})
	m := Message{Version: Version, Sender: s.self, Incarnation: s.incarnation, Clock: now.Sub(s.startedAt)}
	size := 40 + len(s.self) // more than what is around the facts takes
	for _, e := range s.outgoing {
		if size += 48 + len(e.Subject) + len(e.Observer) + len(e.Body); size > limit || len(m.Entries) == maxMessageEntries {
			break
		}
		entry := e.Entry
		entry.Age = e.age(now)
		m.Entries = append(m.Entries, entry)
		e.sends++
	}
	if len(m.Entries) == 0 {
		return nil
	}
	data, err := EncodeMessage(&m)
	if err != nil {
		panic(err) // it holds numbers and bytes alone
	}
	return data
}

// OwnMessage writes a message of what this process itself has seen, for one who passes it on; nil: there is nothing to say. What
// others told is never in it.
func (s *Store) OwnMessage() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.active(now) {
		return nil
	}
	m := Message{Version: Version, Sender: s.self, Incarnation: s.incarnation, Clock: now.Sub(s.startedAt)}
	for kind, set := range s.sets {
		for _, e := range set.entries {
			if age := e.age(now); e.Observer == s.self && age <= s.bounds[kind] && len(m.Entries) < maxMessageEntries {
				entry := e.Entry
				entry.Age = age
				m.Entries = append(m.Entries, entry)
			}
		}
	}
	if len(m.Entries) == 0 {
		return nil
	}
	data, err := EncodeMessage(&m)
	if err != nil {
		panic(err) // it holds numbers and bytes alone
	}
	return data
}
