package gossip

import "time"

// transit tells how long messages were on the way at the most: what the quickest of their sender may have taken, which
// is no more than a round trip to it, and what each took beyond that one. No clocks are compared, only how far apart two
// of them are, which can't change but by drift. A message that lay in a queue, or in the buffer of a process that was
// stopped, shows by that.
type transit struct {
	from  map[string]*offset
	trips map[string]time.Duration // round trips, the latest measured
}

type offset struct {
	incarnation    uint64
	least, before  time.Duration // of this span and the one before it
	began, touched time.Time
	known          bool // before holds
}

const (
	driftSpan  = time.Minute // clocks drift by less than 10 ms in it
	mostSender = 4096
	someTrip   = 250 * time.Millisecond // to a sender to which none was measured, at least
)

// trip is a round trip to a sender; where none was measured, the longest to anyone.
func (t *transit) trip(sender string) time.Duration {
	if d, measured := t.trips[sender]; measured {
		return d
	}
	longest := someTrip
	for _, d := range t.trips {
		longest = max(longest, d)
	}
	return longest
}

// way is the time that a message took at the most: a round trip, and what it took beyond the quickest of its sender's last
// one to two minutes.
func (t *transit) way(m *Message, now time.Time, local time.Duration) time.Duration {
	apart := local - m.Clock
	o := t.from[m.Sender]
	if o == nil || o.incarnation != m.Incarnation {
		if len(t.from) >= mostSender {
			t.evict()
		}
		t.from[m.Sender] = &offset{incarnation: m.Incarnation, least: apart, began: now, touched: now}
		return t.trip(m.Sender)
	}
	o.touched = now
	if now.Sub(o.began) > driftSpan {
		o.before, o.known = o.least, now.Sub(o.began) < 2*driftSpan
		o.least, o.began = apart, now
	}
	o.least = min(o.least, apart)
	least := o.least
	if o.known {
		least = min(least, o.before)
	}
	return apart - least + t.trip(m.Sender)
}

// evict forgets the sender that was silent longest.
func (t *transit) evict() {
	oldest := ""
	for name, o := range t.from {
		if oldest == "" || o.touched.Before(t.from[oldest].touched) {
			oldest = name
		}
	}
	delete(t.from, oldest)
	delete(t.trips, oldest)
}
