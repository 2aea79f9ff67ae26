// A minimal client of a hub for tests, which implements the protocol without Client.

package hubclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/fleet/hub/frame"
)

// dialHub attaches to a hub and reads its Welcome. buffer, if above 0, is the size of the socket's receive buffer in
// bytes.
func dialHub(addr, label, name string, buffer int) (conn net.Conn, reader *bufio.Reader, err error) {
	d := net.Dialer{Timeout: time.Second}
	if buffer > 0 {
		d.Control = func(_, _ string, rawConn syscall.RawConn) error {
			return rawConn.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) })
		}
	}
	if conn, err = d.Dial("tcp", addr); err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	reader = bufio.NewReaderSize(conn, 16)
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", frame.Path, frame.Protocol)
	resp, err := http.ReadResponse(reader, nil)
	if err == nil && resp.StatusCode != http.StatusSwitchingProtocols {
		err = fmt.Errorf("hub replied with status %d, want 101", resp.StatusCode)
	}
	if err == nil {
		writeFrame(conn, &frame.Frame{Hello: &frame.Hello{Label: label, Name: name, Incarnation: 1, Site: "a"}})
		var reply *frame.Frame
		if reply, err = frame.Read(reader); err == nil && reply.Welcome == nil {
			err = fmt.Errorf("hub replied with frame %+v, want a Welcome", reply)
		}
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, reader, nil
}

// sendStates sends two states a second until the stream ends.
func sendStates(conn net.Conn) {
	for n := uint32(1); ; n++ {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		data, err := frame.Encode(&frame.Frame{State: &frame.State{Seq: n, Serving: true}})
		if err != nil {
			panic(err)
		}
		if _, err := conn.Write(data); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// receivedMessage is the content of a hub's frame and the time at which it arrived.
type receivedMessage struct {
	at             time.Time
	settings       int64 // version of the settings; -1: none in the frame
	dead           int   // number of dead agents; -1: no fleet size in the frame
	quotaConfirmed bool
}

// receiveFrom attaches to a hub, attaches again after each loss, and passes the received messages to handle, until ctx
// ends.
func receiveFrom(ctx context.Context, addr, label, name string, handle func(receivedMessage)) {
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		c, reader, err := dialHub(addr, label, name, 0)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		go sendStates(c)
		for {
			received, err := frame.Read(reader)
			if err != nil {
				break
			}
			message := receivedMessage{time.Now(), -1, -1, received.QuotaConfirmed}
			if decoded, err := gossip.DecodeMessage(received.Gossip); len(received.Gossip) > 0 && err == nil {
				for _, entry := range decoded.Entries {
					if s, ok := documents.ParseAppliedVersion(entry.Body); entry.Kind == gossip.SettingsVersion && ok {
						message.settings = s.Version
					}
					if c, err := hub.ParseFleetSize(entry.Body); entry.Kind == gossip.FleetSize && err == nil {
						message.dead = int(c.Dead)
					}
				}
			}
			handle(message)
		}
		stop()
		c.Close()
	}
}
