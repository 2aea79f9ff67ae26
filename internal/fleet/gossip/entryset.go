package gossip

import (
	"cmp"
	"slices"
	"time"
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

func (e *storedEntry) compareKey(subject, observer string) int {
	return cmp.Or(cmp.Compare(e.Subject, subject), cmp.Compare(e.Observer, observer))
}

func (e *storedEntry) age(now time.Time) time.Duration { return e.Age + now.Sub(e.storedAt) }

// expiresAt is when it goes past its bound.
func (e *storedEntry) expiresAt(bounds AgeBounds) time.Time {
	return e.storedAt.Add(bounds[e.Kind] - e.Age)
}

// entrySet holds the facts of one kind, by subject and observer.
type entrySet struct {
	entries    []*storedEntry
	changes    uint64
	nextExpiry time.Time // none goes past its bound before
}

func (s *entrySet) find(subject, observer string) (int, bool) {
	return slices.BinarySearchFunc(s.entries, entryKey{0, subject, observer}, func(e *storedEntry, k entryKey) int { return e.compareKey(k.subject, k.observer) })
}
