package main

// Backend responses that arrive before the end of a request body.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// earlyBackend starts a backend that responds to a POST before it has read the body.
func earlyBackend(t *testing.T, response string) (addr string) {
	t.Helper()
	return serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		rc := http.NewResponseController(w)
		if err := rc.EnableFullDuplex(); err != nil {
			t.Error(err)
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(response)))
		_, _ = io.WriteString(w, response) // ignored: if the agent has closed the connection, the test's checks detect it
		_ = rc.Flush()
		_, _ = io.Copy(io.Discard, r.Body)
	})
}

// A backend starts to run a request only when the last byte has arrived. The agent must not pass on a response that arrives
// earlier, whether the rest of the body arrives soon, late or never.
func TestEarlyBackendResponseIsNotPassedOn(t *testing.T) {
	const bodyLength, firstPart = 200_000, 100_000
	for name, c := range map[string]struct {
		response  string        // body of the early response
		restDelay time.Duration // delay of the rest of the body; negative if the client never sends it
	}{
		"rest after 50 ms":  {response: "early", restDelay: 50 * time.Millisecond},
		"rest after 800 ms": {response: "early", restDelay: 800 * time.Millisecond},
		"empty response":    {restDelay: 300 * time.Millisecond},
		"no rest":           {response: "early", restDelay: -1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := newEndpoint("s", earlyBackend(t, c.response), "ready")
			d := startAgent(t, newFakeDiscovery(t, list).addr, faultinject.Plan{}, nil, "")
			awaitReady(t, d.addr)
			conn, err := net.Dial("tcp", d.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			startedAt := time.Now()
			_, err = fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: early\r\nX-Expires-In: 1\r\nContent-Length: %d\r\n\r\n%s",
				bodyLength, strings.Repeat("x", firstPart))
			if err != nil {
				t.Fatal(err)
			}
			if c.restDelay >= 0 {
				time.Sleep(c.restDelay)
				_, _ = io.WriteString(conn, strings.Repeat("x", bodyLength-firstPart)) // may fail: the agent may have sent the final answer already
			}
			if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no final answer after %v: %v", time.Since(startedAt), err)
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				t.Errorf("status 200 after %v, although the only response was early; want an error status", time.Since(startedAt))
			}
		})
	}
}
