package scale

// What this process uses, and whether the machine keeps up.

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// processCPU returns the processor time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // its arguments are constants
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stolenTime returns how much processor time the machine's host has given to other machines, and the total, in clock
// ticks since the system's start; 0, 0 if it is not known.
func stolenTime() (steal, total float64) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line)[1:] {
		n, _ := strconv.ParseFloat(field, 64) // the kernel writes numbers
		if i < 8 {                            // user time already includes guests' time
			total += n
		}
		if i == 7 {
			steal = n
		}
	}
	return steal, total
}

// residentBytes returns this process's resident memory; 0 if it is not known.
func residentBytes() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64) // the kernel writes numbers
	return pages * float64(os.Getpagesize())
}

// memory collects garbage, and returns the heap in use and the resident memory, in bytes.
func memory() (heap, rss float64) {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), residentBytes()
}

// lateness tells whether the machine keeps up with a run: how late a timer of beatInterval fires.
type lateness struct {
	end  chan struct{}
	done sync.WaitGroup
	late []time.Duration
}

const beatInterval = 10 * time.Millisecond

func watchLateness() *lateness {
	l := &lateness{end: make(chan struct{})}
	l.done.Go(func() {
		for due := time.Now().Add(beatInterval); ; {
			select {
			case <-l.end:
				return
			case <-time.After(time.Until(due)):
			}
			now := time.Now()
			l.late = append(l.late, now.Sub(due))
			due = now.Add(beatInterval)
		}
	})
	return l
}

// stop ends the timer, and returns the 99th percentile and the maximum of its lateness.
func (l *lateness) stop() (p99, most time.Duration) {
	close(l.end)
	l.done.Wait()
	return quantile(l.late, 0.99), quantile(l.late, 1)
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(list))
	return s[int(math.Ceil(q*float64(len(s)-1)))]
}
