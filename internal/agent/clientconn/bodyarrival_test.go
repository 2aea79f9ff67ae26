package clientconn

import (
	"io"
	"strings"
	"testing"
	"time"
)

// The last byte of a body counts as arrived once the kernel has it, although the server has read only part of the body. Guards
// against a request that is never answered because its end waits unread behind what the backend does not take.
func TestBodyArrivalIncludesUnreadBytes(t *testing.T) {
	const bodySize = 50_000
	for name, row := range map[string]struct {
		head     string
		body     string
		complete bool
		endKnown bool
	}{
		"complete":         {"Content-Length: 50000", strings.Repeat("x", bodySize), true, true},
		"last byte is due": {"Content-Length: 50000", strings.Repeat("x", bodySize-1), false, true},
		"chunks":           {"Transfer-Encoding: chunked", "c350\r\n" + strings.Repeat("x", bodySize) + "\r\n0\r\n\r\n", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			c := New(server)
			done := make(chan struct{})
			go func() { defer close(done); c.readLoop() }()
			defer func() { c.Close(); client.Close(); <-done }()
			sentFrom := time.Now()
			if _, err := io.WriteString(client, "POST /pay/x HTTP/1.1\r\nHost: a\r\n"+row.head+"\r\n\r\n"+row.body); err != nil {
				t.Fatal(err)
			}
			sentTo := time.Now()
			if _, err := io.ReadFull(c, make([]byte, 1000)); err != nil { // the header and part of the body
				t.Fatal(err)
			}
			waitFor(t, "the arrival of all bytes that were sent", func() bool {
				arrival := c.BodyArrival()
				return arrival.EndKnown == row.endKnown && arrival.Complete == row.complete
			})
			const kernelAccuracy = 20 * time.Millisecond
			at := c.BodyArrival().LatestByteAt
			if at.Before(sentFrom.Add(-kernelAccuracy)) || at.After(time.Now()) {
				t.Errorf("latest byte at %v, sent from %v to %v", at, sentFrom, sentTo)
			}
		})
	}
}
