// This file serves one attached agent: its frames are read and written here.

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
	receiveTimeout = 3 * time.Second // an agent that sends nothing for so long is detached
	writeTimeout   = 2 * time.Second // as is one that takes no bytes for so long
	frameRate      = 20.0            // frames per second read from one agent
	frameBurst     = 40.0            // frames
	maxEchoDelay   = time.Minute     // in an Echo: the bound of the frame
)

var errUnexpectedFrame = errors.New("unexpected frame")

// attachment is the stream of one attached agent. One goroutine runs readLoop, another writeLoop; both end after close.
type attachment struct {
	name, site  string
	incarnation uint64
	serial      uint64         // set by registry.attach: higher than that of each earlier attachment here
	addr        netip.AddrPort // where a refused connection shows that the process is dead; invalid: not known
	attachedAt  time.Time
	conn        net.Conn
	reader      *bufio.Reader
	pending     chan []byte // the frame to write next, at most one
	done        chan struct{}
	closeOnce   sync.Once

	mu           sync.Mutex
	state        frame.State
	stateAt      time.Time // when state was received; zero: none was
	laggingSince time.Time // since when the agent lacks the latest settings; zero: it has them
}

// close ends the stream. Its goroutines end soon after. It may be called more than once and from any goroutine.
func (a *attachment) close() {
	a.closeOnce.Do(func() {
		close(a.done)
		a.conn.Close()
	})
}

// enqueue has data, an encoded frame, written next. A frame that is still pending is dropped: the newer one replaces
// all that it says. Only the publishing goroutine may call it, or the send could block.
func (a *attachment) enqueue(data []byte) {
	select {
	case <-a.pending:
	default:
	}
	a.pending <- data
}

// writeLoop writes pending frames until the stream ends. Before each it writes a frame for this agent alone, with the
// echo of its last State and whether its quota is confirmed: the pending one is shared among agents.
func (a *attachment) writeLoop(quotaConfirmed func() bool) {
	defer a.close()
	for {
		select {
		case <-a.done:
			return
		case data := <-a.pending:
			private, err := frame.Encode(&frame.Frame{Echo: a.echo(), QuotaConfirmed: quotaConfirmed()})
			if err != nil {
				panic(err) // it holds only numbers, within their bounds
			}
			if a.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
				return
			}
			for _, buf := range [][]byte{private, data} {
				if _, err := a.conn.Write(buf); err != nil {
					return
				}
			}
		}
	}
}

// echo returns the answer to the agent's last State, nil before the first.
func (a *attachment) echo() *frame.Echo {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stateAt.IsZero() {
		return nil
	}
	return &frame.Echo{Seq: a.state.Seq, ProcessingDelay: min(time.Since(a.stateAt), maxEchoDelay)}
}

// readLoop reads frames until the stream ends, and reports whether the agent left for good. An agent that sends more
// than frameRate is not read from meanwhile, so that its excess waits in its own socket and costs no other agent
// anything.
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

// handleFrame applies a State and load reports. Any error ends the stream.
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
	for _, entry := range m.Entries { // an agent reports only what it observed; a later version may send further kinds
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

// status returns the agent's last State, the zero value before the first.
func (a *attachment) status() frame.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// updateLagging compares the agent's settings with the current version, and returns since when it lags; zero: it does
// not.
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
