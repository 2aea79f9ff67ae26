package gossip

import "time"

// transit tells how long messages were on the way at the most: what the quickest of their sender may have taken, which
// is no more than a round trip to it, and what each took beyond that one. No clocks are compared, only how far apart two
// of them are, which can't change but by drift. A message that lay in a queue, or in the buffer of a process that was
// stopped, shows by that.
type transit struct {
	senders map[string]*clockOffset
	rtts    map[string]time.Duration // round trips, the latest measured
}

type clockOffset struct {
	incarnation                     uint64
	min, previousMin                time.Duration // of this span and the one before it
	windowStartedAt, lastReceivedAt time.Time
	hasPrevious                     bool // before holds
}

const (
	driftWindow = time.Minute // clocks drift by less than 10 ms in it
	maxSenders  = 4096
	defaultRTT  = 250 * time.Millisecond // to a sender to which none was measured, at least
)

// rtt is a round trip to a sender; where none was measured, the longest to anyone.
func (t *transit) rtt(sender string) time.Duration {
	if d, measured := t.rtts[sender]; measured {
		return d
	}
	longest := defaultRTT
	for _, d := range t.rtts {
		longest = max(longest, d)
	}
	return longest
}

// maxTransit is the time that a message took at the most: a round trip, and what it took beyond the quickest of its sender's last
// one to two minutes.
func (t *transit) maxTransit(m *Message, now time.Time, local time.Duration) time.Duration {
	offset := local - m.Clock
	o := t.senders[m.Sender]
	if o == nil || o.incarnation != m.Incarnation {
		if len(t.senders) >= maxSenders {
			t.evict()
		}
		t.senders[m.Sender] = &clockOffset{incarnation: m.Incarnation, min: offset, windowStartedAt: now, lastReceivedAt: now}
		return t.rtt(m.Sender)
	}
	o.lastReceivedAt = now
	if now.Sub(o.windowStartedAt) > driftWindow {
		o.previousMin, o.hasPrevious = o.min, now.Sub(o.windowStartedAt) < 2*driftWindow
		o.min, o.windowStartedAt = offset, now
	}
	o.min = min(o.min, offset)
	minOffset := o.min
	if o.hasPrevious {
		minOffset = min(minOffset, o.previousMin)
	}
	return offset - minOffset + t.rtt(m.Sender)
}

// evict forgets the sender that was silent longest.
func (t *transit) evict() {
	oldest := ""
	for name, o := range t.senders {
		if oldest == "" || o.lastReceivedAt.Before(t.senders[oldest].lastReceivedAt) {
			oldest = name
		}
	}
	delete(t.senders, oldest)
	delete(t.rtts, oldest)
}
