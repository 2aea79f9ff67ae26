// This file serves one attached agent: its frames are read and written here.

package hub

import (
	"bufio"
	"errors"
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
	receiveTimeout = 3 * time.Second // an agent that says nothing for so long is dropped
	writeTimeout   = 2 * time.Second // one that takes no bytes for so long, too
	frameRate      = 20.0            // frames a second that are taken from one agent
	frameBurst     = 40.0
)

var errUnexpectedFrame = errors.New("a frame that makes no sense here")

// attachment is the stream of one attached agent. One goroutine runs readLoop, another writeLoop; both end after close.
type attachment struct {
	name, site          string
	incarnation, serial uint64
	addr                netip.AddrPort // of the agent's process, for when the stream has ended; invalid: not known
	attachedAt          time.Time
	conn                net.Conn
	reader              *bufio.Reader
	pending             chan []byte // what to write next, one at most
	done                chan struct{}
	closeOnce           sync.Once

	mu           sync.Mutex
	state        frame.State
	stateAt      time.Time // when it came; zero: none has
	laggingSince time.Time // the settings that it has are not the latest since then; zero: they are
}

// close ends the stream. Its goroutines end soon after. It may be called more than once and from any goroutine.
func (a *attachment) close() {
	a.closeOnce.Do(func() {
		close(a.done)
		a.conn.Close()
	})
}

// enqueue has data, an encoded frame, written next. A frame that is still pending is dropped: the newer one replaces all
// that it says. Only the publishing goroutine may call it, or the send could block.
func (a *attachment) enqueue(data []byte) {
	select {
	case <-a.pending:
	default:
	}
	a.pending <- data // nobody else offers
}

// writeLoop writes pending frames until the stream ends. Before each it writes a frame for this agent alone, with the echo
// of its last State and whether its quota is confirmed: the pending one is shared among agents.
func (a *attachment) writeLoop(quotaConfirmed func() bool) {
	defer a.close()
	for {
		select {
		case <-a.done:
			return
		case data := <-a.pending:
			private, err := frame.Encode(&frame.Frame{Echo: a.echo(), QuotaConfirmed: quotaConfirmed()})
			if err != nil {
				panic(err) // it holds numbers alone
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
	return &frame.Echo{Seq: a.state.Seq, HoldTime: min(time.Since(a.stateAt), time.Minute)}
}

// readLoop reads frames until the stream ends, and reports whether the agent left for good. An agent that sends more than
// frameRate is not read from meanwhile, so that its excess waits in its own socket and costs no other agent anything.
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
		return err
	}
	if m.Sender != a.name {
		return errUnexpectedFrame
	}
	own := m.Entries[:0]
	for _, entry := range m.Entries { // nobody speaks for others, and a later program may know more kinds
		if entry.Kind == gossip.ListServiceLoad && entry.Observer == a.name && entry.Subject == startup.Subject {
			own = append(own, entry)
		}
	}
	m.Entries = own
	data, err := gossip.EncodeMessage(m)
	if err != nil {
		return err
	}
	return loadReports.Merge(data)
}

// status returns the agent's last State, the zero value before the first.
func (a *attachment) status() frame.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// updateLagging compares the agent's settings with the current version, and returns since when it lags; zero: it does not.
func (a *attachment) updateLagging(state documents.AppliedVersion, now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if hasApplied(state, a.state.Settings) {
		a.laggingSince = time.Time{}
	} else if a.laggingSince.IsZero() {
		a.laggingSince = now
	}
	return a.laggingSince
}
