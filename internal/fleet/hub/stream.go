package hub

import (
	"bufio"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/fleet/startup"
)

const (
	heardWithin = 3 * time.Second // an agent that says nothing for so long is dropped
	writeWithin = 2 * time.Second // one that takes no bytes for so long, too
	frameRate   = 20.0            // frames a second that are taken from one agent
	frameBurst  = 40.0
)

var errNonsense = errors.New("a frame that makes no sense here")

// stream is an agent that is attached. Two tasks serve it: one reads, one writes.
type stream struct {
	name, site, program string
	incarnation, serial uint64
	addr                netip.AddrPort // of the agent's process, for when the stream has ended; invalid: not known
	since               time.Time
	conn                net.Conn
	r                   *bufio.Reader
	out                 chan []byte // what to write next, one at most
	over                chan struct{}
	once                sync.Once

	mu     sync.Mutex
	state  frame.State
	stated time.Time // when it came; zero: none has
	behind time.Time // the settings that it has are not the latest since then; zero: they are
}

// end closes a stream. Its tasks find out.
func (s *stream) end() {
	s.once.Do(func() {
		close(s.over)
		s.conn.Close()
	})
}

// offer has a frame written next. One that was not begun yet is given up: the newer says all.
func (s *stream) offer(data []byte) {
	select {
	case <-s.out:
	default:
	}
	s.out <- data // nobody else offers
}

// write writes what is offered until the stream is over. What is the agent's alone goes first, in a frame of its own: the
// other one is shared.
func (s *stream) write(sure func() bool) {
	defer s.end()
	for {
		select {
		case <-s.over:
			return
		case data := <-s.out:
			own, err := frame.Encode(&frame.Frame{Echo: s.echo(), Sure: sure()})
			if err != nil {
				panic(err) // it holds numbers alone
			}
			if s.conn.SetWriteDeadline(time.Now().Add(writeWithin)) != nil {
				return
			}
			for _, d := range [][]byte{own, data} {
				if _, err := s.conn.Write(d); err != nil {
					return
				}
			}
		}
	}
}

// echo answers the last State.
func (s *stream) echo() *frame.Echo {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stated.IsZero() {
		return nil
	}
	return &frame.Echo{Seq: s.state.Seq, Dwell: min(time.Since(s.stated), time.Minute)}
}

// read takes frames until the stream is over, and reports whether the agent said goodbye. Who writes more than is taken
// waits on the socket, at nobody else's cost.
func (s *stream) read(door *gossip.Store) (bye bool, err error) {
	tokens, at := frameBurst, time.Now()
	for {
		now := time.Now()
		tokens, at = min(frameBurst, tokens+now.Sub(at).Seconds()*frameRate), now
		if tokens < 1 {
			select {
			case <-s.over:
				return false, net.ErrClosed
			case <-time.After(time.Duration((1 - tokens) / frameRate * float64(time.Second))):
			}
			continue
		}
		tokens--
		if err := s.conn.SetReadDeadline(now.Add(heardWithin)); err != nil {
			return false, err
		}
		f, err := frame.Read(s.r)
		if err != nil {
			return false, err
		}
		if f.Bye {
			return true, nil
		}
		if err := s.take(f, door); err != nil {
			return false, err
		}
	}
}

func (s *stream) take(f *frame.Frame, door *gossip.Store) error {
	if f.Hello != nil || f.Welcome != nil || f.Busy != nil || f.Echo != nil {
		return errNonsense
	}
	if f.State != nil {
		s.mu.Lock()
		s.state, s.stated = *f.State, time.Now()
		s.mu.Unlock()
	}
	if len(f.Facts) == 0 {
		return nil
	}
	m, err := gossip.Decode(f.Facts)
	if err != nil {
		return err
	}
	if m.Sender != s.name {
		return errNonsense
	}
	own := m.Facts[:0]
	for _, w := range m.Facts { // nobody speaks for others, and a later program may know more kinds
		if w.Kind == gossip.Service && w.Observer == s.name && w.Subject == startup.Subject {
			own = append(own, w)
		}
	}
	m.Facts = own
	data, err := gossip.Encode(m)
	if err != nil {
		return err
	}
	return door.Hear(data)
}

// standing is how an agent stands, as last told.
type standing struct {
	frame.State
	behind time.Time
}

func (s *stream) standing() standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return standing{s.state, s.behind}
}
