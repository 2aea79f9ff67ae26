package overhead

// An HTTP call to a backend, through an agent or directly, and the samples of all calls on one path.

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// sample is a call that succeeded. Points in time count from base.
type sample struct {
	plannedAt         time.Duration // planned time of sending
	lateness          time.Duration // from the planned time until the call was sent
	total             time.Duration // from the planned time until the response was read
	inbound, outbound time.Duration // from sending to the backend's handler; from the handler's end until the response was read
	newConnection     bool          // the call was the first on its connection to the backend
}

// callPath collects the calls on one of the two paths, through an agent or directly. It omits calls planned before
// countedFrom, since the first calls open connections and run code for the first time.
type callPath struct {
	countedFrom time.Duration // since base

	mu         sync.Mutex
	samples    []sample
	failed     int
	firstError string // the error of the first call that failed
}

// add records a call, which has failed if err is not nil.
func (p *callPath) add(s sample, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s.plannedAt < p.countedFrom:
	case err == nil:
		p.samples = append(p.samples, s)
	default:
		if p.failed++; p.firstError == "" {
			p.firstError = err.Error()
		}
	}
}

// newClient returns a client that keeps up to 1,000 idle connections to each host open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true,
		DialContext: (&net.Dialer{KeepAlive: -1}).DialContext}}
}

var lastCallID atomic.Int64

// call makes one call, and returns the sample and the number of the backend that responded. at is the planned time of the
// call, since base. A status other than 200 is an error.
func call(client *http.Client, addr string, at time.Duration) (s sample, backend int, err error) {
	sentAt := sinceBase()
	s.plannedAt, s.lateness = at, sentAt-at
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/"+Class+"/x", nil)
	if err != nil {
		return s, 0, err
	}
	req.Header.Set("X-Trace-Id", strconv.FormatInt(lastCallID.Add(1), 16))
	resp, err := client.Do(req)
	if err != nil {
		return s, 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	doneAt := sinceBase()
	if err != nil {
		return s, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return s, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	number := func(name string) int64 {
		n, e := strconv.ParseInt(resp.Header.Get(name), 10, 64)
		err = cmp.Or(err, e)
		return n
	}
	backend = int(number(headerBackend))
	s.total = doneAt - at
	s.inbound = time.Duration(number(headerArrivedAt)) - sentAt
	s.outbound = doneAt - time.Duration(number(headerFinishedAt))
	s.newConnection = number(headerRequestNumber) == 1
	return s, backend, err
}
