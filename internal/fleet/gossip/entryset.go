package gossip

// This file holds the entries of one kind, sorted by subject and observer.

import (
	"cmp"
	"slices"
	"time"
)

// entryKey identifies an entry. The observer's incarnation is not part of it: a restarted process replaces its entries.
type entryKey struct {
	kind              Kind
	subject, observer string
}

// storedEntry is an entry with what the store records about it.
type storedEntry struct {
	Entry
	storedAt time.Time // when the age of the entry was Entry.Age
	sends    int       // how many messages contained it
	removed  bool      // it was replaced or expired; the outgoing list may still point to it
}

// compareKey orders entries of one kind.
func (e *storedEntry) compareKey(subject, observer string) int {
	return cmp.Or(cmp.Compare(e.Subject, subject), cmp.Compare(e.Observer, observer))
}

func (e *storedEntry) age(now time.Time) time.Duration { return e.Age + now.Sub(e.storedAt) }

// expiresAt returns the time at which the entry reaches its age bound.
func (e *storedEntry) expiresAt(bounds AgeBounds) time.Time {
	return e.storedAt.Add(bounds[e.Kind] - e.Age)
}

// entrySet holds the entries of one kind.
type entrySet struct {
	entries    []*storedEntry // sorted by compareKey
	changes    uint64         // see Store.Changes
	nextExpiry time.Time      // no entry expires earlier
}

// find returns the position of an entry and true, or the position at which to insert the entry and false.
func (s *entrySet) find(subject, observer string) (int, bool) {
	return slices.BinarySearchFunc(s.entries, entryKey{0, subject, observer},
		func(e *storedEntry, k entryKey) int { return e.compareKey(k.subject, k.observer) })
}
