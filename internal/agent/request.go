package agent

// Reads and checks a client's request.

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/upstream"
	"martenbeam/internal/wire"
)

// inputError is the reply to a request that can't be forwarded. Its status always means 'failed' and gives no permission to retry.
type inputError struct {
	status int
	text   string
}

func badRequest(text string) *inputError { return &inputError{http.StatusBadRequest, text} }

// hopHeaders are the fields that the agent does not forward (RFC 9110, 7.6.1) or replaces with its own.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "X-Expires-In"}

// checkFraming rejects requests whose end is ambiguous.
func checkFraming(httpReq *http.Request) *inputError {
	if c := clientConnOf(httpReq); c != nil && c.Ambiguous() {
		return badRequest("both Content-Length and Transfer-Encoding")
	}
	if !httpReq.ProtoAtLeast(1, 1) { // net/http ignores Transfer-Encoding in HTTP/1.0 and would parse the body as a request
		return &inputError{http.StatusHTTPVersionNotSupported, "this takes HTTP/1.1"}
	}
	return nil
}

// parseRequest reads and checks a request with its body, or with the first bytes of a large body.
func (f *frontend) parseRequest(w http.ResponseWriter, httpReq *http.Request) (*request, *inputError) {
	class, failure := f.findClass(w, httpReq)
	if failure != nil {
		return nil, failure
	}
	r, failure := f.parseHeader(httpReq, class)
	if failure != nil {
		return nil, failure
	}
	memory := reservedMemory(httpReq)
	body, failure := f.readBody(w, httpReq, memory)
	if failure != nil {
		memory.Release()
		return nil, failure
	}
	r.memory = memory
	r.timeout -= heldBack(httpReq)
	// A client's deadline counts from the last byte of its request.
	r.deadline = f.replyDeadline(lastByteAt(httpReq), r.timeout)
	r.upstream = newUpstreamRequest(httpReq, body.first)
	if body.more {
		r.upstream.Upload = upstream.NewUpload(httpReq.ContentLength)
	}
	return r, nil
}

// findClass returns the index of the class that the first element of the request's path names, and checks the method.
func (f *frontend) findClass(w http.ResponseWriter, httpReq *http.Request) (int, *inputError) {
	class, ok := f.classIndex[classOf(httpReq.URL.Path)]
	if !ok {
		return 0, &inputError{http.StatusNotFound, "no such class of requests"}
	}
	method := http.MethodPost
	if f.cfg.Settings.Classes[class].Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if httpReq.Method != method {
		w.Header().Set("Allow", method)
		return 0, &inputError{http.StatusMethodNotAllowed, "this class takes " + method}
	}
	return class, nil
}

// parseHeader returns the request described by the header fields, without deadline and body.
func (f *frontend) parseHeader(httpReq *http.Request, class int) (*request, *inputError) {
	header, settings := httpReq.Header, f.cfg.Settings.Classes[class]
	r := newRequest(header.Get("X-Trace-Id"), class)
	r.clientRetry = header.Get("X-Second-Try") == "1"
	if c, err := httpReq.Cookie("sid"); err == nil {
		r.affinityKey = wire.AffinityKey(c.Value)
	}
	if enforcer := f.residency; enforcer != nil {
		r.residencyRule = enforcer.RuleID(header.Get("X-Customer"), f.cfg.Site.Classes[class])
	}
	if r.id == "" {
		return nil, badRequest("X-Trace-Id: missing")
	}
	if settings.Idempotency == balancer.IdempotencyKey && header.Get("Idempotency-Key") == "" {
		return nil, badRequest("Idempotency-Key: missing")
	}
	r.timeout = settings.Deadline
	if text := header.Get("X-Expires-In"); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
			return nil, badRequest("X-Expires-In: not a number of seconds above 0")
		}
		r.timeout = min(r.timeout, time.Duration(min(seconds, r.timeout.Seconds())*float64(time.Second)))
	}
	if text := header.Get("X-Size-Hint"); text != "" {
		micros, err := strconv.ParseFloat(text, 64)
		if err != nil || !(micros >= 0) || micros > math.MaxInt32 {
			return nil, badRequest("X-Size-Hint: not a number of microseconds")
		}
		r.sizeHint = time.Duration(micros * float64(time.Microsecond))
	}
	return r, nil
}

// newUpstreamRequest returns the request to forward, without the fields that apply only to the client's connection.
func newUpstreamRequest(httpReq *http.Request, body []byte) *upstream.Request {
	target := url.URL{Path: httpReq.URL.Path, RawPath: httpReq.URL.RawPath, RawQuery: httpReq.URL.RawQuery,
		ForceQuery: httpReq.URL.ForceQuery}
	forwarded := httpReq.Header.Clone()
	for _, connection := range httpReq.Header["Connection"] {
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
	return &upstream.Request{Method: httpReq.Method, Host: httpReq.Host, URL: &target, Header: forwarded, Body: body}
}
