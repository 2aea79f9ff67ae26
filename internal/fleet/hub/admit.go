package hub

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"martenbeam/internal/fleet/hub/frame"
)

const (
	pathHub     = frame.Path
	helloWithin = 2 * time.Second
	mostWait    = 10 * time.Second
	// LabelHeader may name the fleet that an agent belongs to before it says Hello: another fleet's is told so by a status.
	LabelHeader = "Martenbeam-Label"
)

// admission says how many agents are taken in at a time, and keeps the connections of those who have not said Hello.
type admission struct {
	rate float64

	mu     sync.Mutex
	tokens float64
	at     time.Time
	queued time.Time // when those who were sent away will have come again
	early  map[net.Conn]bool
}

// admit reports whether an agent is taken in now, and else when it had better come again: those who are sent away come one
// after the other.
func (a *admission) admit(now time.Time) (after time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens, a.at = min(max(1, a.rate/10), a.tokens+now.Sub(a.at).Seconds()*a.rate), now
	if a.tokens >= 1 {
		a.tokens--
		return 0, true
	}
	if a.queued.Before(now) {
		a.queued = now
	}
	a.queued = a.queued.Add(time.Duration(float64(time.Second) / a.rate))
	after = 100*time.Millisecond + time.Duration((1+rand.Float64()/2)*float64(a.queued.Sub(now)))
	return min(after, mostWait), false
}

// waits takes a connection that has not said who it is, or forgets it.
func (a *admission) waits(c net.Conn, on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.early == nil {
		a.early = map[net.Conn]bool{}
	}
	if delete(a.early, c); on {
		a.early[c] = true
	}
}

func (a *admission) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.early {
		c.Close()
	}
}

// upgrade takes an agent's stream.
func (s *Server) upgrade(w http.ResponseWriter, q *http.Request) {
	switch label := q.Header.Get(LabelHeader); {
	case q.Method != http.MethodGet || q.Header.Get("Upgrade") != frame.Protocol:
		w.Header().Set("Upgrade", frame.Protocol)
		http.Error(w, "agents attach here by "+frame.Protocol, http.StatusUpgradeRequired)
		return
	case label != "" && label != s.cfg.Label:
		http.Error(w, "this hub is of another fleet", http.StatusForbidden)
		return
	}
	if n := s.open.Add(1); int(n) > s.cfg.Most+mostBesides {
		s.open.Add(-1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many streams", http.StatusServiceUnavailable)
		return
	}
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.open.Add(-1)
		http.Error(w, "no stream can be had of this connection", http.StatusInternalServerError)
		return
	}
	s.served.Lock()
	defer s.served.Unlock()
	if !s.ready.Load() {
		s.open.Add(-1)
		conn.Close()
		return
	}
	s.waits(conn, true)
	s.tasks.Go(func() {
		defer s.open.Add(-1)
		defer conn.Close()
		s.serve(conn, rw.Reader)
	})
}

const switching = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + frame.Protocol + "\r\n\r\n"

// serve is a stream's reading task, from its first byte on.
func (s *Server) serve(conn net.Conn, r *bufio.Reader) {
	x, err := s.hello(conn, r)
	s.waits(conn, false)
	if err != nil {
		s.refused(conn, err)
		return
	}
	old, ok := s.roll.attach(x, time.Now())
	if !ok {
		s.cfg.Log.Warn("hub: a later process of this name is known, or there are too many names", "agent", x.name)
		return
	}
	if old != nil {
		old.end()
	}
	if !s.ready.Load() { // it ended meanwhile, and has closed those that it knew of
		x.end()
	}
	s.tasks.Go(func() { x.write(func() bool { return s.sure(x) }) })
	bye, err := x.read(s.door)
	x.end()
	s.roll.ended(x, bye, time.Now())
	s.refused(conn, err)
}

// refused counts a stream that ended by what makes no sense.
func (s *Server) refused(conn net.Conn, err error) {
	var net net.Error
	if err == nil || errors.Is(err, io.EOF) || errors.As(err, &net) || errors.Is(err, errBusy) {
		return
	}
	s.bad.Add(1)
	s.cfg.Log.Debug("hub: a stream ends", "from", conn.RemoteAddr(), "error", err)
}

var (
	errBusy  = errors.New("busy")
	errLabel = errors.New("an agent of another fleet")
	errFirst = errors.New("a stream that does not begin with a hello")
)

// hello upgrades a connection, hears who it is and welcomes it.
func (s *Server) hello(conn net.Conn, r *bufio.Reader) (*stream, error) {
	if err := conn.SetDeadline(time.Now().Add(helloWithin)); err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte(switching)); err != nil {
		return nil, err
	}
	f, err := frame.Read(r)
	if err != nil {
		return nil, err
	}
	h := f.Hello
	if h == nil {
		return nil, errFirst
	}
	if h.Label != s.cfg.Label {
		s.cfg.Log.Warn("hub: an agent of another fleet", "agent", h.Name, "label", h.Label)
		return nil, errLabel
	}
	now := time.Now()
	if after, ok := s.admit(now); !ok {
		return nil, errors.Join(errBusy, send(conn, &frame.Frame{Busy: &frame.Busy{After: after}}))
	}
	x := &stream{name: h.Name, site: h.Site, program: h.Program, incarnation: h.Incarnation, since: now, conn: conn, r: r, out: make(chan []byte, 1), over: make(chan struct{})}
	x.addr, _ = netip.ParseAddrPort(h.Addr) // without one nobody can find it dead: it keeps its part
	return x, send(conn, &frame.Frame{Welcome: &frame.Welcome{Hub: s.cfg.Name, Incarnation: s.cfg.Incarnation, Program: s.cfg.Program}})
}

func send(conn net.Conn, f *frame.Frame) error {
	data, err := frame.Encode(f)
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}

// sure reports whether nobody uses an agent's part but itself: who counts it as dead would have told by now. Every hub has
// told something since it came, this one included, and of nobody's words that may still be used any named it.
func (s *Server) sure(x *stream) bool {
	now := time.Now()
	if now.Sub(x.since) < sureAfter || s.awakeFor(now) <= s.gone() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, named := s.named[x.name]
	return s.told.After(x.since) && !named
}

const sureAfter = time.Second
