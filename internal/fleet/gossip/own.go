package gossip

import "time"

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
