package hub

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	mostNames = 4096             // of each list below
	heardFor  = 30 * time.Second // that an agent is at another hub: a move is over by then
	lookFirst = time.Second      // between two looks at whether a lost agent's process is dead
	lookMost  = 10 * time.Second // the same, where nothing came of many
	// For so long after an agent has come another hub may still tell that it has it, from before it came.
	crossing = postWithin + 2*postEvery
)

// roll is which agents are where, by name: attached here, heard of at another hub, or lost. A name is in one of the first
// two and lost at no time. Processes of one name are told apart by their incarnation: a later one replaces an earlier.
type roll struct {
	mu        sync.Mutex
	attached  map[string]*stream
	lost      map[string]*loss
	elsewhere map[string]notice
	serial    uint64 // counts who was attached here
}

// notice is that another hub has an agent.
type notice struct {
	incarnation uint64
	at          time.Time
}

// tells reports whether a notice says that who is attached here has gone there: that its process is there and not merely was, or
// a later one.
func (e notice) tells(s *stream) bool {
	return e.incarnation > s.incarnation || e.incarnation == s.incarnation && e.at.Sub(s.since) >= crossing
}

// loss is an agent whose stream ended here, and of which no hub has told since.
type loss struct {
	name        string
	incarnation uint64
	addr        netip.AddrPort
	since       time.Time
	seen        time.Time // when its process was dead for certain, as last found out; zero: never
	next        time.Time // look
	wait        time.Duration
	last        standing
}

func newRoll() *roll {
	return &roll{attached: map[string]*stream{}, lost: map[string]*loss{}, elsewhere: map[string]notice{}}
}

// attach takes a stream in, unless a later process of the name is known, and returns the one that it replaces.
func (r *roll) attach(s *stream, now time.Time) (old *stream, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old = r.attached[s.name]
	if old == nil && len(r.attached) >= mostNames || old != nil && old.incarnation > s.incarnation {
		return nil, false
	}
	if e, there := r.elsewhere[s.name]; there && e.incarnation > s.incarnation && now.Sub(e.at) < heardFor {
		return nil, false
	}
	r.serial++
	s.serial = r.serial
	r.attached[s.name] = s
	delete(r.lost, s.name)
	delete(r.elsewhere, s.name)
	return old, true
}

// ended takes that a stream is over. Who is not heard of at another hub is lost; a goodbye is as good as a look.
func (r *roll) ended(s *stream, bye bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attached[s.name] != s {
		return // replaced
	}
	delete(r.attached, s.name)
	if e, there := r.elsewhere[s.name]; there && e.tells(s) && now.Sub(e.at) < heardFor {
		return
	}
	delete(r.elsewhere, s.name)
	if len(r.lost) >= mostNames || !s.addr.IsValid() {
		return // it keeps its part
	}
	l := &loss{name: s.name, incarnation: s.incarnation, addr: s.addr, since: now, next: now, wait: lookFirst, last: s.standing()}
	if bye {
		l.seen = now
	}
	r.lost[s.name] = l
}

// heard takes that another hub has a process of a name. It returns the stream here that the other's replaces, or the later
// incarnation here, before which the other has to go; 0: none.
func (r *roll) heard(name string, incarnation uint64, now time.Time) (replaced *stream, later uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.attached[name]
	if s != nil && s.incarnation > incarnation {
		return nil, s.incarnation
	}
	if e, there := r.elsewhere[name]; !there && len(r.elsewhere) >= mostNames || there && e.incarnation > incarnation && now.Sub(e.at) < heardFor {
		return nil, 0
	}
	r.elsewhere[name] = notice{incarnation, now}
	if l := r.lost[name]; l != nil && l.incarnation <= incarnation {
		delete(r.lost, name)
	}
	if s != nil && s.incarnation < incarnation {
		delete(r.attached, name)
		return s, 0
	}
	return nil, 0
}

// forget drops the notices that are old.
func (r *roll) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.elsewhere, func(_ string, e notice) bool { return now.Sub(e.at) >= heardFor })
}

// present reports whether an agent is here, or was heard of at another hub no longer ago than this.
func (r *roll) present(name string, within time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, there := r.elsewhere[name]
	return r.attached[name] != nil || there && now.Sub(e.at) <= within
}

// streams are those who are here.
func (r *roll) streams() []*stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.attached))
}

// due are up to so many of the lost at whom it is time to look.
func (r *roll) due(most int, now time.Time) (list []*loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lost {
		if len(list) < most && !now.Before(l.next) {
			list = append(list, l)
		}
	}
	return list
}

// looked takes what a look at a lost one came to that began at a time.
func (r *roll) looked(l *loss, dead bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dead {
		l.seen, l.wait = at, lookFirst
	} else {
		l.wait = min(2*l.wait, lookMost)
	}
	l.next = at.Add(l.wait)
}

// certain are the lost that were dead for certain no longer ago than this, by name, each with when.
func (r *roll) certain(within time.Duration, now time.Time) (list []loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lost {
		if !l.seen.IsZero() && now.Sub(l.seen) <= within {
			list = append(list, *l)
		}
	}
	slices.SortFunc(list, func(a, b loss) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// clear forgets everything, and returns the streams that were here.
func (r *roll) clear() (list []*stream) {
	list = r.streams()
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.attached)
	clear(r.lost)
	clear(r.elsewhere)
	return list
}

// silent are the lost that were not found dead.
func (r *roll) silent() (list []loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lost {
		if l.seen.IsZero() {
			list = append(list, *l)
		}
	}
	return list
}
