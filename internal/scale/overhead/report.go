package overhead

import (
	"encoding/json"
	"os"
	"time"
)

// Quantiles is quantiles of latencies, in ms.
type Quantiles struct {
	N                  int     `json:"N"`
	P50                float64 `json:"P50"`
	P99                float64 `json:"P99"`
	P999               float64 `json:"P999"`
	Max                float64 `json:"Most"`
	NewConnectionShare float64 `json:"FreshShare"` // share of calls on a new connection to the backend
	InboundP99         float64 `json:"In99"`       // p99 of the way to the backend
	OutboundP99        float64 `json:"Out99"`      // p99 of the way back
}

// Row is what one cell showed in one run.
type Row struct {
	Window string `json:"Window"`
	Workload
	Direct             Quantiles `json:"Direct"`
	Through            Quantiles `json:"Through"`
	AfterChange        Quantiles `json:"After,omitzero"`
	OtherTimes         Quantiles `json:"Rest,omitzero"`
	AfterChangeDirect  Quantiles `json:"AfterDirect,omitzero"`
	OtherTimesDirect   Quantiles `json:"RestDirect,omitzero"`
	Changes            int       `json:"Changes,omitempty"`
	Failed             int       `json:"Failed"`
	FailedDirect       int       `json:"FailedDirect"`
	FirstError         string    `json:"Why,omitempty"`
	LatenessP99        float64   `json:"LateP99"`    // of the caller itself
	ResidentMB         float64   `json:"ResidentMB"` // of one agent
	CPUMillisPerSecond float64   `json:"CPUms"`      // of one agent, for each second
	Slowest            Slowest   `json:"Slowest"`
}

// Slowest is what the slowest hundredth of the calls through the agent spent, in ms, in the mean: on the way to the backend's handler, and
// back from there; and the share that went on a new connection.
type Slowest struct {
	Inbound            float64 `json:"In"`
	Outbound           float64 `json:"Out"`
	NewConnectionShare float64 `json:"FreshShare"`
}

// IdleRow is what an agent uses that nobody calls.
type IdleRow struct {
	ListSize           int     `json:"List"`
	ResidentMB         float64 `json:"ResidentMB"`
	CPUMillisPerSecond float64 `json:"CPUms"` // for each second
}

// Result is every run.
type Result struct {
	How  string `json:"How"`
	Runs []Run  `json:"Runs"`
}

// Run is one of them.
type Run struct {
	At   time.Time `json:"At"`
	Rows []Row     `json:"Rows"`
	Idle []IdleRow `json:"Idle"`
	// Stolen is the share of the cores' time that the system's host gave to others meanwhile; 0 may be: not measured.
	Stolen float64 `json:"Stolen"`
}

// Load reads a result that was saved; none yet is an empty one.
func Load(file string) (*Result, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return &Result{}, nil
	}
	r := &Result{}
	if err == nil {
		err = json.Unmarshal(text, r)
	}
	return r, err
}

// Save writes the result, rounded, to FILE.json and its tables to FILE.md.
func (r *Result) Save(file string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(file+".json", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(file+".md", []byte(r.Markdown()), 0o644)
}
