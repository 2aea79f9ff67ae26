package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/internal/agent/upstream"
	"martenbeam/internal/wire"
)

// TestIncompleteRequestTimesOut: a client that sends no complete request gets an error or a close within 3 s of connecting.
// Until then the client's connection uses a descriptor that other clients need.
func TestIncompleteRequestTimesOut(t *testing.T) {
	const within = 3 * time.Second
	for name, text := range map[string]string{
		"nothing":       "",
		"half a line":   "POST /pa",
		"half a header": "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\n",
		"no body":       "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: 100\r\n\r\n",
		"half a body":   "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: 100\r\n\r\nabc",
		"half a chunk":  "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"no class":      "POST /nothing HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, dial := startPipeFrontend(t, testConfig(t, testSetup{}))
				began := time.Now()
				c := dial()
				go func() { _, _ = io.WriteString(c, text) }()
				if status, at := readUntilClosed(c); at.Sub(began) > within || status == 200 || status == 429 || status == 503 {
					t.Errorf("status %d, closed after %v; want an error or a close within 3 s", status, at.Sub(began))
				}
			})
		})
	}
}

// TestInvalidRequestIsAnsweredWithError: an invalid request gets a reply that means 'failed' and reaches no backend. A status
// of 429 or 503 would mean that a retry is harmless.
func TestInvalidRequestIsAnsweredWithError(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	for name, row := range map[string]struct {
		method, path, body string
		headers            []string
		want               int
	}{
		"unknown class":   {"GET", "/nothing", "", nil, 404},
		"no class":        {"GET", "/", "", nil, 404},
		"method":          {"POST", "/get/x", "", nil, 405},
		"no id":           {"GET", "/get/x", "", []string{"X-Trace-Id", ""}, 400},
		"no key":          {"POST", "/put/x", "", nil, 400},
		"time not number": {"GET", "/get/x", "", []string{"X-Expires-In", "soon"}, 400},
		"time NaN":        {"GET", "/get/x", "", []string{"X-Expires-In", "NaN"}, 400},
		"time infinite":   {"GET", "/get/x", "", []string{"X-Expires-In", "Inf"}, 400},
		"time negative":   {"GET", "/get/x", "", []string{"X-Expires-In", "-1"}, 400},
		"hint":            {"GET", "/get/x", "", []string{"X-Size-Hint", "1e99"}, 400},
		"large header":    {"GET", "/get/x", "", []string{"X-Long", strings.Repeat("x", 2*maxHeader)}, 431},
	} {
		if x := a.do(row.method, row.path, row.body, row.headers...); x.status != row.want {
			t.Errorf("%s: %+v, want %d", name, x, row.want)
		}
	}
	for name, text := range map[string]string{
		"garbage": "\x00\x01\x02\r\n\r\n",
		// Bodies of up to 32 MB occur. In a past fault the agent rejected bodies larger than 64 KiB.
		"large body": fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 3\r\nContent-Length: %d\r\n\r\nabc",
			upstream.MaxStreamBytes+1),
		"bad length":  "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: -5\r\n\r\n",
		"bad version": "GET /get/x HTTP/9.9\r\nHost: a\r\n\r\n",
		"no host":     "GET /get/x HTTP/1.1\r\nX-Trace-Id: 2\r\n\r\n",
	} {
		c, err := net.Dial("tcp", a.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode == 503 {
			t.Errorf("%s: response %+v, error %v; want a 4xx or 5xx status other than 429 and 503", name, resp, err)
		}
		c.Close()
	}
	if len(s.requestIDs) != 0 {
		t.Errorf("%d requests reached the backend, want none", len(s.requestIDs))
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("valid request after the invalid requests: %+v, want status 200", x)
	}
}

// TestRequestInsideBodyIsNotExecuted: text in the body of a request is never executed as a separate request, however the
// request gives the end of its body.
func TestRequestInsideBodyIsNotExecuted(t *testing.T) {
	const inner = "POST /pay/inner HTTP/1.1\r\nHost: a\r\nX-Trace-Id: inner%d\r\nContent-Length: 0\r\n\r\n"
	s := startRawBackend(t, func(int) string { return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	for i, row := range []struct {
		head, before string
		served       bool // whether the outer request is served
	}{
		{"HTTP/1.1\r\nContent-Length: 200\r\nTransfer-Encoding: chunked", "0\r\n\r\n", false},
		{"HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 200", "0\r\n\r\n", false},
		{"HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 200", "0\r\n\r\n", false},
		{"HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked", "5f\r\n", false},
		{"HTTP/1.1\r\nTransfer-Encoding: chunked", "0\r\n\r\n", true},
	} {
		t.Run(row.head, func(t *testing.T) {
			c, err := net.Dial("tcp", a.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			body := row.before + fmt.Sprintf(inner, i)
			if _, err := fmt.Fprintf(c, "POST /pay/x %s\r\nHost: a\r\nX-Trace-Id: outer%d\r\n\r\n%s%s", row.head, i, body,
				strings.Repeat("x", max(0, 200-len(body)))); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.StatusCode; row.served && got != 200 || !row.served && (got == 200 || got == 429 || got == 503) {
				t.Errorf("status %d for the outer request, want 200 if it is valid and otherwise an error that permits no retry", got)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			if next, err := http.ReadResponse(in, nil); err == nil {
				t.Errorf("got a second response: %+v, want only one", next)
			}
			if row.served {
				receive(t, "outer request", s.requestIDs)
			}
			if len(s.requestIDs) != 0 {
				t.Errorf("request %q reached the backend, want none beyond the outer request", <-s.requestIDs)
			}
		})
	}
}

// TestPipelinedAndChunkedRequestsAreServed: requests with a length, in chunks, with an absolute URL or with Expect are served,
// also if they are pipelined.
func TestPipelinedAndChunkedRequestsAreServed(t *testing.T) {
	s := startHTTPBackend(t, func(w http.ResponseWriter, hr *http.Request) {
		got, _ := io.ReadAll(hr.Body)
		fmt.Fprint(w, hr.URL, " ", string(got))
	})
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s}}))
	c := dialRawClient(t, a)
	c.send(postHeader("http://app.svc/put/a?b=c", "Content-Length: 3\r\n") + "one" +
		postHeader("/put/b", "Content-Length: 3\r\n") + "two" +
		postHeader("/put/c", "Transfer-Encoding: chunked\r\n") + chunkedBody("th", "ree"))
	for _, want := range []string{"/put/a?b=c one", "/put/b two", "/put/c three"} {
		resp := c.readResponse()
		if got, err := io.ReadAll(resp.Body); err != nil || string(got) != want {
			t.Errorf("body %q, error %v, want %q", got, err, want)
		}
	}
	c = dialRawClient(t, a)
	for _, part := range strings.SplitAfter(postHeader("/put/d", "Expect: 100-continue\r\nContent-Length: 3\r\n"), "") {
		c.send(part)
	}
	if resp := c.readResponse(); resp.StatusCode != 100 {
		t.Fatal(resp)
	}
	c.send("ask")
	resp := c.readResponse()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "/put/d ask" {
		t.Errorf("body %q, error %v, want \"/put/d ask\"", got, err)
	}
}

// TestSessionCookieSetsAffinityKey: the balancer gets the affinity key from the session cookie.
func TestSessionCookieSetsAffinityKey(t *testing.T) {
	f := newFrontend(testConfig(t, testSetup{}), nil, discardLog)
	for cookie, want := range map[string]uint64{"": 0, "a=b": 0, "sid=7f3a": wire.AffinityKey("7f3a"),
		"a=b; sid=7f3a": wire.AffinityKey("7f3a")} {
		hr := httptest.NewRequest(http.MethodGet, "/get/x", nil)
		hr.Header.Set("X-Trace-Id", "t1")
		if cookie != "" {
			hr.Header.Set("Cookie", cookie)
		}
		r, err := f.parseRequest(httptest.NewRecorder(), hr)
		if err != nil {
			t.Fatal(err.text)
		}
		if r.affinityKey != want || cookie != "" && r.upstream.Header.Get("Cookie") != cookie {
			t.Errorf("cookie %q: affinity key %x, want %x; forwarded header: %v", cookie, r.affinityKey, want, r.upstream.Header)
		}
	}
}

// TestPartialHeaderIsNotIdle: a connection on which part of a header has arrived is not idle, though the server has read all
// bytes that arrived.
func TestPartialHeaderIsNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, dial := startPipeFrontend(t, testConfig(t, testSetup{}))
		rejectAll(t, f)
		c := dial()
		text := fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID())
		if _, err := io.WriteString(c, text[:20]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(drainIdleTimeout)
		f.idleConns.CloseIdle(drainIdleTimeout, drainIdleTimeout)
		if _, err := io.WriteString(c, text[20:]); err != nil {
			t.Fatal(err)
		}
		if status, _ := readUntilClosed(c); status != 503 {
			t.Errorf("status %d, want 503", status)
		}
	})
}
