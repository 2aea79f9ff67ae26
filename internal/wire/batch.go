// Package wire translates between the JSON lines of the simulation bench and the events and actions of package balancer.
// The package makes no decisions.
//
// The input is a sequence of batches. A batch is a Frame line with the simulation's time, one line for each event or
// definition of an endpoint list, and an End line. The reply to a batch consists of action lines and an
// Eor line. The bench defines the names of messages and fields.
package wire

// Reading the input and dividing it into batches.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"martenbeam/balancer"
)

// OpenInstance starts a balancer instance without any state.
type OpenInstance struct {
	Seed     uint64 // of all random choices of the instance
	Settings balancer.Settings
}

// Event is one event of a batch, with the instance that it belongs to. Exactly one of Open, Retire and Event is set.
type Event struct {
	Line   int // line number in the input, from 1
	Agent  int // number of the instance
	Open   *OpenInstance
	Retire bool // terminates the instance immediately
	Event  balancer.Event
}

// Batch holds the events of one instant.
type Batch struct {
	Now    time.Duration // the simulation's clock
	Events []Event       // in the order of the input
}

// Reader reads batches. A Reader must be used by one goroutine at a time.
type Reader struct {
	in            *bufio.Reader
	line          int                        // number of the last line read
	endpointLists map[int][]balancer.Backend // endpoint lists that DefineList messages have defined, by number
	classCounts   map[int]int                // number of request classes of each open instance, by instance number
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), endpointLists: map[int][]balancer.Backend{}, classCounts: map[int]int{}}
}

// Next reads one batch. It returns io.EOF if the input ends between batches. Any other error names the line. The Reader
// must not be used after an error.
func (r *Reader) Next() (*Batch, error) {
	var batch *Batch
	for {
		msg, err := r.nextMessage()
		if errors.Is(err, io.EOF) && batch != nil {
			return nil, fmt.Errorf("line %d: the input ends within a batch", r.line)
		}
		if err != nil {
			return nil, err
		}
		switch {
		case msg.Kind == "Frame" && batch == nil && msg.ClockMs != nil:
			batch = &Batch{Now: fromMillis(*msg.ClockMs)}
		case msg.Kind == "Frame" && batch == nil:
			return nil, fmt.Errorf("line %d: Frame: missing ClockMs", r.line)
		case msg.Kind == "Frame":
			return nil, fmt.Errorf("line %d: Frame within a batch", r.line)
		case batch == nil:
			return nil, fmt.Errorf("line %d: %q outside a batch", r.line, msg.Kind)
		case msg.Kind == "End":
			return batch, nil
		default:
			if err := r.decodeEvent(batch, msg); err != nil {
				return nil, fmt.Errorf("line %d: %s: %w", r.line, msg.Kind, err)
			}
		}
	}
}

// nextMessage reads the next line that is not blank. It returns io.EOF, unwrapped, at the end of the input.
func (r *Reader) nextMessage() (*message, error) {
	for {
		line, err := r.in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil, io.EOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
		r.line++
		if isBlank(line) {
			continue
		}
		var msg message
		if err := json.Unmarshal(line, &msg); err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		}
		return &msg, nil
	}
}

func isBlank(text []byte) bool {
	for _, char := range text {
		if char != ' ' && char != '\t' && char != '\r' && char != '\n' {
			return false
		}
	}
	return true
}
