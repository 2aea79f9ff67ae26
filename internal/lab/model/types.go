package model

// The properties of an emulated backend, and what reaches and leaves it.

import "time"

// Spec is what a machine is.
type Spec struct {
	ID               string
	Zone, Cell, Kind int
	Cores            int
	Speed            float64       // of one core; 1 is the yardstick
	Slots            int           // requests in work at once
	QueueCapacity    int           // requests that wait beyond these
	ThrashLoss       float64       // share of capacity lost when held requests per core are twice ThrashAt or more
	ThrashAt         float64       // requests in work per core from which on it loses some
	InitialCapacity  float64       // share of its capacity right after a start, 0 to 1
	SlowStartWindow  time.Duration // from then until it is warm
	OverloadMultiple float64       // sent more than this multiple of its present capacity while cold ...
	OverloadWindow   time.Duration // ... over this span, it falls over; 0: never
	DegradeAt        float64       // held requests per core past which it is crowded; 0: never chokes
	DegradeAfter     time.Duration // crowded for so long, it turns slower
	DegradeFactor    float64       // by this factor
	RecoverAfter     time.Duration // until it has been mostly idle for so long
	MaxDegraded      time.Duration // or so long has passed
	MaxConns         int           // open connections it takes; 0: any number
	Handshake        time.Duration // work of a new connection
	ErrorRate        float64       // share of requests answered with an error
	KeySaving        float64       // share of the work saved for a key met lately
	KeyTTL           time.Duration // what lately means
	MaxKeys          int           // keys that it remembers
	DropsCancelled   bool          // waiting work is dropped once its agent has given it up
	ProbeWork        time.Duration
	Weight           float64 // as the list tells it
}

// Capacity is the work that it does in a second when warm, in seconds.
func (s *Spec) Capacity() float64 { return float64(s.Cores) * s.Speed }

// Job is one attempt that has reached a machine.
type Job struct {
	Attempt       uint64 // the lab's number for it
	Key           uint64 // 0: none
	Work          time.Duration
	Agent         int
	ErrorDraw     float64 // 0 to 1: decides whether it meets an error
	NewConnection bool    // it came on a new connection
	StartKnown    bool    // its agent knew that the machine had started
}

// Result says how a job ended.
type Result uint8

const (
	Served   Result = iota
	Failed          // the machine answered with an error; it may have run
	Rejected        // turned away unseen
	Dropped         // given up by its agent before it was started
	Lost            // the machine went away under it: no answer
)

func (r Result) String() string {
	return [...]string{"served", "failed", "turned away", "dropped", "lost"}[r]
}

// Completion is the end of a job.
type Completion struct {
	Job
	At        time.Duration
	Result    Result
	Ran       bool // its effect happened
	QueuedFor time.Duration
}

// State says what a machine does with what reaches it.
type State uint8

const (
	Up State = iota
	Draining
	Removed    // its process has ended: connections to it are refused
	Silent     // it is lost or cut off from everyone: it says nothing
	Overloaded // pushed over while cold
)

