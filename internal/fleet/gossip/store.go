// Package gossip keeps what the processes of a fleet know together: facts, each with its observer and its age.
//
// An age is a sum of monotonic spans: the observer's since it saw, each keeper's since it heard, and what each message
// took on the way at the most (transit.go). No wall clock is read. Nothing is used past its bound, and a
// process that was stopped drops what it held.
package gossip

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is what a fact is about.
type Kind uint8

const (
	ListServiceLoad  Kind = 1 + iota // the load of the list service, as one who called it saw it
	LatencyRow                       // round trips from a site to the others
	ResidencyVersion                 // the version of the residency policy that its source holds
	DeadProcesses                    // processes whose machine refuses connections: dead for certain
	SettingsVersion                  // the version of the agents' settings that a hub holds
	FleetSize                        // how many agents a hub, or all hubs, know of: there, starting, dead for certain
)

var kindNames = map[Kind]string{ListServiceLoad: "service", LatencyRow: "distance", ResidencyVersion: "residency", DeadProcesses: "gone", SettingsVersion: "settings", FleetSize: "census"}

func (k Kind) String() string {
	return cmp.Or(kindNames[k], "kind "+strconv.Itoa(int(k)))
}

// AgeBounds is how old a fact of each kind may be when it is used. A kind that is not named is never used.
type AgeBounds map[Kind]time.Duration

// DefaultAgeBounds are long enough for a fact that is told anew every second to be missed twice on its way.
var DefaultAgeBounds = AgeBounds{
	// A service that was overrun is asked again a little later at the latest; older words would hold everyone back.
	ListServiceLoad: 5 * time.Second,
	// Rows are told each second. A link that has changed has to show within 3 s.
	LatencyRow: 3 * time.Second,
	// The policy's own bound goes before this one; it says how long a version may take to get round.
	ResidencyVersion: 10 * time.Second,
	// Told each second while it holds. Whoever starts again may have its part back that much later.
	DeadProcesses: 3 * time.Second,
	// Told each second. A version never goes back, so an old word does no harm; it only says less.
	SettingsVersion: 10 * time.Second,
	// Told each second. It carries how many are gone, and so has the bound of that.
	FleetSize: 3 * time.Second,
}

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

type entryKey struct {
	kind              Kind
	subject, observer string
}

type storedEntry struct {
	Entry
	storedAt time.Time // when its age was that of Fact
	sends    int
	removed  bool // a later one has its place, or it went past its bound
}

// entrySet holds the facts of one kind, by subject and observer.
type entrySet struct {
	entries    []*storedEntry
	changes    uint64
	nextExpiry time.Time // none goes past its bound before
}

func (e *storedEntry) compareKey(subject, observer string) int {
	return cmp.Or(cmp.Compare(e.Subject, subject), cmp.Compare(e.Observer, observer))
}

func (s *entrySet) find(subject, observer string) (int, bool) {
	return slices.BinarySearchFunc(s.entries, entryKey{0, subject, observer}, func(e *storedEntry, k entryKey) int { return e.compareKey(k.subject, k.observer) })
}

// Use is one use of a fact, as told to a trace.
type Use struct {
	Entry
	Published bool          // by this process, rather than used
	AgeAtUse  time.Duration // its age then
}

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

// expiresAt is when it goes past its bound.
func (e *storedEntry) expiresAt(bounds AgeBounds) time.Time {
	return e.storedAt.Add(bounds[e.Kind] - e.Age)
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

func (e *storedEntry) age(now time.Time) time.Duration { return e.Age + now.Sub(e.storedAt) }

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

// Stats is what a store has seen.
type Stats struct {
	Entries, Stops, Malformed int
	Kinds                     map[string]KindStats
}

// KindStats is how facts of a kind were used: ages in ms.
type KindStats struct {
	Used          int64
	Rejected      int
	P50, P99, Max int64
}

func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Entries: s.size, Stops: s.stops, Malformed: s.malformed, Kinds: map[string]KindStats{}}
	for _, k := range slices.Sorted(maps.Keys(s.bounds)) {
		ks := KindStats{Rejected: s.rejected[k]}
		if h := s.useAges[k]; h != nil {
			ks.Used, ks.P50, ks.P99, ks.Max = h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max()
		}
		st.Kinds[k.String()] = ks
	}
	return st
}

func (k KindStats) String() string {
	return fmt.Sprintf("used %d, refused %d, age ms p50 %d p99 %d max %d", k.Used, k.Rejected, k.P50, k.P99, k.Max)
}
