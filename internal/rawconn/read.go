// Package rawconn reads sockets so that a read system call and its bookkeeping are one step for other goroutines.
//
// With net.Conn.Read there is a moment after the system call in which the bytes are no longer in the kernel and not yet known to
// the program. Read closes it: the call and the bookkeeping run under one lock.
package rawconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Of returns the raw connection of a socket; nil: conn is not a socket, or is broken, so that its first use fails.
func Of(conn net.Conn) syscall.RawConn {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Read waits until the socket is readable and reads into p, as net.Conn.Read does. It holds mu during the system call and the
// call of received, which gets the number of bytes that were read. p must not be empty.
func Read(raw syscall.RawConn, p []byte, mu sync.Locker, received func(n int)) (n int, err error) {
	return ReadWith(raw, mu, func(read ReadFunc) {
		if n, ready := read(p); ready {
			received(n)
		}
	})
}

// ReadFunc reads into a buffer, and returns the number of bytes. ready is false if the socket was not readable.
type ReadFunc func(buffer []byte) (n int, ready bool)

// ReadWith waits until the socket is readable, and reads with one call of fill, which calls read once. It holds mu during the call
// of fill, and may call fill before the socket is readable. It returns what net.Conn.Read would return.
func ReadWith(raw syscall.RawConn, mu sync.Locker, fill func(read ReadFunc)) (n int, err error) {
	waitErr := raw.Read(func(fd uintptr) (done bool) {
		mu.Lock()
		defer mu.Unlock()
		fill(func(buffer []byte) (int, bool) {
			for n, err = syscall.Read(int(fd), buffer); errors.Is(err, syscall.EINTR); {
				n, err = syscall.Read(int(fd), buffer)
			}
			n = max(0, n)
			done = !errors.Is(err, syscall.EAGAIN)
			return n, done
		})
		return done
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
