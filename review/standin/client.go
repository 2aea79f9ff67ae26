package main

// A client application: it sends one request at a time on a connection, keeps its connections, and opens another one when
// all are busy.

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// client sends requests to one agent.
type client struct {
	addr string

	mu   sync.Mutex
	idle []*clientConn
}

// clientConn is a connection to an agent.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// result is what became of one request.
type result struct {
	id       string
	sent     bool          // the last byte was written
	status   int           // 0: no answer
	body     string        // of the answer
	err      error         // why there was no whole answer
	sending  time.Duration // from the first byte to the last
	answered time.Duration // from the last byte to the end of the answer, or of the wait
}

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// connect returns an idle connection, or a new one.
func (c *client) connect() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// head returns the header of a request of a class that concerns a key.
func head(class, id, key string, timeout time.Duration, bodySize int) string {
	idempotencyKey := ""
	if class == "stop-update" {
		idempotencyKey = "Idempotency-Key: " + id + id + "\r\n"
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Customer: state-post\r\nCookie: sid=%s\r\n"+
		"X-Expires-In: %.3f\r\n%sContent-Length: %d\r\n\r\n", class, id, key, timeout.Seconds(), idempotencyKey, bodySize)
}

// request sends a request and waits for its answer for up to patience after the last byte. A request that crosses the close
// of a resting connection is sent once more, on a new connection.
func (c *client) request(class, key string, timeout, patience time.Duration, body string) result {
	r := result{id: randomHex(8)}
	for again := false; ; again = true {
		conn, err := c.connect()
		if err != nil {
			r.err = err
			return r
		}
		keep := false
		startedAt := time.Now()
		if _, r.err = io.WriteString(conn, head(class, r.id, key, timeout, len(body))+body); r.err == nil {
			r.sent = true
		}
		sentAt := time.Now()
		r.sending = sentAt.Sub(startedAt)
		if r.err == nil {
			_ = conn.SetReadDeadline(sentAt.Add(patience)) // fails only on a broken connection
			r.status, r.body, keep, r.err = readAnswer(conn.reader)
		}
		r.answered = time.Since(sentAt)
		if r.err != nil {
			conn.Close()
			var timeout net.Error
			if conn.used && !again && r.status == 0 && !(errors.As(r.err, &timeout) && timeout.Timeout()) {
				c.mu.Lock()
				c.idle = nil
				c.mu.Unlock()
				continue
			}
			return r
		}
		if !keep {
			conn.Close()
			return r
		}
		conn.used = true
		_ = conn.SetReadDeadline(time.Time{})
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
		return r
	}
}

// readAnswer reads one answer. keep reports whether the connection stays open after it.
func readAnswer(reader *bufio.Reader) (status int, body string, keep bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", false, err
	}
	defer response.Body.Close()
	var text strings.Builder
	_, err = io.Copy(&text, response.Body)
	return response.StatusCode, text.String(), !response.Close, err
}

// upload sends a request at a rate of bytes per second (0: at once). The request counts as sent once the agent's machine has
// acknowledged its last byte. One that crosses the close of a resting connection is sent once more, on a new connection.
func (c *client) upload(class, key string, timeout, patience time.Duration, body string, rate int) result {
	id := randomHex(8)
	for again := false; ; again = true {
		conn, err := c.connect()
		if err != nil {
			return result{id: id, err: err}
		}
		r, keep := conn.upload(head(class, id, key, timeout, len(body)), body, patience, rate)
		r.id = id
		if keep {
			conn.used = true
			_ = conn.SetDeadline(time.Time{}) // fails only on a broken connection
			c.mu.Lock()
			c.idle = append(c.idle, conn)
			c.mu.Unlock()
			return r
		}
		conn.Close()
		if !conn.used || again || r.status != 0 || r.err == nil || errors.Is(r.err, os.ErrDeadlineExceeded) {
			return r
		}
		c.mu.Lock()
		c.idle = nil
		c.mu.Unlock()
	}
}

// upload sends a request and waits for its answer for up to patience after the last byte. keep reports whether the connection
// can be used again.
func (c *clientConn) upload(header, body string, patience time.Duration, rate int) (r result, keep bool) {
	startedAt := time.Now()
	limit := patience
	if rate > 0 {
		limit += time.Duration(len(body)) * time.Second / time.Duration(rate)
	}
	_ = c.SetDeadline(startedAt.Add(limit)) // fails only on a broken connection
	if r.err = writePaced(c, header, body, rate); r.err != nil {
		r.status, r.body, _, _ = readAnswer(c.reader) // the agent may have answered before the last byte
		return r, false
	}
	for {
		pending, err := unacknowledged(c.Conn)
		if err == nil && pending == 0 {
			break
		}
		if err == nil && time.Since(startedAt) > limit {
			err = fmt.Errorf("%d bytes are not acknowledged: %w", pending, os.ErrDeadlineExceeded)
		}
		if r.err = err; err != nil {
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			r.status, r.body, _, _ = readAnswer(c.reader) // the agent may have answered before the last byte
			return r, false
		}
		time.Sleep(time.Millisecond)
	}
	sentAt := time.Now()
	r.sent, r.sending = true, sentAt.Sub(startedAt)
	_ = c.SetDeadline(sentAt.Add(patience))
	r.status, r.body, keep, r.err = readAnswer(c.reader)
	r.answered = time.Since(sentAt)
	return r, keep && r.err == nil
}

// writePaced writes a header, and a body at a rate of bytes per second (0: at once).
func writePaced(w io.Writer, header, body string, rate int) error {
	const gap = 50 * time.Millisecond
	if rate == 0 {
		_, err := io.WriteString(w, header+body)
		return err
	}
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for next := time.Now(); len(body) > 0; time.Sleep(time.Until(next)) {
		n := min(len(body), max(1, rate*int(gap)/int(time.Second)))
		if _, err := io.WriteString(w, body[:n]); err != nil {
			return err
		}
		body, next = body[n:], next.Add(gap)
	}
	return nil
}

// unacknowledged returns how many written bytes the receiver's machine has not acknowledged, or why the connection is broken.
func unacknowledged(conn net.Conn) (n int, err error) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var broken int // a reset leaves SIOCOUTQ as it was
		if broken, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && broken != 0 {
			err = unix.Errno(broken)
		}
		if err == nil {
			n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	return n, errors.Join(controlErr, err)
}
