package model

// The properties of an emulated backend, and what reaches and leaves it.

import "time"

// Spec describes a backend. Shares are from 0 to 1.
type Spec struct {
	ID               string
	Zone, Cell, Kind int
	Cores            int
	Speed            float64       // of one core, as a multiple of the reference core
	Slots            int           // requests served at once
	QueueCapacity    int           // requests that wait beyond these
	ThrashLoss       float64       // share of capacity lost when requests per core reach twice ThrashAt
	ThrashAt         float64       // requests in service per core above which capacity is lost
	InitialCapacity  float64       // share of its capacity right after a start
	SlowStartWindow  time.Duration // from the start until full capacity
	OverloadMultiple float64       // work sent in slow start above this multiple of the present capacity ...
	OverloadWindow   time.Duration // ... over this span crashes it; 0: never
	DegradeAt        float64       // requests per core above which it is overloaded; 0: it never degrades
	DegradeAfter     time.Duration // span of overload after which it degrades
	DegradeFactor    float64       // by which it is slower then
	RecoverAfter     time.Duration // span of being mostly idle after which it recovers
	MaxDegraded      time.Duration // after which it recovers in any case
	MaxConns         int           // open connections it accepts; 0: no limit
	Handshake        time.Duration // work of accepting a connection
	ErrorRate        float64       // share of requests answered with an error
	KeySaving        float64       // share of the work saved for a cached key
	KeyTTL           time.Duration // for which a key stays cached
	MaxKeys          int           // keys cached at once
	DropsCancelled   bool          // queued work is dropped once its agent has cancelled it
	ProbeWork        time.Duration // work of a health check
	Weight           float64       // in the endpoint list
}

// Capacity returns the work done in a second at full capacity, in seconds of a reference core.
func (s *Spec) Capacity() float64 { return float64(s.Cores) * s.Speed }

// Job is one attempt that has reached a backend.
type Job struct {
	Attempt       uint64 // its number in the lab, unique in a run
	Key           uint64 // a hash of what it concerns; 0: none
	Work          time.Duration
	Agent         int
	ErrorDraw     float64 // from 0 to 1: below the error rate the answer is an error
	NewConnection bool    // a connection was opened for it
	StartKnown    bool    // its agent knew when the backend had started
}

// Result says how a job ended.
type Result uint8

// The results of a job.
const (
	Served   Result = iota
	Failed          // answered with an error; the effect may have happened
	Rejected        // before any work was done
	Dropped         // cancelled by its agent while it was queued
	Lost            // the backend ended first: there is no answer
)

// String returns the result as the lab's reports have it.
func (r Result) String() string {
	return [...]string{"served", "failed", "turned away", "dropped", "lost"}[r]
}

// Completion is the end of a job.
type Completion struct {
	Job
	At        time.Duration
	Result    Result
	Ran       bool // the job's effect happened
	QueuedFor time.Duration
}

// State says how a backend treats what reaches it.
type State uint8

// The states of a backend.
const (
	Up State = iota
	Draining
	Removed    // its process has ended: connections are refused
	Silent     // lost, or cut off from everyone: nothing is answered
	Overloaded // crashed by too much work during slow start
)
