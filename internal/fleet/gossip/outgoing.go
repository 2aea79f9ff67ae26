package gossip

// This file selects the entries that go into outgoing messages.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// NextMessage encodes a message of at most limit bytes for any one member of a fleet of the given size, or returns nil if
// there is nothing to send, or if sending is paused after a stop. Entries that were sent least often go first. Each
// entry is sent at most a few times the logarithm of the fleet's size, which is enough for it to reach nearly all members.
func (s *Store) NextMessage(limit, members int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.checkActive(now) || now.Before(s.sendPausedUntil) {
		return nil
	}
	logSize := max(2, int(math.Ceil(math.Log10(float64(members)+1))))
	// Entries that were sent often enough are removed from the list, so that later calls do not check them again.
	s.outgoing = slices.DeleteFunc(s.outgoing, func(e *storedEntry) bool {
		maxSends := sendsFactor * logSize
		if e.Kind == LatencyRow && members >= smallFleetSize {
			maxSends = logSize // several observers publish rows every second, which makes up for a lost row
		}
		return e.removed || e.sends >= maxSends || e.age(now) > s.bounds[e.Kind]
	})
	slices.SortFunc(s.outgoing, func(a, b *storedEntry) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.Kind, b.Kind), a.compareKey(b.Subject, b.Observer))
	})
	m := Message{Version: Version, Sender: s.self, Incarnation: s.incarnation, Clock: now.Sub(s.startedAt)}
	size := 40 + len(s.self) // an upper bound of the size of the message's envelope
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
		panic(err) // a message consists of numbers, strings and bytes, which always encode
	}
	return data
}

// OwnMessage encodes a message of the entries that this process itself published and that are within their age bound, or
// returns nil if there are none. An agent sends this message to its hub; entries of other processes came from the hub and
// must not go back. OwnMessage does not count as a send of the entries.
func (s *Store) OwnMessage() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.checkActive(now) {
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
		panic(err) // a message consists of numbers, strings and bytes, which always encode
	}
	return data
}
