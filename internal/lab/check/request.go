package check

// A client's request and its history.

import "time"

// Event is one entry in the history of a request.
type Event struct {
	At   time.Duration `json:"at_ns"`
	Who  string        `json:"who"`
	What string        `json:"what"`
}

// Request is one request of a client, with its history. Each retry by a client is a separate Request.
type Request struct {
	ID          string        `json:"id"`
	FirstID     string        `json:"first"` // the ID of the first request, if this one is a retry; else its own ID
	Attempt     int           `json:"try"`   // 0 for the first request, 1 for the client's first retry
	Agent       int           `json:"agent"`
	Class       int           `json:"class"`
	SentAt      time.Duration `json:"sent_ns"`    // when the client sent the last byte
	Timeout     time.Duration `json:"give_up_ns"` // counts from SentAt
	Fingerprint uint64        `json:"-"`          // of method, path, key and body
	History     []Event       `json:"history"`

	attempts   []*attempt
	accepted   bool // the client wrote the last byte to a connection that the agent accepted
	finished   bool
	finishedAt time.Duration
}

// attempt is one attempt of a request, after it has reached a backend.
type attempt struct {
	backend   string
	cell      int
	arrivedAt time.Duration
	neverRan  bool // the response proves that the attempt had no effect
}

// record adds an event to the history.
func (r *Request) record(at time.Duration, who, what string) {
	r.History = append(r.History, Event{at, who, what})
}

// firstPossiblyExecuted returns the first attempt whose effect may have happened, or nil.
func (r *Request) firstPossiblyExecuted() *attempt {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// Answer is the way in which a request ended for its client.
type Answer uint8

// The ways in which a request ends.
const (
	Served       Answer = iota
	Rejected            // 429 or 503
	Failed              // any other answer
	Closed              // the agent closed the connection without a complete answer
	ClosedNew           // the agent closed the connection without a byte, on the connection's first request
	Unanswered          // the client got no answer before its time-out
	Unreachable         // the client could not establish a connection
	Disconnected        // the client closed the connection first
	Foreign             // the answer is a success response that no backend sent for this request
)

// String returns the answer as the report contains it.
func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "closed without a whole answer",
		"closed without a byte on a new connection", "no answer", "agent unreachable", "the client left",
		"served with what no backend made"}[a]
}
