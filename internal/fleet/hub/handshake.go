// This file accepts and serves an agent's stream, from the HTTP upgrade to the end of the attachment.

package hub

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"martenbeam/internal/fleet/hub/frame"
)

const (
	pathHub          = frame.Path
	handshakeTimeout = 2 * time.Second // from the upgrade response to Welcome or Busy
	// LabelHeader is an optional header of the upgrade request with the label of the agent's fleet. The hub rejects
	// the label of another fleet with status 403. The hub also checks the label in the Hello, with or without the header.
	LabelHeader = "Martenbeam-Label"

	switchingProtocols = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + frame.Protocol + "\r\n\r\n"
)

var (
	errBusy       = errors.New("hub is busy")
	errOtherFleet = errors.New("agent of another fleet")
	errNoHello    = errors.New("first frame of the stream is not a hello")
)

// handleUpgrade checks an upgrade request and responds with an error, or takes over the connection and starts the
// goroutine that serves the stream. If the hub stops before the goroutine starts, handleUpgrade closes the connection.
func (s *Server) handleUpgrade(w http.ResponseWriter, r *http.Request) {
	switch label := r.Header.Get(LabelHeader); {
	case r.Method != http.MethodGet || r.Header.Get("Upgrade") != frame.Protocol:
		w.Header().Set("Upgrade", frame.Protocol)
		http.Error(w, "agents attach here by "+frame.Protocol, http.StatusUpgradeRequired)
		return
	case label != "" && label != s.cfg.Label:
		http.Error(w, "this hub is of another fleet", http.StatusForbidden)
		return
	}
	if open := s.openStreams.Add(1); int(open) > s.cfg.MaxAgents+maxExtraStreams {
		s.openStreams.Add(-1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many streams", http.StatusServiceUnavailable)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.openStreams.Add(-1)
		http.Error(w, "no stream can be had of this connection", http.StatusInternalServerError)
		return
	}
	s.readyMu.Lock()
	defer s.readyMu.Unlock()
	if !s.ready.Load() {
		s.openStreams.Add(-1)
		conn.Close()
		return
	}
	s.admission.trackHandshake(conn, true)
	s.streams.Go(func() {
		defer s.openStreams.Add(-1)
		defer conn.Close()
		s.serveStream(conn, buffered.Reader)
	})
}

// serveStream runs the handshake, attaches the agent, and reads its frames until the stream ends. It runs on
// the stream's reading goroutine; the caller closes conn.
func (s *Server) serveStream(conn net.Conn, reader *bufio.Reader) {
	a, err := s.handshake(conn, reader)
	s.admission.trackHandshake(conn, false)
	if err != nil {
		s.countProtocolError(conn, err)
		return
	}
	replaced, ok := s.registry.attach(a, time.Now())
	if !ok {
		s.cfg.Log.Warn("attachment rejected: newer incarnation attached or registry full", "agent", a.name)
		return
	}
	if replaced != nil {
		replaced.close()
	}
	if !s.ready.Load() { // Run is ending, and may have emptied the registry before this attachment was added
		a.close()
	}
	s.streams.Go(func() {
		a.writeLoop(func() bool { return s.evidence.quotaConfirmed(a.name, a.attachedAt, time.Now()) })
	})
	left, err := a.readLoop(s.loadReports)
	s.countProtocolError(conn, err) // before the agent sees the end of its stream
	a.close()
	s.registry.detach(a, left, time.Now())
}

// countProtocolError counts and logs a stream that ended because the agent violated the protocol. It ignores streams
// that the agent closed, network errors, and streams that the hub rejected with Busy.
func (s *Server) countProtocolError(conn net.Conn, err error) {
	var netErr net.Error
	if err == nil || errors.Is(err, io.EOF) || errors.As(err, &netErr) || errors.Is(err, errBusy) {
		return
	}
	s.protocolErrors.Add(1)
	s.cfg.Log.Debug("agent stream failed", "from", conn.RemoteAddr(), "error", err)
}

// handshake accepts the upgrade, reads the agent's Hello and sends Welcome. If the admission rate is exceeded, it sends
// Busy and returns an error that wraps errBusy. It returns errNoHello if the first frame is not a Hello, and errOtherFleet
// for an agent of another fleet.
func (s *Server) handshake(conn net.Conn, reader *bufio.Reader) (*attachment, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte(switchingProtocols)); err != nil {
		return nil, fmt.Errorf("write upgrade response: %w", err)
	}
	f, err := frame.Read(reader)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	hello := f.Hello
	if hello == nil {
		return nil, errNoHello
	}
	if hello.Label != s.cfg.Label {
		s.cfg.Log.Warn("agent of another fleet rejected", "agent", hello.Name, "label", hello.Label)
		return nil, errOtherFleet
	}
	now := time.Now()
	if retryAfter, ok := s.admission.admit(now); !ok {
		return nil, errors.Join(errBusy, writeFrame(conn, &frame.Frame{Busy: &frame.Busy{RetryAfter: retryAfter}}))
	}
	a := &attachment{
		name: hello.Name, site: hello.Site, incarnation: hello.Incarnation,
		attachedAt: now, conn: conn, reader: reader, pending: make(chan []byte, 1), done: make(chan struct{}),
	}
	// Without a valid address the process is never confirmed dead, and no other agent uses its quota.
	a.addr, _ = netip.ParseAddrPort(hello.Addr)
	welcome := frame.Welcome{Hub: s.cfg.Name, Incarnation: s.cfg.Incarnation, ProgramVersion: s.cfg.ProgramVersion}
	return a, writeFrame(conn, &frame.Frame{Welcome: &welcome})
}

// writeFrame writes one frame, within the connection's deadline.
func writeFrame(conn net.Conn, f *frame.Frame) error {
	data, err := frame.Encode(f)
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}
