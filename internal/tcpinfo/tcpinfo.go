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

// get returns what the kernel says of a connection; nil: nothing, since it is no TCP socket.
func get(c net.Conn) *unix.TCPInfo {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var asked error
	err = raw.Control(func(fd uintptr) { info, asked = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || asked != nil {
		return nil
	}
	return info
}

// hungUpStates are the states of a connection whose other side has ended its sending, or reset it.
var hungUpStates = []uint8{unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING}

// HungUp reports whether the other side has ended its sending, or reset the connection, also behind bytes that nobody has read.
func HungUp(c net.Conn) bool {
	info := get(c)
	return info != nil && slices.Contains(hungUpStates, info.State)
}

// SinceReceived is how long ago the latest data came, to some milliseconds; 0: just now, or that is not known.
func SinceReceived(c net.Conn) time.Duration {
	info := get(c)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
