// An attachment to a hub: the handshake, and the two goroutines that read and write its stream.

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
	attachTimeout    = 2 * time.Second         // for the connection and the handshake together
	hubTimeout       = 2500 * time.Millisecond // time without a frame after which a hub counts as failed; hubs send a frame each second
	stateInterval    = time.Second             // between states, unless the state changes
	writeTimeout     = 2 * time.Second         // for one state
	leaveTimeout     = 500 * time.Millisecond  // for the Leave frame and the end of the hub's stream
	slowTransit      = time.Second             // a message is slow if it may have been in transit for longer than this
	maxSlowMessages  = 3                       // consecutive slow messages after which a hub counts as failed
	maxEchoAge       = 4 * time.Second         // a hub counts as failed if the last state that it echoed was written longer ago than this
	maxTrackedStates = 8                       // number of states whose write times are kept; echoes of older states are ignored
)

var (
	errMovedToPreferredHub = errors.New("agent moved to its preferred hub")
	errHubSlow             = errors.New("hub messages repeatedly exceeded the transit time limit")
	errNoEcho              = errors.New("hub stopped echoing the agent's states")
)

// busyError reports that a hub does not accept the agent now and asks the agent to retry after retryAfter.
type busyError struct{ retryAfter time.Duration }

func (e *busyError) Error() string { return fmt.Sprintf("hub is busy, retry after %v", e.retryAfter) }

// halfCloser is a connection whose write side can be closed separately.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// attachment is an agent's stream to one hub. readLoop and writeLoop serve the stream until either fails, ctx ends or
// cancel is called; context.Cause(ctx) is the reason. maintainAttachment owns the attachment, waits for done and closes
// conn.
type attachment struct {
	client       *Client
	hub          Hub
	hubName      string // from the hub's Welcome
	conn         halfCloser
	reader       *bufio.Reader
	helloSentAt  time.Time // every message received on the stream was sent later
	ctx          context.Context
	cancel       context.CancelCauseFunc
	done         chan struct{} // closed when readLoop and writeLoop have ended
	slowMessages int           // number of consecutive slow messages; only readLoop uses it

	mu                sync.Mutex
	seq               uint32                      // sequence number of the last state written
	sentAt            [maxTrackedStates]time.Time // when the last states were written, by seq modulo maxTrackedStates
	echoedStateSentAt time.Time                   // when the last echoed state was written; zero: no state was echoed yet
}

// openAttachment attaches to a hub and starts the goroutines of the attachment, which end with ctx. The error wraps a
// *busyError if the hub asks the agent to retry later.
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
		return nil, fmt.Errorf("attach to hub at %s: %w", hub.Addr, err)
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { a.cancel(a.readLoop()) })
	tasks.Go(func() { a.cancel(a.writeLoop()) })
	context.AfterFunc(a.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // unblocks both loops; fails only on a closed connection
	go func() { tasks.Wait(); close(a.done) }()
	return a, nil
}

// handshake upgrades the connection, sends this agent's Hello and waits for the hub's Welcome. It returns a *busyError
// if the hub asks the agent to retry later.
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
		return fmt.Errorf("upgrade refused with status %d", resp.StatusCode)
	}
	cfg := &a.client.cfg
	a.helloSentAt = time.Now()
	hello := frame.Hello{Label: cfg.Label, Name: cfg.Name, Incarnation: a.client.incarnation, Site: cfg.Site,
		Addr: cmp.Or(cfg.Advertise, a.client.listener.address()), ProgramVersion: cfg.Version}
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
		return errors.New("hub sent neither welcome nor busy")
	}
	a.hubName = reply.Welcome.Hub
	return nil
}

// writeFrame encodes and writes a frame. The caller sets the write deadline. Calls must not overlap.
func (a *attachment) writeFrame(f *frame.Frame) error {
	data, err := frame.Encode(f)
	if err != nil {
		return err
	}
	_, err = a.conn.Write(data)
	return err
}

// readLoop applies the hub's frames until the attachment ends, and returns the reason.
func (a *attachment) readLoop() error {
	for {
		_ = a.conn.SetReadDeadline(time.Now().Add(hubTimeout)) // fails only on a closed connection
		if a.ctx.Err() != nil {                                // the attachment has ended: the line above may have replaced the deadline that ends reads
			return a.ctx.Err()
		}
		f, err := frame.Read(a.reader)
		if err != nil {
			return fmt.Errorf("read from hub: %w", err)
		}
		if err := a.handleFrame(f, time.Now()); err != nil {
			return err
		}
		a.client.requestRecompute()
	}
}

// handleFrame applies one frame from the hub. It returns an error, which ends the attachment, if the hub has stopped
// echoing this agent's states or if the hub's messages are repeatedly slow. It logs and skips malformed gossip.
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
	if echoedStateSentAt.IsZero() { // no RTT sample yet: the time since the Hello bounds the message's age
		a.client.store.ObserveRTT(a.hubName, now.Sub(a.helloSentAt))
	}
	transit, err := a.client.store.MergeTimed(f.Gossip)
	if err != nil {
		a.client.cfg.Log.Debug("hub message rejected", "hub", a.hubName, "error", err)
	}
	if a.slowMessages++; echoedStateSentAt.IsZero() || transit <= slowTransit {
		a.slowMessages = 0
	}
	if a.slowMessages >= maxSlowMessages {
		return errHubSlow
	}
	return nil
}

// handleEcho records the round-trip time of a state that the hub echoed, less the hub's processing delay. It ignores an
// echo if this agent did not write the state, if the state is older than the last maxTrackedStates, or if the result is
// negative.
func (a *attachment) handleEcho(echo *frame.Echo, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if echo.Seq == 0 || echo.Seq > a.seq || a.seq-echo.Seq >= maxTrackedStates {
		return
	}
	sentAt := a.sentAt[echo.Seq%maxTrackedStates]
	if rtt := now.Sub(sentAt) - echo.ProcessingDelay; rtt >= 0 {
		a.echoedStateSentAt = sentAt
		a.client.store.ObserveRTT(a.hubName, rtt)
	}
}

// writeLoop sends this agent's state every stateInterval, and within gossip.TickInterval of a change, until the
// attachment ends.
func (a *attachment) writeLoop() error {
	tick := time.NewTicker(gossip.TickInterval)
	defer tick.Stop()
	var last agentState
	var sentAt time.Time
	for {
		if current := a.client.currentState(); current != last || time.Since(sentAt) >= stateInterval {
			last, sentAt = current, time.Now()
			if err := a.sendState(current); err != nil {
				return fmt.Errorf("send state to hub: %w", err)
			}
		}
		select {
		case <-a.ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// sendState sends a state and this agent's own gossip entries.
func (a *attachment) sendState(current agentState) error {
	now := time.Now()
	_ = a.conn.SetWriteDeadline(now.Add(writeTimeout)) // fails only on a closed connection
	a.mu.Lock()
	a.seq++
	a.sentAt[a.seq%maxTrackedStates] = now
	f := &frame.Frame{State: &frame.State{Seq: a.seq, Serving: current.serving, Settings: current.settings, Policy: current.policy},
		Gossip: a.client.store.OwnMessage()}
	a.mu.Unlock()
	return a.writeFrame(f)
}

// leave sends the hub a Leave frame and closes the connection. The caller must wait for done first. leave reads all
// bytes that the hub still sends: closing a connection with unread bytes resets it, and the hub might then lose the
// Leave frame.
func (a *attachment) leave() {
	_ = a.conn.SetDeadline(time.Now().Add(leaveTimeout)) // fails only on a closed connection
	if a.writeFrame(&frame.Frame{Leave: true}) == nil && a.conn.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, a.reader)
	}
	a.conn.Close()
}
