package agent

// A client's request in the event loop and the reply to this request.

import (
	"context"
	"time"

	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/agent/upstream"
)

// request is a client's request, from its arrival until the last of its attempts has ended. Once the request is posted, only
// the event loop changes it.
type request struct {
	id            string
	class         int
	upstream      *upstream.Request
	memory        *membudget.Reservation // for the request with its body, held by its handler and its attempts; nil: none yet
	deadline      time.Time              // of the client, counted from the request's last byte that has arrived
	timeout       time.Duration          // from the request's last byte to the deadline
	sizeHint      time.Duration          // expected work, from X-Size-Hint; 0: unknown
	clientRetry   bool
	affinityKey   uint64        // hash of the session, for affinity; 0: none
	residencyRule int           // 0: none
	reply         chan reply    // buffered, so that the event loop never blocks
	done          chan struct{} // closed with the final reply

	finished        bool // the final reply was sent, or the client has disconnected
	deadlineFinal   bool // no byte of a streamed body can move the deadline any more
	openAttempts    int
	cancels         []context.CancelCauseFunc
	attemptTimers   []*attemptTimer // indexed by attempt, like cancels
	attemptTimedOut bool            // at least one attempt has timed out
}

func newRequest(id string, class int) *request {
	return &request{id: id, class: class, reply: make(chan reply, 1), done: make(chan struct{})}
}

// reply is the final reply to a request. At most one of response, rejected, timedOut and duplicate is set; if none is, the
// request failed.
type reply struct {
	response   *upstream.Response
	rejected   bool
	retryAfter time.Duration
	residency  bool // rejected because no zone that the residency policy permits has an available backend
	timedOut   bool // failed because time ran out
	notSent    bool // no attempt was started
	duplicate  bool // failed: another request with this id is open, or may have been executed
}
