package agent

// A client's request in the event loop, and the reply to it.

import (
	"context"
	"time"

	"martenbeam/internal/agent/upstream"
)

// request is a client's request from its arrival until the last of its attempts has ended. After it was posted, only the
// event loop uses it.
type request struct {
	id            string
	class         int
	upstream      *upstream.Request
	deadline      time.Time     // when the client stops waiting
	timeout       time.Duration // from the last byte to the deadline
	sizeHint      time.Duration
	clientRetry   bool
	key           uint64        // hash of the session, for affinity; 0: none
	residencyRule int           // 0: none
	reply         chan reply    // buffered, so that the event loop never blocks
	done          chan struct{} // closed with the final reply

	finished        bool // it has its final reply, or its client has disconnected
	openAttempts    int
	cancels         []context.CancelCauseFunc
	attemptTimers   []*attemptTimer // by attempt, as cancels
	attemptTimedOut bool            // at least one attempt did
}

func newRequest(id string, class int) *request {
	return &request{id: id, class: class, reply: make(chan reply, 1), done: make(chan struct{})}
}

// reply is the final reply to a request. At most one of response, rejected, timedOut and duplicate is set; none: failed.
type reply struct {
	response   *upstream.Response
	rejected   bool
	retryAfter time.Duration
	residency  bool // rejected since no backend is up where the residency policy permits to send
	timedOut   bool // failed for lack of time
	duplicate  bool // failed: another request with this id is open
}
