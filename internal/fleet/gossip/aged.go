package gossip

import (
	"slices"
	"time"
)

// TellAged takes what this process made just now of facts of which the oldest is so old: a sum is as old as the oldest of
// what it sums up.
func (s *Store) TellAged(kind Kind, subject string, body []byte, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.wake(now)
	k := key{kind, subject, s.self}
	s.seqs[k]++
	f := Fact{Kind: kind, Subject: subject, Observer: s.self, Incarnation: s.incarnation, Seq: s.seqs[k], Age: age, Body: slices.Clone(body)}
	s.put(&held{Fact: f, at: now})
	s.trace(Use{Fact: f, Told: true, Now: age})
}
