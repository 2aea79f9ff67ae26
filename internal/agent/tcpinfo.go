package agent

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// tcpInfo is what the kernel says of a TCP connection.
type tcpInfo struct {
	state        byte
	lastReceived time.Duration // since the latest data came
}

// Of the kernel's struct tcp_info, as far as it is used here.
const (
	infoSize           = 60
	infoState          = 0
	infoLastReceivedMs = 52
)

// States of a TCP connection whose other side has ended its sending, or reset it.
const stateClose, stateCloseWait, stateLastAck, stateClosing = 7, 8, 9, 11

// kernelInfo asks the kernel about a connection. It reports false where that is no TCP socket.
func kernelInfo(c net.Conn) (info tcpInfo, ok bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return info, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return info, false
	}
	var text [infoSize]byte
	size := uint32(len(text))
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&text)), uintptr(unsafe.Pointer(&size)), 0)
	})
	if err != nil || errno != 0 || size < infoSize {
		return info, false
	}
	since := binary.NativeEndian.Uint32(text[infoLastReceivedMs:])
	return tcpInfo{text[infoState], time.Duration(since) * time.Millisecond}, true
}

// hungUp reports whether the other side has ended its sending, or reset the connection, also behind bytes that nobody has read.
func hungUp(c net.Conn) bool {
	info, ok := kernelInfo(c)
	return ok && (info.state == stateClose || info.state == stateCloseWait || info.state == stateLastAck || info.state == stateClosing)
}
