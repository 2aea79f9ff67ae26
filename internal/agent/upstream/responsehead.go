package upstream

// This file reserves the memory of a response's header as it arrives, before net/http parses it.

import (
	"martenbeam/internal/agent/membudget"
)

// responseHead counts the bytes and the fields of a response's header, with those of informational responses before it.
type responseHead struct {
	memory       *membudget.Reservation // of the attempt's request, which contains a small header; nil: nothing is reserved
	size, fields int
	reserved     int64
	line         int  // bytes of the current line without its ending
	statusClass  byte // first digit of the status; 0: it has not arrived
	inFields     bool // the status line has arrived
	complete     bool // the empty line after the header of the final response has arrived
}

// observe counts bytes that have arrived. It fails if no memory is left for the header.
func (h *responseHead) observe(p []byte) error {
	if h.memory == nil {
		return nil
	}
	for _, c := range p {
		if h.complete {
			break
		}
		h.size++
		h.observeByte(c)
	}
	needed := membudget.HeaderMemory(h.size, h.fields)
	if needed > h.reserved && !h.memory.TryGrow(needed-h.reserved) {
		return errHeaderMemory
	}
	h.reserved = max(h.reserved, needed)
	return nil
}

// observeByte counts one byte.
func (h *responseHead) observeByte(c byte) {
	switch {
	case c == '\r':
	case c != '\n':
		if h.line == statusOffset && !h.inFields {
			h.statusClass = c
		}
		h.line++
	case h.line > 0:
		h.fields++
		h.line, h.inFields = 0, true
	case h.inFields:
		h.complete = h.statusClass != '1'
		h.inFields = false
	}
}
