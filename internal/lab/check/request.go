package check

// A client's request and its history.

import "time"

// Event is one entry in the history of a request.
type Event struct {
	At   time.Duration `json:"at_ns"`
	Who  string        `json:"who"`
	What string        `json:"what"`
}

// Request is one request of a client, with everything that happened to it. A client's retry is a request of its own.
type Request struct {
	ID          string        `json:"id"`
	FirstID     string        `json:"first"` // the id of the request that this one retries, or its own
	Attempt     int           `json:"try"`   // from 0, counted by the client
	Agent       int           `json:"agent"`
	Class       int           `json:"class"`
	SentAt      time.Duration `json:"sent_ns"`    // when its last byte was sent; the timeout runs from then
	Timeout     time.Duration `json:"give_up_ns"` // after Sent
	Fingerprint uint64        `json:"-"`          // of method, path, key and body
	History     []Event       `json:"history"`

	attempts   []*attempt
	accepted   bool // its last byte was written to a connection that the agent accepted
	finished   bool
	finishedAt time.Duration
}

// attempt is an attempt that has reached a backend.
type attempt struct {
	backend   string
	cell      int
	arrivedAt time.Duration
	neverRan  bool // the answer proves that it had no effect
}

// record adds an event to the history.
func (r *Request) record(at time.Duration, who, what string) {
	r.History = append(r.History, Event{at, who, what})
}

// firstPossiblyExecuted returns the first attempt that may have had its effect, or nil.
func (r *Request) firstPossiblyExecuted() *attempt {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// Answer says how a request ended for its client.
type Answer uint8

// The ways in which a request ends.
const (
	Served       Answer = iota
	Rejected            // 429 or 503
	Failed              // any other answer
	Closed              // the agent closed the connection without a complete answer
	ClosedNew           // the agent closed it without a byte, as the connection's first request
	Unanswered          // nothing came in time
	Unreachable         // no connection could be established: the request was never accepted
	Disconnected        // the client closed the connection first
	Foreign             // served with an answer that no backend made for it
)

// String returns the answer as the report has it.
func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "closed without a whole answer",
		"closed without a byte on a new connection", "no answer", "agent unreachable", "the client left",
		"served with what no backend made"}[a]
}
