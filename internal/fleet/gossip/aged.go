package gossip

import (
	"slices"
	"time"
)

// PublishAged takes what this process made just now of facts of which the oldest is so old: a sum is as old as the oldest of
// what it sums up.
func (s *Store) PublishAged(kind Kind, subject string, body []byte, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.active(now)
	k := entryKey{kind, subject, s.self}
	s.lastSeq[k]++
	entry := Entry{Kind: kind, Subject: subject, Observer: s.self, Incarnation: s.incarnation, Seq: s.lastSeq[k], Age: age, Body: slices.Clone(body)}
	s.put(&storedEntry{Entry: entry, storedAt: now})
	s.trace(Use{Entry: entry, Published: true, AgeAtUse: age})
}
