// Package tcpinfo queries the kernel for the state of a TCP connection that a read does not reveal: whether the peer has
// closed the connection while received data is still unread, when data last arrived, and how much is queued in the kernel.
// See tcp(7), TCP_INFO.
package tcpinfo

import (
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// queryTCPInfo returns the kernel's state of a connection, or nil if conn is not a TCP socket or is closed.
func queryTCPInfo(conn net.Conn) *unix.TCPInfo {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var getsockoptErr error
	err = raw.Control(func(fd uintptr) {
		info, getsockoptErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || getsockoptErr != nil {
		return nil
	}
	return info
}

// peerClosedStates are the states of a connection whose peer has sent a FIN or a reset.
var peerClosedStates = []uint8{unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING}

// PeerClosed reports whether the peer has closed its sending direction or reset the connection, even if received data is still
// unread. It returns false if the state can't be read.
func PeerClosed(conn net.Conn) bool {
	info := queryTCPInfo(conn)
	return info != nil && slices.Contains(peerClosedStates, info.State)
}

// SinceLastData returns the time since data last arrived, accurate to a few milliseconds. It returns 0 if data has
// just arrived, or if the time can't be read.
func SinceLastData(conn net.Conn) time.Duration {
	info := queryTCPInfo(conn)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// UnreadBytes returns how many received bytes of a connection the process has not read, and whether the kernel reported them.
func UnreadBytes(conn net.Conn) (n int, known bool) { return queryQueue(conn, unix.SIOCINQ) }

// UnacknowledgedBytes returns how many written bytes the peer's machine has not acknowledged, and whether the kernel reported
// them.
func UnacknowledgedBytes(conn net.Conn) (n int, known bool) { return queryQueue(conn, unix.SIOCOUTQ) }

// queryQueue returns the length in bytes of one of a connection's kernel queues. See tcp(7), ioctls.
func queryQueue(conn net.Conn, request uint) (n int, known bool) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0, false
	}
	var ioctlErr error
	if err = raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), request) }); err != nil || ioctlErr != nil {
		return 0, false
	}
	return n, true
}
