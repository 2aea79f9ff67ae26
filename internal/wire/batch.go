// Package wire translates between the bench's JSON lines and balancer's
// events and actions. It decides nothing.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"martenbeam/balancer"
)

// OpenInstance tells that an instance starts with no state.
type OpenInstance struct {
	Seed     uint64
	Settings balancer.Settings
}

// Event is one event of a batch, with the instance it belongs to. Exactly one
// of Open, Retire and Event is set.
type Event struct {
	Line   int // line number in the stream, from 1
	Agent  int
	Open   *OpenInstance
	Retire bool
	Event  balancer.Event
}

// Batch holds what happened at one instant.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in          *bufio.Reader
	line        int
	sheets      map[int][]balancer.Backend
	classCounts map[int]int // number of classes of each open instance
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), sheets: map[int][]balancer.Backend{}, classCounts: map[int]int{}}
}

// Next reads one batch. It returns io.EOF where the input ends between batches.
func (r *Reader) Next() (*Batch, error) {
	var batch *Batch
	for {
		line, err := r.in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if batch != nil {
				return nil, fmt.Errorf("line %d: the input ends within a batch", r.line)
			}
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
			if err := r.decodeEvent(batch, &msg); err != nil {
				return nil, fmt.Errorf("line %d: %s: %w", r.line, msg.Kind, err)
			}
		}
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
