package clientconn

import (
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// kernelInfo is what the kernel says of a connection; nil: nothing, since it is no TCP socket.
func kernelInfo(c net.Conn) *unix.TCPInfo {
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

// hungUp reports whether the other side has ended its sending, or reset the connection, also behind bytes that nobody has read.
func hungUp(c net.Conn) bool {
	info := kernelInfo(c)
	return info != nil && slices.Contains(hungUpStates, info.State)
}

// sinceReceived is how long ago the latest data came; 0: that is not known.
func sinceReceived(c net.Conn) time.Duration {
	info := kernelInfo(c)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
