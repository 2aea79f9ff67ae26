// This file reads and writes the frames on the stream of an attached agent.

package hub

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/fleet/startup"
)

const (
	receiveTimeout = 3 * time.Second // the hub detaches an agent that sends nothing for this time
	writeTimeout   = 2 * time.Second // the hub detaches an agent if a write to it takes longer
	frameRate      = 20.0            // frames per second read from one agent
	frameBurst     = 40.0            // frames
	maxEchoDelay   = time.Minute     // the highest Echo.ProcessingDelay that package frame accepts
)

var errUnexpectedFrame = errors.New("unexpected frame")

// attachment is the stream of one attached agent. One goroutine runs readLoop, another writeLoop; both end after close.
type attachment struct {
	name, site  string
	incarnation uint64
	serial      uint64         // set by registry.attach: higher than the serial of each earlier attachment to this hub
	addr        netip.AddrPort // if it refuses a connection, the process is dead; invalid if the agent sent no valid address
	attachedAt  time.Time
	conn        net.Conn
	reader      *bufio.Reader
	pending     chan []byte // the encoded frame to write next, at most one
	done        chan struct{}
	closeOnce   sync.Once

	mu           sync.Mutex
	state        frame.State
	stateAt      time.Time // when state was received; zero before the first State
	laggingSince time.Time // when the agent began to lag behind the current settings; zero if the agent does not lag
}

// close ends the stream. Its goroutines end soon after. It may be called more than once and from any goroutine.
func (a *attachment) close() {
	a.closeOnce.Do(func() {
		close(a.done)
		a.conn.Close()
	})
}

// enqueue makes data, an encoded frame, the next frame to write. It drops a frame that is still pending, because data
// has newer versions of all its entries. Only the publishing goroutine may call enqueue: with two callers the send could
// block.
func (a *attachment) enqueue(data []byte) {
	select {
	case <-a.pending:
	default:
	}
	a.pending <- data
}

// writeLoop writes pending frames until the stream ends. Several agents share the encoding of a pending frame, so
// writeLoop first writes a separate frame with the Echo of this agent's last State and whether its quota is confirmed.
func (a *attachment) writeLoop(quotaConfirmed func() bool) {
	defer a.close()
	for {
		select {
		case <-a.done:
			return
		case data := <-a.pending:
			agentFrame, err := frame.Encode(&frame.Frame{Echo: a.echo(), QuotaConfirmed: quotaConfirmed()})
			if err != nil {
				panic(err) // cannot happen: the frame contains only numbers within their bounds
			}
			if a.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
				return
			}
			for _, buf := range [][]byte{agentFrame, data} {
				if _, err := a.conn.Write(buf); err != nil {
					return
				}
			}
		}
	}
}

// echo returns the Echo of the agent's last State, or nil before the first State.
func (a *attachment) echo() *frame.Echo {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stateAt.IsZero() {
		return nil
	}
	return &frame.Echo{Seq: a.state.Seq, ProcessingDelay: min(time.Since(a.stateAt), maxEchoDelay)}
}

// readLoop reads frames until the stream ends, and reports whether the agent sent Leave. It reads at most frameRate
// frames per second, after a burst of up to frameBurst. If an agent sends more, the excess frames stay in the socket
// buffers of that agent's connection and do not affect other agents.
func (a *attachment) readLoop(loadReports *gossip.Store) (left bool, err error) {
	tokens, refilledAt := frameBurst, time.Now()
	for {
		now := time.Now()
		tokens, refilledAt = min(frameBurst, tokens+now.Sub(refilledAt).Seconds()*frameRate), now
		if tokens < 1 {
			select {
			case <-a.done:
				return false, net.ErrClosed
			case <-time.After(time.Duration((1 - tokens) / frameRate * float64(time.Second))):
			}
			continue
		}
		tokens--
		if err := a.conn.SetReadDeadline(now.Add(receiveTimeout)); err != nil {
			return false, err
		}
		f, err := frame.Read(a.reader)
		if err != nil {
			return false, err
		}
		if f.Leave {
			return true, nil
		}
		if err := a.handleFrame(f, loadReports); err != nil {
			return false, err
		}
	}
}

// handleFrame stores a State, and merges the agent's own observations of the list service into loadReports. It returns an
// error for a frame with a Hello, Welcome, Busy or Echo, and for an invalid load report; the caller then ends the stream.
func (a *attachment) handleFrame(f *frame.Frame, loadReports *gossip.Store) error {
	if f.Hello != nil || f.Welcome != nil || f.Busy != nil || f.Echo != nil {
		return errUnexpectedFrame
	}
	if f.State != nil {
		a.mu.Lock()
		a.state, a.stateAt = *f.State, time.Now()
		a.mu.Unlock()
	}
	if len(f.Gossip) == 0 {
		return nil
	}
	m, err := gossip.DecodeMessage(f.Gossip)
	if err != nil {
		return fmt.Errorf("decode load report: %w", err)
	}
	if m.Sender != a.name {
		return fmt.Errorf("%w: load report of %q", errUnexpectedFrame, m.Sender)
	}
	own := m.Entries[:0]
	for _, entry := range m.Entries { // keep only the agent's own observations; a later version may send other kinds
		if entry.Kind == gossip.ListServiceLoad && entry.Observer == a.name && entry.Subject == startup.Subject {
			own = append(own, entry)
		}
	}
	m.Entries = own
	data, err := gossip.EncodeMessage(m)
	if err != nil {
		return fmt.Errorf("encode load report: %w", err)
	}
	return loadReports.Merge(data)
}

// status returns the agent's last State, or the zero value before the first State.
func (a *attachment) status() frame.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// updateLagging compares the agent's settings with the current version. It returns the time at which the agent began to
// lag behind the current settings, or the zero time if the agent does not lag.
func (a *attachment) updateLagging(current documents.AppliedVersion, now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if hasApplied(current, a.state.Settings) {
		a.laggingSince = time.Time{}
	} else if a.laggingSince.IsZero() {
		a.laggingSince = now
	}
	return a.laggingSince
}
