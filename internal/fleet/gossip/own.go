package gossip

import "time"

// Own writes a message of what this process itself has seen, for one who passes it on; nil: there is nothing to say. What
// others told is never in it.
func (s *Store) Own() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.wake(now) {
		return nil
	}
	m := Message{Version: Version, Sender: s.self, Incarnation: s.incarnation, Clock: now.Sub(s.born)}
	for kind, shelf := range s.facts {
		for _, h := range shelf.list {
			if age := h.age(now); h.Observer == s.self && age <= s.bounds[kind] && len(m.Facts) < maxFacts {
				f := h.Fact
				f.Age = age
				m.Facts = append(m.Facts, f)
			}
		}
	}
	if len(m.Facts) == 0 {
		return nil
	}
	data, err := Encode(&m)
	if err != nil {
		panic(err) // it holds numbers and bytes alone
	}
	return data
}
