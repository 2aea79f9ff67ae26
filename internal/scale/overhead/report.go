package overhead

// The result of measurements, and its file. The JSON keys must not change when a field is renamed, since saved files
// contain them.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"
)

// Quantiles summarizes the latencies of calls, in ms.
type Quantiles struct {
	N                  int     `json:"N"` // calls
	P50                float64 `json:"P50"`
	P99                float64 `json:"P99"`
	P999               float64 `json:"P999"`
	Max                float64 `json:"Most"`
	NewConnectionShare float64 `json:"FreshShare"` // share of calls on a new connection to the backend
	InboundP99         float64 `json:"In99"`       // from sending to the backend's handler
	OutboundP99        float64 `json:"Out99"`      // from the end of the backend's handler until the response was read
}

// Row is the result of one workload in one run.
type Row struct {
	Window string `json:"Window"`
	Workload
	Direct             Quantiles `json:"Direct"`
	Through            Quantiles `json:"Through"`              // calls through the agent
	AfterChange        Quantiles `json:"After,omitzero"`       // of Through, the calls soon after a change of the list
	OtherTimes         Quantiles `json:"Rest,omitzero"`        // of Through, all other calls
	AfterChangeDirect  Quantiles `json:"AfterDirect,omitzero"` // of Direct, the calls soon after a change of the list
	OtherTimesDirect   Quantiles `json:"RestDirect,omitzero"`  // of Direct, all other calls
	Changes            int       `json:"Changes,omitempty"`    // changes of the list
	Failed             int       `json:"Failed"`               // failed calls through the agent
	FailedDirect       int       `json:"FailedDirect"`         // failed direct calls
	FirstError         string    `json:"Why,omitempty"`        // the error of a failed call
	LatenessP99        float64   `json:"LateP99"`              // delay from a call's planned time to its sending, ms
	ResidentMB         float64   `json:"ResidentMB"`           // largest resident memory of one agent, MiB
	CPUMillisPerSecond float64   `json:"CPUms"`                // mean processor time of one agent, ms a second
	Slowest            Slowest   `json:"Slowest"`
}

// Slowest describes the slowest hundredth of the calls through the agent. Inbound is the mean time from sending to the
// backend's handler, and Outbound the mean time from the handler's end until the response was read, both in ms.
// NewConnectionShare is the share of these calls on a new connection to the backend.
type Slowest struct {
	Inbound            float64 `json:"In"`
	Outbound           float64 `json:"Out"`
	NewConnectionShare float64 `json:"FreshShare"`
}

// IdleRow is the resource usage of an agent without calls.
type IdleRow struct {
	ListSize           int     `json:"List"` // backends in the endpoint list
	ResidentMB         float64 `json:"ResidentMB"`
	CPUMillisPerSecond float64 `json:"CPUms"` // processor time
}

// Result holds all runs of a measurement.
type Result struct {
	How  string `json:"How"` // the command that makes the measurement
	Runs []Run  `json:"Runs"`
}

// Run is one run of all windows.
type Run struct {
	At   time.Time `json:"At"` // start of the run, in UTC
	Rows []Row     `json:"Rows"`
	Idle []IdleRow `json:"Idle"`
	// Stolen is the share of the cores' time that the machine's host gave to other machines during the run; 0: none, or
	// not measured.
	Stolen float64 `json:"Stolen"`
}

// Load reads a saved result. A file that does not exist is an empty result.
func Load(file string) (*Result, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return &Result{}, nil
	}
	r := &Result{}
	if err == nil {
		err = json.Unmarshal(text, r)
	}
	if err != nil {
		return r, fmt.Errorf("reading the result %s: %w", file, err)
	}
	return r, nil
}

// Save writes the result to FILE.json and its tables to FILE.md. It overwrites existing files.
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
