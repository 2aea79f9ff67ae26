package requestids

// This file implements a table of ids as the words of its entries.

import (
	"encoding/binary"
	"time"
)

const (
	buckets     = 2048
	bucketSlots = 8
	wordBytes   = 8
	bucketBytes = bucketSlots * wordBytes
	tableBytes  = buckets * bucketBytes

	timeBits = 16 // of an entry: when it was made, in whole seconds since boot; the other bits are the tag of an id
	timeMask = 1<<timeBits - 1
)

// retention is how long an entry is valid, in whole seconds: far longer than any request or its execution.
const retention = 60

// key is where the entry of an id is, and what it holds besides its time.
type key struct {
	bucket int
	tag    uint64
}

func keyOf(hash uint64) key { return key{int(hash % buckets), hash &^ timeMask} }

// bucket holds the entries of the ids with the same key.bucket; 0: none.
type bucket [bucketSlots]uint64

// entry returns the entry of a key that is made at a time since boot.
func entry(k key, now time.Duration) uint64 {
	return k.tag | uint64(now/time.Second)&timeMask
}

// age returns the age of an entry in seconds.
func age(word uint64, now time.Duration) uint64 {
	return (uint64(now/time.Second) - word) & timeMask
}

// find returns the slot with a valid entry of a tag; below 0: none.
func (b *bucket) find(tag uint64, now time.Duration) int {
	for slot, word := range b {
		if word != 0 && word&^timeMask == tag && age(word, now) <= retention {
			return slot
		}
	}
	return -1
}

// freeSlot returns the slot for a new entry: an empty one, or else that of the oldest entry.
func (b *bucket) freeSlot(now time.Duration) int {
	oldest := 0
	for slot, word := range b {
		if word == 0 {
			return slot
		}
		if age(word, now) > age(b[oldest], now) {
			oldest = slot
		}
	}
	return oldest
}

// encode returns the bucket's form in a file.
func (b *bucket) encode() []byte {
	raw := make([]byte, 0, bucketBytes)
	for _, word := range b {
		raw = binary.LittleEndian.AppendUint64(raw, word)
	}
	return raw
}

// decode reads a bucket from its form in a file.
func decode(raw []byte) (b bucket) {
	for slot := range b {
		b[slot] = binary.LittleEndian.Uint64(raw[slot*wordBytes:])
	}
	return b
}
