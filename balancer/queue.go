package balancer

// The admission queue: which requests wait, and which one is next. The caller supplies the values and decides on
// refusals. Only the queue sets request.queued and request.skipped.

import "slices"

// admissionQueue holds the requests that wait for capacity, oldest first.
type admissionQueue struct{ requests []*request }

// empty reports whether no request waits.
func (q *admissionQueue) empty() bool { return len(q.requests) == 0 }

// add appends a request.
func (q *admissionQueue) add(req *request) {
	req.queued = true
	q.requests = append(q.requests, req)
}

// remove removes a request, and keeps the order of the others.
func (q *admissionQueue) remove(req *request) {
	req.queued = false
	q.requests = removeElement(q.requests, req)
}

// next returns the request of the highest value, the newest one among equals, or nil if all were skipped.
func (q *admissionQueue) next(value func(*request) float64) *request {
	var best *request
	bestValue := 0.0
	for _, req := range q.requests {
		if req.skipped {
			continue
		}
		if v := value(req); best == nil || v >= bestValue {
			best, bestValue = req, v
		}
	}
	return best
}

// skip excludes a request, for which no backend was found, from the results of next until the end of the step. If the
// request is unconstrained, no backend can take the other unconstrained requests of its class either, and skip excludes
// these requests too.
func (q *admissionQueue) skip(req *request) {
	for _, other := range q.requests {
		other.skipped = other.skipped || other == req ||
			other.class == req.class && other.unconstrained() && req.unconstrained()
	}
}

// visitNewestFirst calls visit for each request, from the newest to the oldest, and lets next return skipped requests
// again. visit may remove the request that it gets.
func (q *admissionQueue) visitNewestFirst(visit func(*request)) {
	for i := len(q.requests) - 1; i >= 0; i-- {
		req := q.requests[i]
		req.skipped = false
		visit(req)
	}
}

// removeElement removes one element, and keeps the order of the others.
func removeElement[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
