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
	Service   Kind = 1 + iota // the load of the list service, as one who called it saw it
	Distance                  // round trips from a site to the others
	Residency                 // the version of the residency policy that its source holds
	Gone                      // processes whose machine refuses connections: dead for certain
	Settings                  // the version of the agents' settings that a hub holds
	Census                    // how many agents a hub, or all hubs, know of: there, starting, dead for certain
)

var kindNames = map[Kind]string{Service: "service", Distance: "distance", Residency: "residency", Gone: "gone", Settings: "settings", Census: "census"}

func (k Kind) String() string {
	return cmp.Or(kindNames[k], "kind "+strconv.Itoa(int(k)))
}

// Bounds is how old a fact of each kind may be when it is used. A kind that is not named is never used.
type Bounds map[Kind]time.Duration

// DefaultBounds are long enough for a fact that is told anew every second to be missed twice on its way.
var DefaultBounds = Bounds{
	// A service that was overrun is asked again a little later at the latest; older words would hold everyone back.
	Service: 5 * time.Second,
	// Rows are told each second. A link that has changed has to show within 3 s.
	Distance: 3 * time.Second,
	// The policy's own bound goes before this one; it says how long a version may take to get round.
	Residency: 10 * time.Second,
	// Told each second while it holds. Whoever starts again may have its part back that much later.
	Gone: 3 * time.Second,
	// Told each second. A version never goes back, so an old word does no harm; it only says less.
	Settings: 10 * time.Second,
	// Told each second. It carries how many are gone, and so has the bound of that.
	Census: 3 * time.Second,
}

const (
	// TickEvery is how often Tick is due. A process that did not get to it for stoppedAfter was stopped, or starved:
	// what it holds may be older than it looks to others, and what lies in its sockets is.
	TickEvery    = 100 * time.Millisecond
	stoppedAfter = time.Second
	deafFor      = 500 * time.Millisecond // until its sockets are drained
	// Nothing is said before something was heard, or so long: where all were late at once, each would wait for the others.
	muteFor     = 3 * time.Second
	mostHeld    = 20000 // facts: about 4 MB
	sendsFactor = 3     // a fact is passed on so many times the log of the fleet's size
	fewMembers  = 10    // below, as among hubs, a site has one observer, and nobody else tells of its way
)

type key struct {
	kind              Kind
	subject, observer string
}

type held struct {
	Fact
	at    time.Time // when its age was that of Fact
	sends int
	gone  bool // a later one has its place, or it went past its bound
}

// shelf holds the facts of one kind, by subject and observer.
type shelf struct {
	list    []*held
	changes uint64
	until   time.Time // none goes past its bound before
}

func (h *held) place(subject, observer string) int {
	return cmp.Or(cmp.Compare(h.Subject, subject), cmp.Compare(h.Observer, observer))
}

func (s *shelf) find(subject, observer string) (int, bool) {
	return slices.BinarySearchFunc(s.list, key{0, subject, observer}, func(h *held, k key) int { return h.place(k.subject, k.observer) })
}

// Use is one use of a fact, as told to a trace.
type Use struct {
	Fact
	Told bool          // by this process, rather than used
	Now  time.Duration // its age then
}

// Store holds facts. Its methods may be called from any task.
type Store struct {
	self        string
	incarnation uint64
	bounds      Bounds
	trace       func(Use)

	mu      sync.Mutex
	born    time.Time
	ticked  time.Time
	deaf    time.Time // nothing is heard and nothing said before it
	mute    time.Time // nothing is said before it, unless something is heard
	facts   map[Kind]*shelf
	held    int     // on all shelves
	due     []*held // that may have to be passed on
	seqs    map[key]uint64
	transit transit
	stops   int
	bad     int
	ages    map[Kind]*hdrhistogram.Histogram // ms, at use
	refused map[Kind]int                     // too old to use, or to take in
}

// New returns an empty store of the process that self and incarnation name. trace, which may be nil, is told of each
// use, and of each fact of this process's own with age 0.
func New(self string, incarnation uint64, bounds Bounds, trace func(Use)) *Store {
	now := time.Now()
	if trace == nil {
		trace = func(Use) {}
	}
	return &Store{self: self, incarnation: incarnation, bounds: bounds, trace: trace, born: now, ticked: now,
		facts: map[Kind]*shelf{}, seqs: map[key]uint64{}, transit: transit{from: map[string]*offset{}, trips: map[string]time.Duration{}},
		ages: map[Kind]*hdrhistogram.Histogram{}, refused: map[Kind]int{}}
}

// Trip takes a round trip to another member that was measured.
func (s *Store) Trip(member string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.transit.trips[member]; known || len(s.transit.trips) < mostSender {
		s.transit.trips[member] = d
	}
}

// Tick is called each TickEvery: that it was not tells of a stop.
func (s *Store) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.wake(now)
	s.ticked = now
	for kind, shelf := range s.facts {
		if now.Before(shelf.until) {
			continue
		}
		before, next := len(shelf.list), now.Add(maxAge)
		shelf.list = slices.DeleteFunc(shelf.list, func(h *held) bool {
			h.gone = h.age(now) > s.bounds[kind]
			if end := h.end(s.bounds); !h.gone && end.Before(next) {
				next = end
			}
			return h.gone
		})
		shelf.until = next
		if n := before - len(shelf.list); n > 0 {
			s.held -= n
			shelf.changes++
		}
	}
}

// end is when it goes past its bound.
func (h *held) end(b Bounds) time.Time { return h.at.Add(b[h.Kind] - h.Age) }

func (s *Store) shelf(kind Kind) *shelf {
	if s.facts[kind] == nil {
		s.facts[kind] = &shelf{}
	}
	return s.facts[kind]
}

// put has a fact take the place of an older one, whose meaning it shares if it says the same. The lock is held.
func (s *Store) put(h *held) {
	shelf := s.shelf(h.Kind)
	i, known := shelf.find(h.Subject, h.Observer)
	if known && bytes.Equal(shelf.list[i].Body, h.Body) {
		h.sense = shelf.list[i].sense
	} else {
		h.sense = &sense{}
		shelf.changes++
	}
	if known {
		shelf.list[i].gone = true
		shelf.list[i] = h
	} else {
		shelf.list = slices.Insert(shelf.list, i, h)
		s.held++
	}
	if end := h.end(s.bounds); len(shelf.list) == 1 || end.Before(shelf.until) {
		shelf.until = end
	}
	if len(s.due) > 2*s.held+16 { // nobody has been there to pass them on to
		s.due = slices.DeleteFunc(s.due, func(h *held) bool { return h.gone })
	}
	s.due = append(s.due, h)
}

// Changes counts how often what the facts of a kind say has changed: one was told or heard that says something else, or
// went past its bound. until is when the next may go past it if Tick is not called before.
func (s *Store) Changes(kind Kind) (n uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(time.Now())
	shelf := s.shelf(kind)
	return shelf.changes, shelf.until
}

// wake drops everything if the process was stopped up to now, and reports whether it hears. The lock is held.
func (s *Store) wake(now time.Time) bool {
	if now.Sub(s.ticked) > stoppedAfter {
		for _, shelf := range s.facts {
			shelf.list = nil
			shelf.changes++
		}
		s.held, s.due = 0, nil
		s.stops++
		s.ticked, s.deaf, s.mute = now, now.Add(deafFor), now.Add(muteFor)
	}
	return !now.Before(s.deaf)
}

func (h *held) age(now time.Time) time.Duration { return h.Age + now.Sub(h.at) }

// Tell takes what this process itself has seen just now.
func (s *Store) Tell(kind Kind, subject string, body []byte) { s.TellAged(kind, subject, body, 0) }

// Hear takes a message that came now. What is in it of this process's own name is its own echo, or another process's
// with the same name, and is passed over.
func (s *Store) Hear(data []byte) error {
	_, err := s.HearWay(data)
	return err
}

// HearWay is Hear, and says how long the message was on its way at the most; 0: it was not heard.
func (s *Store) HearWay(data []byte) (way time.Duration, err error) {
	m, err := Decode(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.bad++
		return 0, err
	}
	if !s.wake(now) || m.Sender == s.self {
		return 0, nil
	}
	way = s.transit.way(m, now, now.Sub(s.born))
	s.mute = time.Time{}
	for _, f := range m.Facts {
		f.Age += way
		if f.Observer == s.self {
			continue
		}
		if f.Age > s.bounds[f.Kind] {
			s.refused[f.Kind]++
			continue
		}
		shelf := s.shelf(f.Kind)
		i, known := shelf.find(f.Subject, f.Observer)
		if !known && s.held >= mostHeld {
			s.refused[f.Kind]++
			continue
		}
		if known {
			// The same by another way that looks quicker stays as it is: the younger of two estimates is the one that may be wrong.
			old := shelf.list[i]
			if cmp.Or(cmp.Compare(f.Incarnation, old.Incarnation), cmp.Compare(f.Seq, old.Seq)) <= 0 {
				continue
			}
		}
		s.put(&held{Fact: f, at: now})
	}
	return way, nil
}

// Now returns the facts of a kind that may be used now, by subject and observer, each with its age.
func (s *Store) Now(kind Kind) (list []Fact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.wake(now) {
		return nil
	}
	for _, h := range s.shelf(kind).list {
		f := h.Fact
		if f.Age = h.age(now); f.Age > s.bounds[kind] {
			s.refused[kind]++
			continue
		}
		ages := s.ages[kind]
		if ages == nil {
			ages = hdrhistogram.New(1, int64(maxAge/time.Millisecond), 2)
			s.ages[kind] = ages
		}
		_ = ages.RecordValue(max(1, f.Age.Milliseconds())) // below its bound, and so within the range
		s.trace(Use{Fact: h.Fact, Now: f.Age})
		list = append(list, f)
	}
	return list
}

// Gossip writes a message of up to limit bytes for one of a fleet of so many: what was passed on least often goes
// first, and nothing more often than a few times the logarithm of the fleet's size. nil: there is nothing to say.
func (s *Store) Gossip(limit, members int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.wake(now) || now.Before(s.mute) {
		return nil
	}
	times := max(2, int(math.Ceil(math.Log10(float64(members)+1))))
	// What has been passed on often enough is not looked at again.
	s.due = slices.DeleteFunc(s.due, func(h *held) bool {
		most := sendsFactor * times
		if h.Kind == Distance && members >= fewMembers {
			most = times // it is told anew each second by several: that one is missed does no harm
		}
		return h.gone || h.sends >= most || h.age(now) > s.bounds[h.Kind]
	})
	slices.SortFunc(s.due, func(a, b *held) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.Kind, b.Kind), a.place(b.Subject, b.Observer))
	})
	m := Message{Version: Version, Sender: s.self, Incarnation: s.incarnation, Clock: now.Sub(s.born)}
	size := 40 + len(s.self) // more than what is around the facts takes
	for _, h := range s.due {
		if size += 48 + len(h.Subject) + len(h.Observer) + len(h.Body); size > limit || len(m.Facts) == maxFacts {
			break
		}
		f := h.Fact
		f.Age = h.age(now)
		m.Facts = append(m.Facts, f)
		h.sends++
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

// Stats is what a store has seen.
type Stats struct {
	Held, Stops, Malformed int
	Kinds                  map[string]KindStats
}

// KindStats is how facts of a kind were used: ages in ms.
type KindStats struct {
	Used          int64
	Refused       int
	P50, P99, Max int64
}

func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Held: s.held, Stops: s.stops, Malformed: s.bad, Kinds: map[string]KindStats{}}
	for _, k := range slices.Sorted(maps.Keys(s.bounds)) {
		ks := KindStats{Refused: s.refused[k]}
		if h := s.ages[k]; h != nil {
			ks.Used, ks.P50, ks.P99, ks.Max = h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max()
		}
		st.Kinds[k.String()] = ks
	}
	return st
}

func (k KindStats) String() string {
	return fmt.Sprintf("used %d, refused %d, age ms p50 %d p99 %d max %d", k.Used, k.Refused, k.P50, k.P99, k.Max)
}
