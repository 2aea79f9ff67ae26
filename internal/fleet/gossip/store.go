// Package gossip keeps what the processes of a fleet know together: facts, each with its observer and its age.
//
// An age is a sum of monotonic spans: the observer's since it saw, each keeper's since it heard, and what each message
// took on the way at the most (transit.go). No wall clock is read. Nothing is used past its bound, and a
// process that was stopped drops what it held.
package gossip

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// TickInterval is how often Tick is due. A process that did not get to it for stoppedAfter was stopped, or starved:
	// what it holds may be older than it looks to others, and what lies in its sockets is.
	TickInterval = 100 * time.Millisecond
	stoppedAfter = time.Second
	resumeDelay  = 500 * time.Millisecond // until its sockets are drained
	// Nothing is said before something was heard, or so long: where all were late at once, each would wait for the others.
	maxSilence  = 3 * time.Second
	maxEntries  = 20000 // facts: about 4 MB
	sendsFactor = 3     // a fact is passed on so many times the log of the fleet's size
	smallFleet  = 10    // below, as among hubs, a site has one observer, and nobody else tells of its way
)

// Store holds facts. Its methods may be called from any task.
type Store struct {
	self        string
	incarnation uint64
	bounds      AgeBounds
	trace       func(Use)

	mu          sync.Mutex
	startedAt   time.Time
	lastTick    time.Time
	resumesAt   time.Time // nothing is heard and nothing said before it
	silentUntil time.Time // nothing is said before it, unless something is heard
	sets        map[Kind]*entrySet
	size        int            // on all shelves
	outgoing    []*storedEntry // that may have to be passed on
	lastSeq     map[entryKey]uint64
	transit     transit
	stops       int
	malformed   int
	useAges     map[Kind]*hdrhistogram.Histogram // ms, at use
	rejected    map[Kind]int                     // too old to use, or to take in
}

// New returns an empty store of the process that self and incarnation name. trace, which may be nil, is told of each
// use, and of each fact of this process's own with age 0.
func New(self string, incarnation uint64, bounds AgeBounds, trace func(Use)) *Store {
	now := time.Now()
	if trace == nil {
		trace = func(Use) {}
	}
	return &Store{self: self, incarnation: incarnation, bounds: bounds, trace: trace, startedAt: now, lastTick: now,
		sets: map[Kind]*entrySet{}, lastSeq: map[entryKey]uint64{}, transit: transit{senders: map[string]*clockOffset{}, rtts: map[string]time.Duration{}},
		useAges: map[Kind]*hdrhistogram.Histogram{}, rejected: map[Kind]int{}}
}

// ObserveRTT takes a round trip to another member that was measured.
func (s *Store) ObserveRTT(member string, rtt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.transit.rtts[member]; known || len(s.transit.rtts) < maxSenders {
		s.transit.rtts[member] = rtt
	}
}

// Tick is called each TickInterval: that it was not tells of a stop.
func (s *Store) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.active(now)
	s.lastTick = now
	for kind, set := range s.sets {
		if now.Before(set.nextExpiry) {
			continue
		}
		sizeBefore, nextExpiry := len(set.entries), now.Add(maxAge)
		set.entries = slices.DeleteFunc(set.entries, func(e *storedEntry) bool {
			e.removed = e.age(now) > s.bounds[kind]
			if expiresAt := e.expiresAt(s.bounds); !e.removed && expiresAt.Before(nextExpiry) {
				nextExpiry = expiresAt
			}
			return e.removed
		})
		set.nextExpiry = nextExpiry
		if expired := sizeBefore - len(set.entries); expired > 0 {
			s.size -= expired
			set.changes++
		}
	}
}

func (s *Store) set(kind Kind) *entrySet {
	if s.sets[kind] == nil {
		s.sets[kind] = &entrySet{}
	}
	return s.sets[kind]
}

// put has a fact take the place of an older one, whose meaning it shares if it says the same. The lock is held.
func (s *Store) put(e *storedEntry) {
	set := s.set(e.Kind)
	i, known := set.find(e.Subject, e.Observer)
	if known && bytes.Equal(set.entries[i].Body, e.Body) {
		e.decoded = set.entries[i].decoded
	} else {
		e.decoded = &decodedBody{}
		set.changes++
	}
	if known {
		set.entries[i].removed = true
		set.entries[i] = e
	} else {
		set.entries = slices.Insert(set.entries, i, e)
		s.size++
	}
	if expiresAt := e.expiresAt(s.bounds); len(set.entries) == 1 || expiresAt.Before(set.nextExpiry) {
		set.nextExpiry = expiresAt
	}
	if len(s.outgoing) > 2*s.size+16 { // nobody has been there to pass them on to
		s.outgoing = slices.DeleteFunc(s.outgoing, func(e *storedEntry) bool { return e.removed })
	}
	s.outgoing = append(s.outgoing, e)
}

// Changes counts how often what the facts of a kind say has changed: one was told or heard that says something else, or
// went past its bound. until is when the next may go past it if Tick is not called before.
func (s *Store) Changes(kind Kind) (n uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active(time.Now())
	set := s.set(kind)
	return set.changes, set.nextExpiry
}

// active drops everything if the process was stopped up to now, and reports whether it hears. The lock is held.
func (s *Store) active(now time.Time) bool {
	if now.Sub(s.lastTick) > stoppedAfter {
		for _, set := range s.sets {
			set.entries = nil
			set.changes++
		}
		s.size, s.outgoing = 0, nil
		s.stops++
		s.lastTick, s.resumesAt, s.silentUntil = now, now.Add(resumeDelay), now.Add(maxSilence)
	}
	return !now.Before(s.resumesAt)
}

// Publish takes what this process itself has seen just now.
func (s *Store) Publish(kind Kind, subject string, body []byte) {
	s.PublishAged(kind, subject, body, 0)
}

// Merge takes a message that came now. What is in it of this process's own name is its own echo, or another process's
// with the same name, and is passed over.
func (s *Store) Merge(data []byte) error {
	_, err := s.MergeTimed(data)
	return err
}

// MergeTimed is Hear, and says how long the message was on its way at the most; 0: it was not heard.
func (s *Store) MergeTimed(data []byte) (transit time.Duration, err error) {
	m, err := DecodeMessage(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.malformed++
		return 0, err
	}
	if !s.active(now) || m.Sender == s.self {
		return 0, nil
	}
	transit = s.transit.maxTransit(m, now, now.Sub(s.startedAt))
	s.silentUntil = time.Time{}
	for _, entry := range m.Entries {
		entry.Age += transit
		if entry.Observer == s.self {
			continue
		}
		if entry.Age > s.bounds[entry.Kind] {
			s.rejected[entry.Kind]++
			continue
		}
		set := s.set(entry.Kind)
		i, known := set.find(entry.Subject, entry.Observer)
		if !known && s.size >= maxEntries {
			s.rejected[entry.Kind]++
			continue
		}
		if known {
			// The same by another way that looks quicker stays as it is: the younger of two estimates is the one that may be wrong.
			old := set.entries[i]
			if cmp.Or(cmp.Compare(entry.Incarnation, old.Incarnation), cmp.Compare(entry.Seq, old.Seq)) <= 0 {
				continue
			}
		}
		s.put(&storedEntry{Entry: entry, storedAt: now})
	}
	return transit, nil
}

// Entries returns the facts of a kind that may be used now, by subject and observer, each with its age.
func (s *Store) Entries(kind Kind) (list []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.active(now) {
		return nil
	}
	for _, stored := range s.set(kind).entries {
		entry := stored.Entry
		if entry.Age = stored.age(now); entry.Age > s.bounds[kind] {
			s.rejected[kind]++
			continue
		}
		ages := s.useAges[kind]
		if ages == nil {
			ages = hdrhistogram.New(1, int64(maxAge/time.Millisecond), 2)
			s.useAges[kind] = ages
		}
		_ = ages.RecordValue(max(1, entry.Age.Milliseconds())) // below its bound, and so within the range
		s.trace(Use{Entry: stored.Entry, AgeAtUse: entry.Age})
		list = append(list, entry)
	}
	return list
}

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
