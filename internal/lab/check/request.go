package check

// What is known of one request of a client.

import "time"

// Event is one line of a request's history.
type Event struct {
	At   time.Duration `json:"at_ns"`
	Who  string        `json:"who"`
	What string        `json:"what"`
}

// Request is one try of a client, with everything that happened to it.
type Request struct {
	ID          string        `json:"id"`
	FirstID     string        `json:"first"` // the id of the client's first try
	Attempt     int           `json:"try"`
	Agent       int           `json:"agent"`
	Class       int           `json:"class"`
	SentAt      time.Duration `json:"sent_ns"`    // its last byte; its time runs from then
	Timeout     time.Duration `json:"give_up_ns"` // after Sent
	Fingerprint uint64        `json:"-"`          // of method, path, key and body
	History     []Event       `json:"history"`

	attempts   []*attempt
	accepted   bool // its last byte was written
	finished   bool
	finishedAt time.Duration
}

type attempt struct {
	backend   string
	cell      int
	arrivedAt time.Duration
	neverRan  bool // answered as never run
}

func (r *Request) record(at time.Duration, who, what string) {
	r.History = append(r.History, Event{at, who, what})
}

// firstPossiblyExecuted is the first attempt that may have run.
func (r *Request) firstPossiblyExecuted() *attempt {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// Answer is how a try ended for its client.
type Answer uint8

const (
	Served       Answer = iota
	Rejected            // 429 or 503
	Failed              // any other answer
	Closed              // the agent closed the connection without a whole answer
	ClosedNew           // the same on a connection's first request, with not a byte sent
	Unanswered          // nothing came
	Unreachable         // the request was never taken: no connection came up
	Disconnected        // the client went away
	Foreign             // served with something that no backend made for it
)

func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "closed without a whole answer",
		"closed without a byte on a new connection", "no answer", "agent unreachable", "the client left",
		"served with what no backend made"}[a]
}
