package agent

// How a client's request is read and checked.

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/wire"
)

// inputError is the reply to a request that can't be forwarded. Its status means 'failed' and never that a retry is
// harmless.
type inputError struct {
	status int
	text   string
}

func badRequest(text string) *inputError { return &inputError{http.StatusBadRequest, text} }

// hopHeaders are not forwarded (RFC 9110, 7.6.1), or are set anew.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "X-Expires-In"}

// checkFraming rejects requests whose end is ambiguous.
func checkFraming(httpReq *http.Request) *inputError {
	if c := clientConnOf(httpReq); c != nil && c.Ambiguous() {
		return badRequest("both Content-Length and Transfer-Encoding")
	}
	if !httpReq.ProtoAtLeast(1, 1) { // net/http ignores its Transfer-Encoding, so a body would be taken for the next request
		return &inputError{http.StatusHTTPVersionNotSupported, "this takes HTTP/1.1"}
	}
	return nil
}

// parseRequest reads and checks a request, with its body or, if that is large, the body's first bytes.
func (f *frontend) parseRequest(w http.ResponseWriter, httpReq *http.Request) (*request, *inputError) {
	className, _, _ := strings.Cut(strings.TrimPrefix(httpReq.URL.Path, "/"), "/")
	class, ok := f.classIndex[className]
	if !ok {
		return nil, &inputError{http.StatusNotFound, "no such class of requests"}
	}
	settings := f.cfg.Settings.Classes[class]
	method := http.MethodPost
	if settings.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if httpReq.Method != method {
		w.Header().Set("Allow", method)
		return nil, &inputError{http.StatusMethodNotAllowed, "this class takes " + method}
	}
	header := httpReq.Header
	r := newRequest(header.Get("X-Trace-Id"), class)
	r.clientRetry = header.Get("X-Second-Try") == "1"
	if c, err := httpReq.Cookie("sid"); err == nil {
		r.key = wire.AffinityKey(c.Value)
	}
	if gatekeeper := f.residency; gatekeeper != nil {
		r.residencyRule = gatekeeper.RuleID(header.Get("X-Customer"), className)
	}
	if r.id == "" {
		return nil, badRequest("X-Trace-Id: missing")
	}
	if settings.Idempotency == balancer.IdempotencyKey && header.Get("Idempotency-Key") == "" {
		return nil, badRequest("Idempotency-Key: missing")
	}
	timeout := settings.Deadline
	if text := header.Get("X-Expires-In"); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
			return nil, badRequest("X-Expires-In: not a number of seconds above 0")
		}
		timeout = min(timeout, time.Duration(min(seconds, timeout.Seconds())*float64(time.Second)))
	}
	if text := header.Get("X-Size-Hint"); text != "" {
		micros, err := strconv.ParseFloat(text, 64)
		if err != nil || !(micros >= 0) || micros > math.MaxInt32 {
			return nil, badRequest("X-Size-Hint: not a number of microseconds")
		}
		r.sizeHint = time.Duration(micros * float64(time.Microsecond))
	}
	body, more, failure := f.readBody(w, httpReq)
	if failure != nil {
		return nil, failure
	}
	if deadline := time.Duration(f.drainDeadline.Load()); deadline != 0 { // it has to be answered before the platform kills the process
		timeout = max(0, min(timeout, deadline-f.loop.clock.now()))
	}
	// A client's time counts from when it sent its request, which ends with the last byte.
	r.deadline, r.timeout = lastByteAt(httpReq).Add(timeout), timeout
	target := url.URL{Path: httpReq.URL.Path, RawPath: httpReq.URL.RawPath, RawQuery: httpReq.URL.RawQuery, ForceQuery: httpReq.URL.ForceQuery}
	forwarded := header.Clone()
	for _, connection := range header["Connection"] {
		for name := range strings.SplitSeq(connection, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		forwarded.Del(name)
	}
	if _, set := forwarded["User-Agent"]; !set {
		forwarded["User-Agent"] = nil // keeps net/http from adding its own
	}
	r.upstream = &upstreamRequest{method: method, host: httpReq.Host, url: &target, header: forwarded, body: body}
	if more {
		r.upstream.upload = newUpload(httpReq.ContentLength)
	}
	return r, nil
}
