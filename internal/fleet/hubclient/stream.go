package hubclient

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

const (
	openWithin  = 2 * time.Second
	silence     = 2500 * time.Millisecond // of a hub, after which it counts as failed: it tells each second
	stateEvery  = time.Second
	writeWithin = 2 * time.Second
	byeWithin   = 500 * time.Millisecond
	slowFrom    = time.Second     // a way of the hub's messages that is too long ...
	slowMost    = 3               // ... so many times in a row
	unheardMost = 4 * time.Second // since the last state that the hub echoed was written
	echoes      = 8               // states that are out at once
)

var (
	errHome    = errors.New("the agent's own hub is back")
	errSlow    = errors.New("its messages take too long")
	errUnheard = errors.New("it does not hear this agent")
)

// busyError says that a hub is busy, and when to come again.
type busyError struct{ after time.Duration }

func (e *busyError) Error() string { return fmt.Sprintf("it is busy for %v", e.after) }

// halfCloser is a connection that can be closed one way.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// stream is an agent's stream to one hub: one task reads it, one writes it.
type stream struct {
	s      *Spoke
	hub    Hub
	name   string // the hub's own
	conn   halfCloser
	r      *bufio.Reader
	opened time.Time // Hello was written then: whatever comes was written later
	ctx    context.Context
	end    context.CancelCauseFunc
	done   chan struct{} // closed when its tasks have ended
	late   int           // messages in a row that took too long

	mu     sync.Mutex
	seq    uint32
	sent   [echoes]time.Time // when the last states were written, by number
	echoed time.Time         // when the last state that came back was written; zero: none has
}

// open has a hub take this agent. ctx ends it at any time.
func (s *Spoke) open(ctx context.Context, h Hub) (*stream, error) {
	within, cancel := context.WithTimeout(ctx, openWithin)
	defer cancel()
	conn, err := s.dial(within, "tcp", h.Addr)
	if err != nil {
		return nil, err
	}
	x := &stream{s: s, hub: h, conn: conn.(halfCloser), r: bufio.NewReader(conn), done: make(chan struct{})}
	stop := context.AfterFunc(within, func() { conn.Close() })
	if err = x.greet(); !stop() {
		err = cmp.Or(err, within.Err())
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	x.ctx, x.end = context.WithCancelCause(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { x.end(x.read()) })
	tasks.Go(func() { x.end(x.write()) })
	context.AfterFunc(x.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // closed already if it fails
	go func() { tasks.Wait(); close(x.done) }()
	return x, nil
}

// greet says who this agent is.
func (x *stream) greet() error {
	req, err := http.NewRequest(http.MethodGet, "http://"+x.hub.Addr+frame.Path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", frame.Protocol)
	if err := req.Write(x.conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(x.r, req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	c := &x.s.cfg
	x.opened = time.Now()
	hello := frame.Hello{Label: c.Label, Name: c.Name, Incarnation: x.s.incarnation, Site: c.Site, Addr: cmp.Or(c.Advertise, x.s.door.address()), Program: c.Version}
	if err := x.put(&frame.Frame{Hello: &hello}); err != nil {
		return err
	}
	f, err := frame.Read(x.r)
	switch {
	case err != nil:
		return err
	case f.Busy != nil:
		return &busyError{f.Busy.After}
	case f.Welcome == nil:
		return errors.New("it does not say who it is")
	}
	x.name = f.Welcome.Hub
	return nil
}

func (x *stream) put(f *frame.Frame) error {
	data, err := frame.Encode(f)
	if err != nil {
		return err
	}
	_, err = x.conn.Write(data)
	return err
}

// read takes what the hub tells until the stream ends.
func (x *stream) read() error {
	for {
		_ = x.conn.SetReadDeadline(time.Now().Add(silence)) // closed already if it fails
		if x.ctx.Err() != nil {                             // it may have ended before the deadline was set
			return x.ctx.Err()
		}
		f, err := frame.Read(x.r)
		if err != nil {
			return err
		}
		if err := x.take(f, time.Now()); err != nil {
			return err
		}
		x.s.nudge()
	}
}

// take takes a word of the hub.
func (x *stream) take(f *frame.Frame, now time.Time) error {
	if f.Echo != nil {
		x.heardBack(f.Echo, now)
	}
	if f.Sure {
		x.s.sure.Store(true)
	}
	x.mu.Lock()
	echoed := x.echoed
	x.mu.Unlock()
	if !echoed.IsZero() && now.Sub(echoed) > unheardMost {
		return errUnheard
	}
	if len(f.Facts) == 0 {
		return nil
	}
	if echoed.IsZero() { // no round trip is known yet, and what came can't be older than the stream
		x.s.facts.Trip(x.name, now.Sub(x.opened))
	}
	way, err := x.s.facts.HearWay(f.Facts)
	if err != nil {
		x.s.cfg.Log.Debug("a message of the hub makes no sense", "hub", x.name, "error", err)
	}
	if x.late++; echoed.IsZero() || way <= slowFrom {
		x.late = 0
	}
	if x.late >= slowMost {
		return errSlow
	}
	return nil
}

// heardBack takes that the hub has heard a state, and how long it kept that.
func (x *stream) heardBack(e *frame.Echo, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e.Seq == 0 || e.Seq > x.seq || x.seq-e.Seq >= echoes {
		return
	}
	at := x.sent[e.Seq%echoes]
	if trip := now.Sub(at) - e.Dwell; trip >= 0 {
		x.echoed = at
		x.s.facts.Trip(x.name, trip)
	}
}

// write tells how this agent stands, and what it saw, each second and when that changes, until the stream ends.
func (x *stream) write() error {
	tick := time.NewTicker(gossip.TickEvery)
	defer tick.Stop()
	var last state
	var at time.Time
	for {
		if st := x.s.state(); st != last || time.Since(at) >= stateEvery {
			last, at = st, time.Now()
			if err := x.tell(st); err != nil {
				return err
			}
		}
		select {
		case <-x.ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (x *stream) tell(st state) error {
	now := time.Now()
	_ = x.conn.SetWriteDeadline(now.Add(writeWithin)) // closed already if it fails
	x.mu.Lock()
	x.seq++
	x.sent[x.seq%echoes] = now
	f := &frame.Frame{State: &frame.State{Seq: x.seq, Serving: st.serving, Settings: st.settings, Policy: st.policy}, Facts: x.s.facts.Own()}
	x.mu.Unlock()
	return x.put(f)
}

// bye tells that this agent ends for good, once the stream's tasks have. What the hub still wrote is read: unread it would
// make the close a reset, and the goodbye could be lost.
func (x *stream) bye() {
	_ = x.conn.SetDeadline(time.Now().Add(byeWithin)) // closed already if it fails
	if x.put(&frame.Frame{Bye: true}) == nil && x.conn.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, x.r)
	}
	x.conn.Close()
}
