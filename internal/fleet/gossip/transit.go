package gossip

// This file computes upper bounds of the transit times of messages.

import "time"

// transit computes upper bounds of transit times. The offset between the monotonic clocks of sender and receiver is unknown,
// but it changes only by drift. So the local time minus the sender's clock is smallest for the fastest message, which
// takes at most a round trip. The bound for any message is the round trip plus the time that the message took longer than the
// fastest. This bound includes time that a message waited in a queue, or in the socket buffer of a process that was stopped.
//
// It is part of a Store and protected by the Store's lock.
type transit struct {
	senders map[string]*clockOffset
	rtts    map[string]time.Duration // latest measured round trip, by member
}

// clockOffset records the smallest difference between the local clock and a sender's.
type clockOffset struct {
	incarnation      uint64        // of the sender's process; a restarted process has another clock
	min, previousMin time.Duration // in the current and in the previous window
	windowStartedAt  time.Time
	lastReceivedAt   time.Time
	hasPrevious      bool // previousMin is valid
}

const (
	driftWindow = time.Minute            // two clocks drift apart by less than 10 ms in this time
	maxSenders  = 4096                   // greatest number of senders and of round trips that are recorded
	defaultRTT  = 250 * time.Millisecond // smallest round trip assumed for a sender to which none was measured
)

// rtt returns the round trip to a sender. If none was measured it is the longest to any member, and at least defaultRTT.
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

// maxTransit returns an upper bound of the time that a message was in transit: a round trip, plus the time that it took
// longer than the fastest message from this sender in the last one to two windows. local is the receiver's monotonic time
// since its start.
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

// evict removes the sender from which nothing was received for the longest time.
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
