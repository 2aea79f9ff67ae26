package agent

// Which classes of requests have answers that are streamed, so that their requests are admitted like other streams.

import (
	"math"
	"strings"
	"sync/atomic"
)

// streamedWeight is the weight of the latest answer in a class's share of streamed answers.
const streamedWeight = 0.1

// mostlyStreamed is the share of streamed answers from which the requests of a class are admitted as streams.
const mostlyStreamed = 0.5

// streamedShares are the shares of streamed answers among the latest ones of each class. The event loop adds to them, any goroutine may
// read them.
type streamedShares []atomic.Uint64 // the bits of a float64 from 0 to 1, indexed by class

// record counts an answer of a class.
func (s streamedShares) record(class int, streamed bool) {
	share := s.share(class) * (1 - streamedWeight)
	if streamed {
		share += streamedWeight
	}
	s[class].Store(math.Float64bits(share))
}

func (s streamedShares) share(class int) float64 { return math.Float64frombits(s[class].Load()) }

// hasStreamedAnswers reports whether most answers to requests like this one are streamed.
func (f *frontend) hasStreamedAnswers(path string) bool {
	class, known := f.classIndex[classOf(path)]
	return known && f.loop.streamedShares.share(class) > mostlyStreamed
}

// classOf returns the first element of a path, which names the class of its requests.
func classOf(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}
