package fact

import "time"

// transit tells how long messages were on the way, beyond the quickest of their sender: no clocks are compared, only
// how far apart two of them are, which can't change but by drift. A message that lay in a queue, or in the buffer of a
// process that was stopped, shows by that.
type transit struct {
	from map[string]*offset
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
)

// way is the time that a message took beyond the quickest of its sender's last one to two minutes. That of the first
// message of a process is not known and counts as none.
func (t *transit) way(m *Message, now time.Time, local time.Duration) time.Duration {
	apart := local - m.Clock
	o := t.from[m.Sender]
	if o == nil || o.incarnation != m.Incarnation {
		if len(t.from) >= mostSender {
			t.evict()
		}
		t.from[m.Sender] = &offset{incarnation: m.Incarnation, least: apart, began: now, touched: now}
		return 0
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
	return apart - least
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
}
