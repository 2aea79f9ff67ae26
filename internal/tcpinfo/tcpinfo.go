// Package tcpinfo tells what the kernel knows of a TCP connection and a read does not show: a hang-up behind bytes that nobody has
// read, and when data came that is read later. See tcp(7), TCP_INFO.
package tcpinfo

import (
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// queryTCPInfo returns what the kernel says of a connection; nil: nothing, since it is no TCP socket.
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

// peerClosedStates are the states of a connection whose other side has ended its sending, or reset it.
var peerClosedStates = []uint8{unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING}

// PeerClosed reports whether the other side has ended its sending, or reset the connection, also behind bytes that nobody has read.
func PeerClosed(conn net.Conn) bool {
	info := queryTCPInfo(conn)
	return info != nil && slices.Contains(peerClosedStates, info.State)
}

// SinceLastData is how long ago the latest data came, to some milliseconds; 0: just now, or that is not known.
func SinceLastData(conn net.Conn) time.Duration {
	info := queryTCPInfo(conn)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
