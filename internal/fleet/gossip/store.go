// Package gossip stores observations that the processes of a fleet share by gossip. Each observation is an entry with its
// observer and its age.
//
// Each process owns one Store. The store contains the entries that this process published or received. One lock protects it,
// and any goroutine may use it; the package starts no goroutines. The owner calls Tick every TickInterval, passes received
// messages to Merge and sends what NextMessage returns.
//
// An age is the sum of time spans on monotonic clocks: in the observer's store since the observation, in each store on the
// way, and an upper bound of each message's time in transit (transit.go). Wall clocks are not read. Entries returns an entry
// only while its age is within the bound of its kind (AgeBounds). A process that was stopped drops its entries, because
// their ages and the messages in its socket buffers are uncertain.
package gossip

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"martenbeam/internal/bootclock"
)

// TickInterval is the interval at which Tick has to be called.
const TickInterval = 100 * time.Millisecond

const (
	// A process that did not call Tick for longer than this is treated as stopped; it may also have had no processor time.
	stopThreshold = time.Second
	// After a stop messages are ignored for this long, until the socket buffers are drained.
	resumeDelay = 500 * time.Millisecond
	// After a stop nothing is sent until a message was received, but for at most this time: if all processes were stopped at
	// once, each would otherwise wait for the others indefinitely.
	maxSendPause = 3 * time.Second

	maxEntries     = 20000 // about 4 MB
	sendsFactor    = 3     // an entry is sent at most this many times the logarithm of the fleet's size
	smallFleetSize = 10    // in fleets below this size, as among hubs, a site may have only one observer of its latency
)

// Store holds the entries that one process published or received. Its methods may be called from any goroutine.
type Store struct {
	self        string // name of this process
	incarnation uint64
	bounds      AgeBounds
	trace       func(Use) // called with the lock held

	mu              sync.Mutex // protects all below
	startedAt       time.Time
	lastTick        time.Time
	resumesAt       time.Time // until then messages are ignored and none are sent
	sendPausedUntil time.Time // until then nothing is sent, unless a message is received
	sets            map[Kind]*entrySet
	size            int            // number of entries in all sets
	outgoing        []*storedEntry // entries that may have to be sent again; removed ones may be among them
	lastSeq         map[entryKey]uint64
	transit         transit
	stops           int                              // see Stats
	malformed       int                              // see Stats
	useAges         map[Kind]*hdrhistogram.Histogram // ages at use, in ms
	rejected        map[Kind]int                     // see KindStats
}

// New returns an empty store for the process with the given name and incarnation. It keeps bounds, which must not change
// afterwards. trace, which may be nil, is called for each entry that is used or published. It is called with the store's
// lock held, and so must not call the store.
func New(self string, incarnation uint64, bounds AgeBounds, trace func(Use)) *Store {
	now := time.Now()
	if trace == nil {
		trace = func(Use) {}
	}
	return &Store{self: self, incarnation: incarnation, bounds: bounds, trace: trace, startedAt: now, lastTick: now,
		sets: map[Kind]*entrySet{}, lastSeq: map[entryKey]uint64{},
		transit: transit{senders: map[string]*clockOffset{}, rtts: map[string]time.Duration{}},
		useAges: map[Kind]*hdrhistogram.Histogram{}, rejected: map[Kind]int{}}
}

// ObserveRTT records a measured round trip to another member, from which the transit times of its messages are bounded.
func (s *Store) ObserveRTT(member string, rtt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.transit.rtts[member]; known || len(s.transit.rtts) < maxSenders {
		s.transit.rtts[member] = rtt
	}
}

// Tick removes expired entries. It has to be called every TickInterval. After a pause of more than stopThreshold the store
// treats the process as stopped.
func (s *Store) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.checkActive(now)
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

// set returns the entries of a kind. The caller holds the lock.
func (s *Store) set(kind Kind) *entrySet {
	if s.sets[kind] == nil {
		s.sets[kind] = &entrySet{}
	}
	return s.sets[kind]
}

// put inserts an entry or replaces an older one. If the bodies are equal it keeps the decoded body, so that readers do not
// decode it again. The caller holds the lock.
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
	if len(s.outgoing) > 2*s.size+16 { // no message was requested for a long time, for example because there are no other members
		s.outgoing = slices.DeleteFunc(s.outgoing, func(e *storedEntry) bool { return e.removed })
	}
	s.outgoing = append(s.outgoing, e)
}

// Changes returns how often the content of a kind has changed: an entry with a new body was stored, or entries expired or
// were dropped after a stop. Values derived from the bodies stay valid while n is unchanged. No entry that is stored now
// expires before until.
func (s *Store) Changes(kind Kind) (n uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkActive(time.Now())
	set := s.set(kind)
	return set.changes, set.nextExpiry
}

// checkActive drops all entries if the process was stopped until now. It reports whether messages may be received and entries
// used, which is false within resumeDelay after a stop. The caller holds the lock.
func (s *Store) checkActive(now time.Time) bool {
	if now.Sub(s.lastTick) > stopThreshold {
		for _, set := range s.sets {
			set.entries = nil
			set.changes++
		}
		s.size, s.outgoing = 0, nil
		s.stops++
		s.lastTick, s.resumesAt, s.sendPausedUntil = now, now.Add(resumeDelay), now.Add(maxSendPause)
	}
	return !now.Before(s.resumesAt)
}

// Publish stores an observation that this process made just now, and queues it for sending to others. It copies body.
func (s *Store) Publish(kind Kind, subject string, body []byte) {
	s.PublishAged(kind, subject, body, 0)
}

// Merge stores the entries of a message that was received now, and queues them for sending to others. It ignores entries
// with this process's name as observer: they were published here, or come from another process with the same name. It
// returns an error if the message is malformed. It drops entries that are too old or exceed the store's capacity, and counts
// them in Stats.
func (s *Store) Merge(data []byte) error {
	_, err := s.MergeTimed(data)
	return err
}

// MergeTimed is like Merge and also returns an upper bound of the message's time in transit, or 0 if the message was ignored
// because this process was stopped or is its sender.
func (s *Store) MergeTimed(data []byte) (transit time.Duration, err error) {
	m, err := DecodeMessage(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.malformed++
		return 0, err
	}
	if !s.checkActive(now) || m.Sender == s.self {
		return 0, nil
	}
	transit = s.transit.maxTransit(m, now, now.Sub(s.startedAt))
	s.sendPausedUntil = time.Time{}
	for _, entry := range m.Entries {
		entry.Age += transit
		if entry.Observer != s.self {
			s.mergeEntry(entry, now)
		}
	}
	return transit, nil
}

// mergeEntry stores an entry from a message, unless the entry is too old, the same or a later entry is stored already, or
// the store is full. The caller holds the lock.
func (s *Store) mergeEntry(entry Entry, now time.Time) {
	if entry.Age > s.bounds[entry.Kind] {
		s.rejected[entry.Kind]++
		return
	}
	set := s.set(entry.Kind)
	i, known := set.find(entry.Subject, entry.Observer)
	if !known && s.size >= maxEntries {
		s.rejected[entry.Kind]++
		return
	}
	if known {
		// If the same entry arrives again with a lower age, the stored one stays: of two age estimates the lower one is
		// more likely to be wrong.
		old := set.entries[i]
		if cmp.Or(cmp.Compare(entry.Incarnation, old.Incarnation), cmp.Compare(entry.Seq, old.Seq)) <= 0 {
			return
		}
	}
	s.put(&storedEntry{Entry: entry, storedAt: now})
}

// Entries returns the entries of a kind that are within their age bound, sorted by subject and observer, each with its
// present age. Each one counts as used, in the statistics and in the trace. Bodies are shared and must not be changed. For
// resumeDelay after a stop Entries returns nil, also if the process was stopped in the course of the call.
func (s *Store) Entries(kind Kind) (list []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, now := bootclock.SinceBoot(), time.Now()
	if !s.checkActive(now) {
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
		_ = ages.RecordValue(max(1, entry.Age.Milliseconds())) // cannot fail: the age is below its bound and so within the range
		s.trace(Use{Entry: stored.Entry, AgeAtUse: entry.Age, At: at})
		list = append(list, entry)
	}
	if !s.checkActive(time.Now()) {
		return nil
	}
	return list
}

// PublishAged is like Publish for an entry that was derived from other entries. age is the age of the oldest of them.
func (s *Store) PublishAged(kind Kind, subject string, body []byte, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.checkActive(now)
	k := entryKey{kind, subject, s.self}
	s.lastSeq[k]++
	entry := Entry{Kind: kind, Subject: subject, Observer: s.self, Incarnation: s.incarnation, Seq: s.lastSeq[k], Age: age,
		Body: slices.Clone(body)}
	s.put(&storedEntry{Entry: entry, storedAt: now})
	s.trace(Use{Entry: entry, Published: true, AgeAtUse: age})
}
