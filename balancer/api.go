// Package balancer decides, for one client process (an agent), which backend each request goes to, when a failed
// request is retried, and when a request is refused. It performs no I/O. The embedding agent owns the clock, the
// timers and the connections: it reports what happened as events, and carries out the returned actions in order.
//
// A Balancer belongs to one goroutine. All times are durations on the agent's own monotonic clock, whose zero
// is arbitrary and which must not run backwards. Memory is bounded by the open requests and attempts, the pending
// timers, and the backends that are listed or still have attempts outstanding.
//
// Reading order: this file for the interface; balancer.go for the parts and how events reach them; lifecycle.go for
// the life of a request, with its records in request.go. Then one part at a time. Which backend a request goes to:
// picking.go, candidates.go, subset.go, latency.go. Whether it may be sent now: admission.go, queue.go, limiter.go,
// credit.go, classes.go, capacity.go. Retries: retries.go, retrybudget.go. Statistics from attempts: outcomes.go,
// outliers.go for ejections, slowstart.go, backends.go for the record of a backend. Zones: failover.go,
// sequentialtest.go, failoverstate.go, zone.go, zonelatency.go, residency.go. Other agents: gossip.go, message.go,
// observations.go, peers.go, demand.go. The endpoint list and the operators: endpoints.go, operators.go, overrides.go,
// snapshot.go.
//
// Constants are dimensionless: every scale comes from the settings or from measurements. A comment that starts with
// "Departure:" gives the reason why the module departs from the published design.
package balancer

import (
	"time"

	"martenbeam/internal/residency/gate"
)

// Idempotency tells whether a request may be executed more than once.
type Idempotency uint8

const (
	Idempotent     Idempotency = iota // may be executed any number of times
	IdempotencyKey                    // backends in Class.Scope drop duplicates within Class.DedupWindow
	NonIdempotent                     // retried only when no attempt can have executed
)

// IdempotencyScope is the set of backends that share a store of idempotency keys and so drop each other's duplicates.
type IdempotencyScope uint8

const (
	ScopeAll  IdempotencyScope = iota // every backend
	ScopeZone                         // the backends of one zone
	ScopeCell                         // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // a final answer within this time earns the full PriorityWeight
	Deadline         time.Duration // how long a client waits in total, its own retries included
	PriorityWeight   float64       // value of a request (of a unit of work with Settings.WeightByWork)
	LateWeight       float64       // share of PriorityWeight earned between LatencyObjective and Deadline
	Idempotency      Idempotency
	Scope            IdempotencyScope // for IdempotencyKey
	DedupWindow      time.Duration    // for IdempotencyKey: how long duplicates are dropped after the first send
}

// Settings configure a Balancer and stay fixed for its life. Where a comment gives a meaning for the zero value, the
// field is optional; a cost, goal or duration of zero disables the rule that depends on it. CancelAllowed is reserved:
// the module does not use it yet.
type Settings struct {
	Balancers    int // agents that share these backends, this one included; at least 1
	Self         int // this agent's number, from 0
	Zone         int // this agent's zone
	Classes      []Class
	WeightByWork bool          // PriorityWeight counts per unit of work, not per request
	Subscribe    bool          // the agent must request endpoint updates (action Subscribe); otherwise they are pushed
	Tick         time.Duration // shortest interval between two steps; 0: none

	MaxAttempts    int           // attempts per request; 0: 1
	HedgingAllowed bool          // two attempts of one request may be outstanding at once
	ProbingAllowed bool          // Probe actions are allowed
	CancelAllowed  bool          // Cancel actions are allowed
	GossipAllowed  bool          // SendGossip actions are allowed
	RetryAfter     bool          // clients see Refuse.RetryAfter
	MaxRetryAfter  time.Duration // longest Retry-After that clients honor
	ConnectTimeout time.Duration // a connection not established in this time fails

	DrainGrace       time.Duration // sends to a backend are allowed for this time after its drain began
	AnswerGrace      time.Duration // a final answer counts until this time after the request's deadline
	PollInterval     time.Duration // with Subscribe: longest time between polls while not subscribed
	InitialCapacity  float64       // lower bound: a starting backend has at least this share of its full capacity; 0: 1
	SlowStartWindow  time.Duration // a backend reaches full capacity within this time after its start
	OverloadMultiple float64       // a starting backend fails when it is sent more than this multiple of its capacity
	OverloadWindow   time.Duration // span over which OverloadMultiple is measured

	GoalOverall, GoalWorstWindow, GoalWorstClass float64 // weights of: all requests, the worst time window, the worst class
	CrossZoneCost                                float64 // cost of sending to another zone, as a share of the result
	Regions                                      []int   // region of each zone; empty: all zones are in one region
	CrossRegionCost                              float64 // cost of sending to another region; never less than CrossZoneCost
	KeyAffinity                                  bool    // a backend needs less work for a key that it served recently
}

// BackendState is the state of a backend according to the endpoint list.
type BackendState uint8

const (
	Up       BackendState = iota // gets new requests
	Draining                     // finishes its work and gets no new requests
	Removed                      // no longer listed
)

// Backend is one entry of the endpoint list.
type Backend struct {
	ID      string
	State   BackendState
	Zone    int
	Cell    int
	Kind    int
	Weight  float64
	Started time.Duration // when its process last started; 0: not in slow start
}

// Event is an input of Step: something that happened in the agent.
type Event interface{ event() }

// UpdateKind is the kind of an EndpointUpdate.
type UpdateKind uint8

const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // all entries; a missing backend was removed
	UpdateCached                   // all entries, from the cache; may be stale
	UpdateFailed                   // polling failed or the watch broke; the previous list stays in force
)

type (
	// EndpointUpdate carries entries of the endpoint list, or reports that the agent could not get them.
	EndpointUpdate struct {
		Kind     UpdateKind
		Backends []Backend
	}
	// Request is a client's request. It gets exactly one final answer.
	Request struct {
		ID            string
		Class         int
		TimeRemaining time.Duration // until the client stops waiting
		Work          time.Duration // expected work; 0: unknown
		ClientRetry   bool          // the client marked the request as a retry of its own
		AffinityKey   uint64        // hash of the object that the request concerns; 0: unknown
		Streaming     bool          // a large body is still arriving; TimeRemaining runs from BodyComplete
		ResidencyRule int           // number of the residency rule for the request's tenant and class; 0: none
	}
	// Quota is this agent's share of the fleet's concurrency limit, as the fleet assigns it. Until the first Quota
	// arrives, each agent uses an even share.
	Quota struct{ Share float64 }
	// ZoneLatencies are the measured round-trip times from this agent's zone to each zone, by zone number. RTT 0 means
	// unknown or unreachable; Loss distinguishes the two.
	ZoneLatencies struct {
		RTT  []time.Duration
		Loss []float64 // share of measurements without a response
	}
	// Residency sets the residency policy, which is in force from this step on.
	Residency struct{ Table *gate.Table }
	// BodyComplete reports that the last byte of a large body has arrived.
	BodyComplete struct {
		Request       string
		TimeRemaining time.Duration // until the client stops waiting; 0: as long as the Request announced
	}
	// BodyConsumed reports that part of a large body is no longer available, so that no further attempt is possible.
	BodyConsumed struct{ Request string }
	// Outcome ends one attempt. The agent reports exactly one for each Send.
	Outcome struct {
		Request       string
		Attempt       int // attempts of a request count from 0 in the order of their Send
		Backend       string
		Result        Result
		Latency       time.Duration // from the send to the outcome
		Done          bool          // the client has its final answer, through this outcome or earlier
		NewConnection bool          // the agent opened a connection for this attempt
		Load          Load
	}
	// ResponseStarted reports that the response of an attempt has begun to reach the client. The Outcome follows at the
	// end of the response, and its Latency ends at the first byte.
	ResponseStarted struct {
		Request string
		Attempt int
	}
	// Abandoned reports that the client disconnected or cancelled. The request gets no final answer.
	Abandoned struct{ Request string }
	// ProbeResult is the result of a Probe.
	ProbeResult struct {
		Backend string
		Result  Result
		Latency time.Duration
		Load    Load
	}
	// Disable is an operator's override: no new request goes to this backend until Enable, whatever its state in the
	// endpoint list. An OverrideResult follows in the same step.
	Disable struct {
		Call      int64 // identifies the override in the OverrideResult
		Backend   string
		Inherited bool // accepted by an earlier process of this agent: the ID need not be listed yet
	}
	// Enable reverts all earlier Disable events of a backend. The backend then counts as started at At.
	Enable struct {
		Call      int64
		Backend   string
		Inherited bool
		At        time.Duration // when the agent accepted the override; 0: now
	}
	// Drain reports that operators have moved this agent's clients to other agents (On), or have moved them back.
	Drain struct{ On bool }
	// Restore is the first event of a process that takes over from another process of the same agent.
	Restore struct{ Snapshot }
	// TimerFired reports that the delay of a SetTimer has passed.
	TimerFired struct{ Token int64 }
	// GossipReceived carries a message from another agent.
	GossipReceived struct {
		From int
		Data []byte
	}
)

// Load is a backend's own load report. The report may be late and imprecise.
type Load struct {
	Valid        bool
	Queue        float64       // requests waiting; negative: not reported
	Service      time.Duration // recent service time without waiting; negative: not reported
	ErrorsPerSec float64       // negative: not reported
}

// Result is the way in which an attempt or a health check ended.
type Result uint8

const (
	OK            Result = iota // answered successfully
	Errored                     // the backend returned an error; may have executed
	Rejected                    // rejected by the backend before execution
	TimedOut                    // no response in time; may have executed or still be executing
	ConnectFailed               // no connection; never executed
	Reset                       // the connection broke; may have executed
	Cancelled                   // withdrawn by the agent; may have executed
	NotSent                     // never sent
)

// NeverRan reports whether the result proves that the attempt was not executed.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Action is an instruction to the agent. The agent carries out the actions of a Step at once, in the given order. The
// module does not send Cancel yet, but agents should implement it.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. With a Timeout of 0 the attempt lasts until the client stops waiting.
	Send struct {
		Request, Backend string
		Timeout          time.Duration
		SendDeadline     time.Duration // the agent sends the last byte by this time, or does not send; 0: no bound
	}
	// Cancel withdraws an attempt; its Outcome still follows.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is a final answer: the request was not executed, and a retry by the client is safe.
	Refuse struct {
		Request         string
		RetryAfter      time.Duration // 0: no advice
		NoPermittedZone bool          // no permitted zone has a backend that is up
	}
	// Fail is a final answer: the request failed, and may have been executed.
	Fail struct{ Request string }
	// SetTimer asks for a TimerFired after a delay. Timers are never cancelled.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe asks for a health check of a backend, outside any request.
	Probe struct{ Backend string }
	// SendGossip sends a message to another agent. The message may arrive late or not at all.
	SendGossip struct {
		To   int // number of the receiving agent
		Data []byte
	}
	// Subscribe requests endpoint updates from now on.
	Subscribe struct{}
	// ZoneStateChanged reports that traffic failed over from a zone, or that the zone recovers with a growing share of
	// its traffic. It is for monitoring; the agent need not act on it.
	ZoneStateChanged struct {
		Zone       int
		FailedOver bool
		ByGossip   bool // based on reports of other agents
	}
	// OverrideResult is the result of an operator's override: accepted and in force from now on, or rejected.
	OverrideResult struct {
		Call     int64
		Accepted bool // false: no backend has that ID
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
