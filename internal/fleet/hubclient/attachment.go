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
	attachTimeout     = 2 * time.Second
	hubTimeout        = 2500 * time.Millisecond // of a hub, after which it counts as failed: it tells each second
	stateInterval     = time.Second
	writeTimeout      = 2 * time.Second
	leaveTimeout      = 500 * time.Millisecond
	slowTransit       = time.Second     // a way of the hub's messages that is too long ...
	maxSlowMessages   = 3               // ... so many times in a row
	maxEchoAge        = 4 * time.Second // since the last state that the hub echoed was written
	maxStatesInFlight = 8               // states that are out at once
)

var (
	errPreferredHubBack = errors.New("the agent's own hub is back")
	errHubSlow          = errors.New("its messages take too long")
	errNoEcho           = errors.New("it does not hear this agent")
)

// busyError says that a hub is busy, and when to come again.
type busyError struct{ retryAfter time.Duration }

func (e *busyError) Error() string { return fmt.Sprintf("it is busy for %v", e.retryAfter) }

// halfCloser is a connection that can be closed one way.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// attachment is an agent's stream to one hub: one task reads it, one writes it.
type attachment struct {
	client       *Client
	hub          Hub
	hubName      string // the hub's own
	conn         halfCloser
	reader       *bufio.Reader
	helloSentAt  time.Time // Hello was written then: whatever comes was written later
	ctx          context.Context
	cancel       context.CancelCauseFunc
	done         chan struct{} // closed when its tasks have ended
	slowMessages int           // messages in a row that took too long

	mu                sync.Mutex
	seq               uint32
	sentAt            [maxStatesInFlight]time.Time // when the last states were written, by number
	echoedStateSentAt time.Time                    // when the last state that came back was written; zero: none has
}

// openAttachment has a hub take this agent. ctx ends it at any time.
func (c *Client) openAttachment(ctx context.Context, hub Hub) (*attachment, error) {
	attachCtx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	conn, err := c.dial(attachCtx, "tcp", hub.Addr)
	if err != nil {
		return nil, err
	}
	a := &attachment{client: c, hub: hub, conn: conn.(halfCloser), reader: bufio.NewReader(conn), done: make(chan struct{})}
	stop := context.AfterFunc(attachCtx, func() { conn.Close() })
	if err = a.handshake(); !stop() {
		err = cmp.Or(err, attachCtx.Err())
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { a.cancel(a.readLoop()) })
	tasks.Go(func() { a.cancel(a.writeLoop()) })
	context.AfterFunc(a.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // closed already if it fails
	go func() { tasks.Wait(); close(a.done) }()
	return a, nil
}

// handshake says who this agent is.
func (a *attachment) handshake() error {
	req, err := http.NewRequest(http.MethodGet, "http://"+a.hub.Addr+frame.Path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", frame.Protocol)
	if err := req.Write(a.conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(a.reader, req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	cfg := &a.client.cfg
	a.helloSentAt = time.Now()
	hello := frame.Hello{Label: cfg.Label, Name: cfg.Name, Incarnation: a.client.incarnation, Site: cfg.Site, Addr: cmp.Or(cfg.Advertise, a.client.listener.address()), ProgramVersion: cfg.Version}
	if err := a.writeFrame(&frame.Frame{Hello: &hello}); err != nil {
		return err
	}
	reply, err := frame.Read(a.reader)
	switch {
	case err != nil:
		return err
	case reply.Busy != nil:
		return &busyError{reply.Busy.RetryAfter}
	case reply.Welcome == nil:
		return errors.New("it does not say who it is")
	}
	a.hubName = reply.Welcome.Hub
	return nil
}

func (a *attachment) writeFrame(f *frame.Frame) error {
	data, err := frame.Encode(f)
	if err != nil {
		return err
	}
	_, err = a.conn.Write(data)
	return err
}

// readLoop takes what the hub tells until the stream ends.
func (a *attachment) readLoop() error {
	for {
		_ = a.conn.SetReadDeadline(time.Now().Add(hubTimeout)) // closed already if it fails
		if a.ctx.Err() != nil {                                // it may have ended before the deadline was set
			return a.ctx.Err()
		}
		f, err := frame.Read(a.reader)
		if err != nil {
			return err
		}
		if err := a.handleFrame(f, time.Now()); err != nil {
			return err
		}
		a.client.wake()
	}
}

// handleFrame takes a word of the hub.
func (a *attachment) handleFrame(f *frame.Frame, now time.Time) error {
	if f.Echo != nil {
		a.handleEcho(f.Echo, now)
	}
	if f.QuotaConfirmed {
		a.client.quotaConfirmed.Store(true)
	}
	a.mu.Lock()
	echoedStateSentAt := a.echoedStateSentAt
	a.mu.Unlock()
	if !echoedStateSentAt.IsZero() && now.Sub(echoedStateSentAt) > maxEchoAge {
		return errNoEcho
	}
	if len(f.Gossip) == 0 {
		return nil
	}
	if echoedStateSentAt.IsZero() { // no round trip is known yet, and what came can't be older than the stream
		a.client.store.ObserveRTT(a.hubName, now.Sub(a.helloSentAt))
	}
	transit, err := a.client.store.MergeTimed(f.Gossip)
	if err != nil {
		a.client.cfg.Log.Debug("a message of the hub makes no sense", "hub", a.hubName, "error", err)
	}
	if a.slowMessages++; echoedStateSentAt.IsZero() || transit <= slowTransit {
		a.slowMessages = 0
	}
	if a.slowMessages >= maxSlowMessages {
		return errHubSlow
	}
	return nil
}

// handleEcho takes that the hub has heard a state, and how long it kept that.
func (a *attachment) handleEcho(echo *frame.Echo, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if echo.Seq == 0 || echo.Seq > a.seq || a.seq-echo.Seq >= maxStatesInFlight {
		return
	}
	sentAt := a.sentAt[echo.Seq%maxStatesInFlight]
	if rtt := now.Sub(sentAt) - echo.HoldTime; rtt >= 0 {
		a.echoedStateSentAt = sentAt
		a.client.store.ObserveRTT(a.hubName, rtt)
	}
}

// writeLoop tells how this agent stands, and what it saw, each second and when that changes, until the stream ends.
func (a *attachment) writeLoop() error {
	tick := time.NewTicker(gossip.TickInterval)
	defer tick.Stop()
	var last agentState
	var sentAt time.Time
	for {
		if current := a.client.currentState(); current != last || time.Since(sentAt) >= stateInterval {
			last, sentAt = current, time.Now()
			if err := a.sendState(current); err != nil {
				return err
			}
		}
		select {
		case <-a.ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (a *attachment) sendState(current agentState) error {
	now := time.Now()
	_ = a.conn.SetWriteDeadline(now.Add(writeTimeout)) // closed already if it fails
	a.mu.Lock()
	a.seq++
	a.sentAt[a.seq%maxStatesInFlight] = now
	f := &frame.Frame{State: &frame.State{Seq: a.seq, Serving: current.serving, Settings: current.settings, Policy: current.policy}, Gossip: a.client.store.OwnMessage()}
	a.mu.Unlock()
	return a.writeFrame(f)
}

// leave tells that this agent ends for good, once the stream's tasks have. What the hub still wrote is read: unread it would
// make the close a reset, and the goodbye could be lost.
func (a *attachment) leave() {
	_ = a.conn.SetDeadline(time.Now().Add(leaveTimeout)) // closed already if it fails
	if a.writeFrame(&frame.Frame{Leave: true}) == nil && a.conn.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, a.reader)
	}
	a.conn.Close()
}
