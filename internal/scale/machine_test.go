package scale

// Resource usage of this process, and checks that the machine keeps up.

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
		panic(err) // Getrusage does not fail with these constant arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stolenTime returns the processor time that the machine's host has given to other machines and the total processor time,
// in clock ticks since the system's start. It returns 0, 0 if /proc/stat cannot be read.
func stolenTime() (stolen, total float64) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line)[1:] {
		n, _ := strconv.ParseFloat(field, 64) // the kernel writes numbers
		if i < 8 {                            // user time already includes guest time
			total += n
		}
		if i == 7 {
			stolen = n
		}
	}
	return stolen, total
}

// residentBytes returns this process's resident memory in bytes; 0 if /proc/self/statm cannot be read.
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

// lateness records the delays with which a timer of beatInterval fires. Long delays show that the machine is too busy for
// a run.
type lateness struct {
	end  chan struct{}
	done sync.WaitGroup
	late []time.Duration
}

const beatInterval = 10 * time.Millisecond

// watchLateness starts the timer, which runs until stop.
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

// stop ends the timer, and returns the 99th percentile and the maximum of its delays.
func (l *lateness) stop() (p99, maxDelay time.Duration) {
	close(l.end)
	l.done.Wait()
	return quantile(l.late, 0.99), quantile(l.late, 1)
}

// quantile returns the q-quantile of an unsorted list; 0 for an empty list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(list))
	return s[int(math.Ceil(q*float64(len(s)-1)))]
}
