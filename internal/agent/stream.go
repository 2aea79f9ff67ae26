package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bodies and answers larger than maxBody pass through: they are never held whole.
const (
	largest     = 32 << 20                // bytes of a body or an answer; a body past it is turned away
	streamPart  = 32 << 10                // passed on at once, while the budget lasts
	leastPart   = 4 << 10                 // and after that
	kernelPart  = 256 << 10               // what the kernel holds of a stream on either side
	gatherFor   = 50 * time.Millisecond   // an answer of unknown length is held back while it may turn out small
	streamStall = 10 * time.Second        // without a byte of a stream, before it is given up
	clientStall = 1500 * time.Millisecond // without a byte of a client's body: nobody may send it slower than leastPace
	leastPace   = 48 << 10                // bytes a second; clients send 64 kB
	leastGiven  = 1 << 10                 // bytes a second of an answer, far below what any backend sends
)

var (
	errStalled = errors.New("no byte has passed for too long")
	errEnded   = errors.New("the request has ended")
)

// buffers is the budget for what passes through.
type buffers struct{ left atomic.Int64 }

// newBuffers gives streams an eighth of the memory.
func newBuffers(memoryMB int) *buffers {
	b := &buffers{}
	if memoryMB == 0 {
		memoryMB = 64
	}
	b.left.Store(int64(memoryMB) << 20 / 8)
	return b
}

// get returns a buffer, and what gives it back. There is always one: past the budget it is small.
func (b *buffers) get() ([]byte, func()) {
	size := int64(streamPart)
	if b.left.Add(-size) < 0 {
		b.left.Add(size)
		return make([]byte, leastPart), func() {}
	}
	return make([]byte, size), func() { b.left.Add(size) }
}

// paced reads a client's body and gives up one that is slower than any proper client. Only the time
// spent waiting for the client counts.
type paced struct {
	r     io.Reader
	rc    *http.ResponseController
	slack time.Duration
	most  time.Duration // for the next byte
	spent time.Duration
	got   int64
}

func (p *paced) Read(b []byte) (int, error) {
	began := time.Now()
	left := p.slack + time.Duration(p.got)*time.Second/leastPace - p.spent
	if err := p.rc.SetReadDeadline(began.Add(min(left, p.most))); err != nil {
		return 0, err
	}
	n, err := p.r.Read(b)
	p.spent += time.Since(began)
	if p.got += int64(n); p.got > largest {
		return 0, &http.MaxBytesError{Limit: largest}
	}
	return n, err
}

// upload is what is left of a large body, on its way from its client to one backend.
type upload struct {
	length int64 // of the whole body; -1: unknown
	out    *io.PipeWriter
	in     *io.PipeReader
	begun  atomic.Bool   // an attempt has asked for more than what is held: it can't be sent again
	whole  chan struct{} // closed once its last byte has come
	at     time.Time     // when; may be read once whole is closed
	failed chan struct{} // closed where it never will
	err    error         // why; may be read once failed is closed
}

func newUpload(length int64) *upload {
	u := &upload{length: length, whole: make(chan struct{}), failed: make(chan struct{})}
	u.in, u.out = io.Pipe()
	return u
}

// complete reports whether the last byte has come.
func (u *upload) complete() bool {
	select {
	case <-u.whole:
		return true
	default:
		return false
	}
}

// pump reads from the client and hands on, no faster than the attempt takes it. A client that fails is
// told to the front alone: the attempt is withdrawn by the loop, since the backend is not to blame.
func (u *upload) pump(body *paced, b *buffers) {
	buf, free := b.get()
	defer free()
	for {
		n, err := body.Read(buf)
		if errors.Is(err, io.EOF) {
			if err := body.rc.SetReadDeadline(time.Time{}); err != nil { // left running it would pass for a hang-up
				u.fail(err)
				return
			}
			u.at = time.Now()
			close(u.whole)
		} else if err != nil {
			u.fail(err)
			return
		}
		if n > 0 && !u.hand(buf[:n]) {
			return
		}
		if err != nil {
			u.out.Close()
			return
		}
	}
}

// hand waits until the attempt has taken p.
func (u *upload) hand(p []byte) bool {
	stalled := time.AfterFunc(streamStall, func() { u.stop(errStalled) })
	defer stalled.Stop()
	_, err := u.out.Write(p)
	return err == nil
}

func (u *upload) fail(err error) {
	u.err = err
	close(u.failed)
}

// stop ends what reads and what writes it.
func (u *upload) stop(err error) {
	u.out.CloseWithError(err)
	u.in.CloseWithError(err)
}

// body is a large body as one attempt reads it.
type body struct {
	held []byte
	u    *upload
	left int64       // bytes that are still to be read; below 0: unknown
	done atomic.Bool // the last byte was handed out
}

func (u *upload) body(held []byte) *body { return &body{held: held, u: u, left: u.length} }

func (b *body) Read(p []byte) (n int, err error) {
	if len(b.held) > 0 {
		n = copy(p, b.held)
		b.held = b.held[n:]
	} else {
		b.u.begun.Store(true)
		n, err = b.u.in.Read(p)
	}
	if b.left -= int64(n); b.left == 0 || errors.Is(err, io.EOF) {
		b.done.Store(true)
	}
	return n, err
}

func (b *body) Close() error { return nil } // the upload outlives an attempt that never began it

// expiry ends an attempt at its time, unless its answer has begun by then.
type expiry struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	begun bool
	over  bool
}

func (e *expiry) arm(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.begun && e.timer == nil {
		e.timer = time.AfterFunc(time.Until(at), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.begun {
				e.over = true
				e.cancel(errTimedOut)
			}
		})
	}
}

// begin reports whether the answer has begun in time. After that no time ends it.
func (e *expiry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timer != nil {
		e.timer.Stop()
	}
	e.begun = !e.over
	return e.begun
}

// stream is what is left of a large answer, on its way from its backend to the client.
type stream struct {
	length int64 // of the whole answer; -1: unknown
	in     io.Reader
	cancel context.CancelCauseFunc // of the attempt
	free   func()                  // gives back the buffer
	once   sync.Once
	ended  chan struct{}
	err    error // the backend broke it off, or errEnded: nobody wants the rest; may be read once ended is closed
}

func (s *stream) end(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.ended)
	})
}

// slow reports whether a backend sends its answer slower than any would, after it was waited for so long, with so many bytes:
// one that drips for good never ends. The client's deadline is no bound: of a long answer its first bytes are timed, and what
// its backend still gives must not be cut off.
func slow(waited time.Duration, passed int64) bool {
	return waited > streamStall+time.Duration(passed)*time.Second/leastGiven
}

// chunk is one read of an answer of unknown length.
type chunk struct {
	p   []byte
	err error
}

// gathered reads an answer whose length is not known, in a goroutine of its own, so that what has come
// can go on while more is awaited. The goroutine ends with the answer, or once its body is closed.
type gathered struct {
	chunks chan chunk
	next   chan struct{} // the last chunk is used up
	over   <-chan struct{}
	rest   chunk
}

func gather(r io.Reader, buf []byte, over <-chan struct{}) *gathered {
	g := &gathered{chunks: make(chan chunk), next: make(chan struct{}), over: over}
	go func() {
		for {
			n, err := r.Read(buf)
			select {
			case g.chunks <- chunk{buf[:n], err}:
			case <-over:
				return
			}
			if err != nil {
				return
			}
			select {
			case <-g.next:
			case <-over:
				return
			}
		}
	}()
	return g
}

// upTo returns what comes until there are most bytes, the answer ends, or the time is up. More tells
// that it has not ended.
func (g *gathered) upTo(most int, within time.Duration) (held []byte, more bool, err error) {
	end := time.NewTimer(within)
	defer end.Stop()
	for len(held) <= most {
		select {
		case c := <-g.chunks:
			held = append(held, c.p...)
			if errors.Is(c.err, io.EOF) {
				return held, false, nil
			}
			if c.err != nil {
				return held, false, c.err
			}
			select {
			case g.next <- struct{}{}:
			case <-g.over:
				return held, false, errEnded
			}
		case <-end.C:
			if len(held) > 0 {
				return held, true, nil
			}
			end.Reset(within) // no byte yet: nothing could go on
		case <-g.over:
			return held, false, errEnded
		}
	}
	return held, true, nil
}

func (g *gathered) Read(p []byte) (int, error) {
	if len(g.rest.p) == 0 && g.rest.err == nil {
		select {
		case g.rest = <-g.chunks:
		case <-g.over:
			return 0, errEnded
		}
	}
	n := copy(p, g.rest.p)
	if g.rest.p = g.rest.p[n:]; len(g.rest.p) > 0 {
		return n, nil
	}
	if g.rest.err == nil {
		select {
		case g.next <- struct{}{}:
		case <-g.over:
			return n, errEnded
		}
	}
	return n, g.rest.err
}

// boundKernel keeps the kernel from holding megabytes of a stream on a connection.
func boundKernel(c net.Conn) {
	if t, ok := c.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	}); ok {
		// One that is refused leaves the kernel's own bound.
		_ = t.SetReadBuffer(kernelPart)
		_ = t.SetWriteBuffer(kernelPart)
	}
}
