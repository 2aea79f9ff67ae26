package model

// The properties of an emulated backend, its jobs and their completions.

import "time"

// Spec describes a backend. Shares are from 0 to 1.
type Spec struct {
	ID               string
	Zone, Cell, Kind int
	Cores            int
	Speed            float64       // of one core, as a multiple of the reference core
	Slots            int           // requests served at once
	QueueCapacity    int           // requests that wait while all slots are in use
	ThrashLoss       float64       // share of capacity lost when requests per core reach twice ThrashAt
	ThrashAt         float64       // requests in service per core above which capacity is lost
	InitialCapacity  float64       // share of the capacity right after a start
	SlowStartWindow  time.Duration // from the start until full capacity
	OverloadMultiple float64       // the backend crashes if the work sent in slow start exceeds this multiple of the present capacity
	OverloadWindow   time.Duration // span over which OverloadMultiple applies; 0: the backend never crashes
	DegradeAt        float64       // requests per core, running or queued, above which the backend is overloaded; 0: the backend never degrades
	DegradeAfter     time.Duration // span of overload after which the backend degrades
	DegradeFactor    float64       // divides the capacity of a degraded backend
	RecoverAfter     time.Duration // mostly idle span after which a degraded backend recovers
	MaxDegraded      time.Duration // span after which a degraded backend recovers at any load
	MaxConns         int           // limit on open connections; 0: none
	Handshake        time.Duration // work of accepting a connection
	ErrorRate        float64       // share of requests answered with an error
	KeySaving        float64       // share of the work saved for a cached key
	KeyTTL           time.Duration // span for which a key stays cached after its last use
	MaxKeys          int           // keys cached at once
	DropsCancelled   bool          // the backend drops a queued request when the agent cancels the request
	ProbeWork        time.Duration // work of a health check
	Weight           float64       // in the endpoint list
}

// Capacity returns the work done in a second at full capacity, in seconds of a reference core.
func (s *Spec) Capacity() float64 { return float64(s.Cores) * s.Speed }

// Job is the work of one attempt that has reached a backend.
type Job struct {
	Attempt       uint64 // the attempt's number in the lab, unique in a run
	Key           uint64 // a hash of the request's key; 0: none
	Work          time.Duration
	Agent         int
	ErrorDraw     float64 // from 0 to 1; a job whose draw is below the error rate gets an error response
	NewConnection bool    // a connection was opened for this attempt
	StartKnown    bool    // the agent had received the backend's start from discovery
}

// Result is how a job ended.
type Result uint8

// The results of a job.
const (
	Served   Result = iota
	Failed          // answered with an error; the effect may have happened
	Rejected        // rejected before any work was done
	Dropped         // cancelled by its agent while it was queued
	Lost            // the backend stopped first, and sends no response
)

// String returns the result as the lab's reports contain it.
func (r Result) String() string {
	return [...]string{"served", "failed", "turned away", "dropped", "lost"}[r]
}

// Completion describes the end of a job.
type Completion struct {
	Job
	At        time.Duration
	Result    Result
	Ran       bool // the job's effect happened
	QueuedFor time.Duration
}

// State determines how a backend handles new jobs.
type State uint8

// The states of a backend.
const (
	Up State = iota
	Draining
	Removed    // the process has ended; new connections are refused
	Silent     // the machine is lost, or partitioned from all others: the backend sends no response
	Overloaded // crashed by too much work during slow start
)
