// Package balancer decides, for one client process, where each
// request goes, when it is tried again, and when it is
// refused. It performs no I/O: the embedding agent owns the clock, the timers
// and the connections, passes on what happened as events, and carries out the
// actions it gets back, in order.
//
// A Balancer belongs to one goroutine. All times are durations on the agent's
// own monotonic clock, whose zero is of no matter; they must not run backwards.
// Its memory is bounded by the requests and attempts that are open, the timers
// that are pending and the backends that are listed or have attempts out.
package balancer

import (
	"time"

	"martenbeam/internal/residency/gate"
)

// Idempotency says what repeating a request does.
type Idempotency uint8

const (
	Idempotent     Idempotency = iota // may be repeated and refused at will
	IdempotencyKey                    // backends of one group drop a repeat within a window
	NonIdempotent                     // may be repeated only when no attempt can have run
)

// IdempotencyScope says which backends drop repeats of a keyed request.
type IdempotencyScope uint8

const (
	ScopeAll  IdempotencyScope = iota // every backend
	ScopeZone                         // the backends of one zone
	ScopeCell                         // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within this time earns the full worth
	Deadline         time.Duration // the time a client waits, over all its tries
	PriorityWeight   float64       // worth of a request (or of a unit of work, see Settings.WeightByWork)
	LateWeight       float64       // share of the worth earned between aim and deadline
	Idempotency      Idempotency
	Scope            IdempotencyScope // for Keyed
	DedupWindow      time.Duration    // for Keyed: how long a repeat is dropped after the first send
}

// Settings are fixed for the life of a Balancer. The zero value of a field that
// may be absent means what its comment says; the zero value of a price, a goal or
// a span switches off what rests on it. What agents may do at a site (ProbingAllowed,
// CancelAllowed) is part of the interface though the present module asks for none of it.
type Settings struct {
	Balancers    int // agents that share these backends, this one included; at least 1
	Self         int // this agent's number, from 0
	Zone         int // this agent's zone
	Classes      []Class
	WeightByWork bool          // worth counts per unit of work, not per request
	Subscribe    bool          // the list must be asked for; else it is told unasked
	Tick         time.Duration // shortest gap between two steps; 0: none

	MaxAttempts    int           // attempts one request may get; 0: 1
	HedgingAllowed bool          // two attempts of one request may be out together
	ProbingAllowed bool          // Probe actions are allowed
	CancelAllowed  bool          // Cancel actions are allowed
	GossipAllowed  bool          // SendGossip actions are allowed
	RetryAfter     bool          // clients are shown Refuse.RetryAfter
	MaxRetryAfter  time.Duration // the longest wait that a client heeds
	ConnectTimeout time.Duration // a connection not made in this time fails

	DrainGrace       time.Duration // how long sends to a draining backend are still tolerated
	AnswerGrace      time.Duration // how long after its deadline a final answer still counts
	PollInterval     time.Duration // Subscribe: ask at least this often while not subscribed
	InitialCapacity  float64       // a backend starts at this share of its capacity or more; 0: 1
	SlowStartWindow  time.Duration // and is warm no later than this after its start
	OverloadMultiple float64       // a cold backend sent more than this multiple of its capacity ...
	OverloadWindow   time.Duration // ... over this span falls over

	GoalOverall, GoalWorstWindow, GoalWorstClass float64 // what the operator weighs: all, worst span, worst class
	CrossZoneCost                                float64 // what crossing zones costs, as a share of the result
	Regions                                      []int   // the region of each zone; empty: no two zones are far from each other
	CrossRegionCost                              float64 // what crossing regions costs; less than CrossZoneCost counts as that
	KeyAffinity                                  bool    // a backend does less work for a key that it served lately
}

// BackendState is what the list says of a backend.
type BackendState uint8

const (
	Up       BackendState = iota
	Draining              // finishing its work
	Removed               // removed
)

// Backend is one entry of the list.
type Backend struct {
	ID      string
	State   BackendState
	Zone    int
	Cell    int
	Kind    int
	Weight  float64
	Started time.Duration // when its process last started; 0: long ago
}

// Event is something that happened at the time of a Step.
type Event interface{ event() }

// UpdateKind says how a List is to be read.
type UpdateKind uint8

const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // all entries; a backend that is missing is gone
	UpdateCached                   // all entries as last stored; may be stale
	UpdateFailed                   // asking failed or the subscription broke; the old list holds
)

type (
	// EndpointUpdate carries the backends or the failure to get them.
	EndpointUpdate struct {
		Kind     UpdateKind
		Backends []Backend
	}
	// Request is a client's request. The balancer owes it one final answer.
	Request struct {
		ID            string
		Class         int
		TimeRemaining time.Duration // until this client stops waiting
		Work          time.Duration // expected work; 0: unknown
		ClientRetry   bool          // the client says that it tries again
		AffinityKey   uint64        // a hash of what it concerns; 0: unknown
		Streaming     bool          // its body is large and still coming: BodyComplete follows, and Left runs from then
		ResidencyRule int           // of residency, that holds for its tenant and class; 0: none
	}
	// Quota is this agent's part of what all may have in flight together, where agents know of each other. An even one is
	// taken where it never came.
	Quota struct{ Share float64 }
	// ZoneLatencies are what the agents measured from this one's zone to each, by number. 0: not known, or nothing came back;
	// Loss says which.
	ZoneLatencies struct {
		RTT  []time.Duration
		Loss []float64 // share of asks without an answer
	}
	// Residency is the policy that is in force from now on.
	Residency struct{ Table *gate.Table }
	// BodyComplete says that the last byte of a large body has come.
	BodyComplete struct{ Request string }
	// BodyConsumed says that part of a large body is gone: no further attempt can be made.
	BodyConsumed struct{ Request string }
	// Outcome ends one attempt. The agent passes on exactly one for each Send.
	Outcome struct {
		Request       string
		Attempt       int // attempts of a request count from 0 in the order of their Send
		Backend       string
		Result        Result
		Latency       time.Duration // since it was sent
		Done          bool          // the request has its final answer, by this outcome or before
		NewConnection bool          // a connection was opened for it
		Load          Load
	}
	// ResponseStarted says that the answer of an attempt has begun to reach the client. Its Outcome comes
	// once the answer has ended, with the latency of the first bytes.
	ResponseStarted struct {
		Request string
		Attempt int
	}
	// Abandoned says that the client left; nothing is owed any longer.
	Abandoned struct{ Request string }
	// ProbeResult answers a Probe.
	ProbeResult struct {
		Backend string
		Result  Result
		Latency time.Duration
		Load    Load
	}
	// Disable is an operator's call: nothing more goes to this backend until Attach, whatever the
	// list says meanwhile. An Answer follows in the same step.
	Disable struct {
		Call      int64 // names the call in the Answer
		Backend   string
		Inherited bool // taken by another process of this agent: the id need not be listed here
	}
	// Enable is the call that ends any number of Detach. The backend counts as started then.
	Enable struct {
		Call      int64
		Backend   string
		Inherited bool
		At        time.Duration // when it was taken; 0: now
	}
	// Drain says that operators send this agent's clients elsewhere, or let them come again.
	Drain struct{ On bool }
	// Restore comes first to a process that goes on where another of the same agent was.
	Restore struct{ Snapshot }
	// TimerFired says that a SetTimer has come due.
	TimerFired struct{ Token int64 }
	// GossipReceived carries bytes from another agent.
	GossipReceived struct {
		From int
		Data []byte
	}
)

// Load is what a backend reported of itself, late and with noise.
type Load struct {
	Valid        bool
	Queue        float64       // requests waiting; negative: not reported
	Service      time.Duration // recent service time without waiting; negative: not reported
	ErrorsPerSec float64       // negative: not reported
}

// Result says how an attempt or a probe ended.
type Result uint8

const (
	OK            Result = iota // served
	Errored                     // the backend returned an error; may have run
	Rejected                    // turned away unseen; never ran
	TimedOut                    // no answer in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // withdrawn; may have run
	NotSent                     // never sent
)

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Action is something the agent must do now, in the order given. The present module
// sends no Cancel and no Probe; agents should carry them out all the same.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Timeout 0 means until the client stops waiting.
	Send struct {
		Request, Backend string
		Timeout          time.Duration
		SendDeadline     time.Duration // its last byte must be out by then, or the attempt is none; 0: no bound
	}
	// Cancel withdraws an attempt; its Outcome still comes.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is a final answer: not done, a new try does no harm.
	Refuse struct {
		Request         string
		RetryAfter      time.Duration // 0: no advice
		NoPermittedZone bool          // no zone that is permitted has a backend that is up
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Request string }
	// SetTimer asks for a TimerFired after a while. Timers are never revoked.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe examines a backend outside any request.
	Probe struct{ Backend string }
	// SendGossip sends a few bytes to another agent. They may come late or not at all.
	SendGossip struct {
		To   int // that agent's number
		Data []byte
	}
	// Subscribe asks that list changes be delivered from now on.
	Subscribe struct{}
	// ZoneStateChanged tells that a zone is left, or used again by a part that grows. Nothing needs to be done: it is for
	// those who watch.
	ZoneStateChanged struct {
		Zone       int
		FailedOver bool
		ByGossip   bool // left by what other agents told
	}
	// OverrideResult ends an operator's call: taken and kept to from now on, or not taken.
	OverrideResult struct {
		Call     int64
		Accepted bool // false: no backend has that id
	}
)

func (EndpointUpdate) event()  {}
func (Request) event()         {}
func (BodyComplete) event()    {}
func (BodyConsumed) event()    {}
func (Outcome) event()         {}
func (ResponseStarted) event() {}
func (Abandoned) event()       {}
func (ProbeResult) event()     {}
func (Disable) event()         {}
func (Enable) event()          {}
func (Drain) event()           {}
func (Restore) event()         {}
func (TimerFired) event()      {}
func (GossipReceived) event()  {}
func (Quota) event()           {}
func (ZoneLatencies) event()   {}
func (Residency) event()       {}

func (Send) action()             {}
func (Cancel) action()           {}
func (Refuse) action()           {}
func (Fail) action()             {}
func (SetTimer) action()         {}
func (Probe) action()            {}
func (SendGossip) action()       {}
func (Subscribe) action()        {}
func (ZoneStateChanged) action() {}
func (OverrideResult) action()   {}
