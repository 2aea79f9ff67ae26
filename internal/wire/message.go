package wire

// The messages of the input as JSON, and the translation of their values to types of package balancer.

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"time"

	"martenbeam/balancer"
)

// listItem is one endpoint of a DefineList message.
type listItem struct {
	Backend      string  `json:"Backend"`
	Availability string  `json:"Availability"`
	Rating       float64 `json:"Rating"`
	Block        int     `json:"Block"`
	LaunchedMs   float64 `json:"LaunchedMs"`
	Sku          int     `json:"Sku"`
	Dc           int     `json:"Dc"`
}

// message holds the fields of all messages. A field is a pointer if some message requires it, so that its absence is detected.
type message struct {
	Kind       string             `json:"msg"`
	ClockMs    *float64           `json:"ClockMs"`
	Agent      *int               `json:"Agent"`
	RandomSeed *uint64            `json:"RandomSeed"`
	Facts      json.RawMessage    `json:"Facts"`
	Sheet      *int               `json:"Sheet"`
	Items      *[]listItem        `json:"Items"`
	How        *string            `json:"How"`
	Job        *string            `json:"Job"`
	TierClass  *int               `json:"TierClass"`
	GraceMs    *float64           `json:"GraceMs"`
	WorkHintMs float64            `json:"WorkHintMs"`
	StateBits  int                `json:"StateBits"`
	Item       string             `json:"Item"`
	Outcome    *string            `json:"Outcome"`
	WaitTimeMs *float64           `json:"WaitTimeMs"`
	Backend    *string            `json:"Backend"`
	SendNo     *int               `json:"SendNo"`
	Ended      bool               `json:"Ended"`
	Usage      map[string]float64 `json:"Usage"`
	Cookie     *int64             `json:"Cookie"`
	From       *int               `json:"From"`
	PeerData   *string            `json:"Msg"`
}

// Bits of message.StateBits.
const (
	stateWorkHintValid = 1 // WorkHintMs is set
	stateClientRetry   = 2 // the request is a retry by the client
)

// resultsByOutcome translates message.Outcome.
var resultsByOutcome = map[string]balancer.Result{
	"pass": balancer.OK, "fault": balancer.Errored, "no_room": balancer.Rejected,
	"too_slow": balancer.TimedOut, "no_route": balancer.ConnectFailed, "cut": balancer.Reset,
	"undone": balancer.Cancelled, "stale_send": balancer.NotSent,
}

// updateKinds translates message.How.
var updateKinds = map[string]balancer.UpdateKind{
	"diff": balancer.UpdateDelta, "snapshot": balancer.UpdateFull,
	"disk": balancer.UpdateCached, "error": balancer.UpdateFailed,
}

// backendStates translates listItem.Availability.
var backendStates = map[string]balancer.BackendState{
	"on": balancer.Up, "fading": balancer.Draining, "off": balancer.Removed,
}

// AffinityKey returns a hash of a request's item. Every process computes the same hash. An empty item has the key 0.
func AffinityKey(item string) uint64 {
	if item == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(item)) // never fails
	return h.Sum64()
}

// ParseLoad translates a load report. If the report is nil, Valid is false in the result. A value that the report
// lacks becomes -1.
func ParseLoad(usage map[string]float64) balancer.Load {
	load := balancer.Load{Valid: usage != nil, Queue: -1, Service: -1, ErrorsPerSec: -1}
	if value, ok := usage["backlog"]; ok {
		load.Queue = value
	}
	if value, ok := usage["recent_ms"]; ok {
		load.Service = fromMillis(value)
	}
	if value, ok := usage["errors_per_s"]; ok {
		load.ErrorsPerSec = value
	}
	return load
}

// fromMillis converts milliseconds, rounded to the nanosecond.
func fromMillis(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }
