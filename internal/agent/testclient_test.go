package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// exchange is the agent's response to one client request, with the complete body.
type exchange struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a *testAgent) request(ctx context.Context, method, path, body string, headers ...string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, a.baseURL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Trace-Id", newID())
	for i := 0; i < len(headers); i += 2 {
		if req.Header.Del(headers[i]); headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return req, nil
}

func (a *testAgent) do(method, path, body string, headers ...string) exchange {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := a.request(ctx, method, path, body, headers...)
	if err != nil {
		return exchange{err: err}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return exchange{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return exchange{resp.StatusCode, resp.Header, string(text), err}
}

// rawClient is a client's connection on which a test writes requests as raw bytes.
type rawClient struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dialRawClient(t *testing.T, a *testAgent) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(2 * testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &rawClient{t, c, bufio.NewReader(c)}
}

func (c *rawClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *rawClient) readResponse() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

func postHeader(path, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nIdempotency-Key: k\r\n%s\r\n", path, newID(), more)
}

// chunkedBody encodes a body in chunks, with chunk extensions and a trailer.
func chunkedBody(parts ...string) string {
	text := ""
	for _, p := range parts {
		text += fmt.Sprintf("%x;name=\"a;b\"\r\n%s\r\n", len(p), p)
	}
	return text + "0;last\r\nX-Trailer: 1\r\n\r\n"
}

func getRequest(path, more string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n%s\r\n", path, newID(), more)
}

func writeText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// statusRecorder is a ResponseWriter that records the status and the header.
type statusRecorder struct {
	header http.Header
	status int
}

func newStatusRecorder() *statusRecorder { return &statusRecorder{header: http.Header{}} }

func (r *statusRecorder) Header() http.Header         { return r.header }
func (r *statusRecorder) WriteHeader(status int)      { r.status = status }
func (r *statusRecorder) Write(p []byte) (int, error) { return len(p), nil }
