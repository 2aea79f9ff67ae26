package simagent

// A simulated agent's TCP connections: counted, delayed and blocked by faults.

import (
	"bytes"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"martenbeam/internal/fleet/hub/frame"
)

// stream counts what passes a connection. Its first bytes tell what it is about.
type stream struct {
	net.Conn
	wire          *wire
	zone          string // the other side's
	kind          atomic.Int32
	closeOnce     sync.Once
	closed        chan struct{}
	readDeadline  atomic.Pointer[time.Time] // deadlines
	writeDeadline atomic.Pointer[time.Time]
}

func (s *stream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.Conn.Close()
}

// CloseWrite says that no more is written.
func (s *stream) CloseWrite() error { return s.Conn.(*net.TCPConn).CloseWrite() }

func (s *stream) SetDeadline(t time.Time) error {
	s.readDeadline.Store(&t)
	s.writeDeadline.Store(&t)
	return s.Conn.SetDeadline(t)
}

func (s *stream) SetReadDeadline(t time.Time) error {
	s.readDeadline.Store(&t)
	return s.Conn.SetReadDeadline(t)
}

func (s *stream) SetWriteDeadline(t time.Time) error {
	s.writeDeadline.Store(&t)
	return s.Conn.SetWriteDeadline(t)
}

// waitWhileBlocked waits while a cut or a pause holds what is on its way.
func (s *stream) waitWhileBlocked(deadline *atomic.Pointer[time.Time]) error {
	for s.wire.paused.Load() || s.wire.net.partitioned(s.wire.zone, s.zone) {
		if t := deadline.Load(); t != nil && !t.IsZero() && time.Now().After(*t) {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-s.closed:
			return net.ErrClosed
		case <-time.After(faultPollInterval):
		}
	}
	if s.wire.dead.Load() {
		return errKilled
	}
	return nil
}

func (s *stream) record(data []byte, out bool) {
	if len(data) == 0 {
		return
	}
	if s.kind.Load() < 0 {
		kind := Membership
		switch {
		case bytes.HasPrefix(data, []byte("GET /residency")):
			kind = Policies
		case bytes.HasPrefix(data, []byte("GET "+frame.Path+" ")):
			kind = HubStream
		case bytes.HasPrefix(data, []byte("GET /settings/")):
			kind = SettingsDocuments
		case bytes.HasPrefix(data, []byte("GET ")):
			kind = Lists
		}
		s.kind.Store(int32(kind))
	}
	s.wire.count(TrafficKind(s.kind.Load()), len(data), out)
}

func (s *stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		if blocked := s.waitWhileBlocked(&s.readDeadline); blocked != nil {
			return 0, blocked
		}
		s.record(p[:n], false)
	}
	return n, err
}

func (s *stream) Write(p []byte) (int, error) {
	if s.wire.net.drops() {
		select {
		case <-s.closed:
		case <-time.After(retransmitDelay):
		}
	}
	if err := s.waitWhileBlocked(&s.writeDeadline); err != nil {
		return 0, err
	}
	n, err := s.Conn.Write(p)
	s.record(p[:n], true)
	return n, err
}
