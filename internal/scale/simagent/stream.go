package simagent

// TCP connections of a simulated agent, with counters and faults.

import (
	"bytes"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"martenbeam/internal/fleet/hub/frame"
)

// stream counts the data on a TCP connection, and applies the network's and the agent's faults to it.
type stream struct {
	net.Conn
	wire          *wire
	zone          string       // the peer's zone
	kind          atomic.Int32 // a TrafficKind, determined by the stream's first data; -1: no data yet
	closeOnce     sync.Once
	closed        chan struct{}
	readDeadline  atomic.Pointer[time.Time] // nil: none
	writeDeadline atomic.Pointer[time.Time]
}

// Close closes the connection, and unblocks Read and Write.
func (s *stream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.Conn.Close()
}

// CloseWrite closes the sending side.
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

// waitWhileBlocked blocks while a partition or a pause stops the stream's data. It returns an error at the deadline, when
// the stream is closed, and if the agent was killed.
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
	if s.wire.ended.Load() {
		return errKilled
	}
	return nil
}

// record counts data, and determines the stream's kind from the first data.
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

// Read discards data that it has received if the stream stays blocked until the read deadline or until Close, or if the
// agent was killed.
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

// Write delays the data while the stream is blocked. It also delays a random share of writes by retransmitDelay.
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
