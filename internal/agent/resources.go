package agent

// The line "resources" of the log: what clients make the process hold and do.

import (
	"log/slog"
	"net/http"
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"martenbeam/internal/agent/membudget"
)

// rejectionCounts count what the frontend rejected since the last summary without the balancer. Any goroutine may add to them.
type rejectionCounts struct {
	byClass   [membudget.Request + 1]atomic.Int64 // requests for want of memory, by the class of the memory
	duplicate atomic.Int64                        // requests whose id had come before
	overOpen  atomic.Int64                        // requests over the limit on open ones
	late      atomic.Int64                        // requests that did not arrive in time
	tooLong   atomic.Int64                        // requests whose header was too long
}

// countRefusal counts a connection that was closed with a status before its request was served, other than for want of memory.
func (c *rejectionCounts) countRefusal(status int) {
	switch status {
	case http.StatusRequestTimeout:
		c.late.Add(1)
	case http.StatusRequestHeaderFieldsTooLarge:
		c.tooLong.Add(1)
	}
}

// usage is what the process has used since its start.
type usage struct {
	cpu, collector time.Duration // processor time in all, and of it in garbage collections
}

// goMemory is the memory that the Go runtime holds, in bytes: all objects, those that the last collection found in use, and stacks.
type goMemory struct{ heap, live, stacks uint64 }

// readUsage returns the usage since the start, and the memory now.
func readUsage() (u usage, m goMemory) {
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	u.collector = time.Duration(samples[0].Value.Float64() * float64(time.Second))
	m = goMemory{samples[1].Value.Uint64(), samples[2].Value.Uint64(), samples[3].Value.Uint64()}
	var spent syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &spent); err == nil { // else 0
		u.cpu = time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
	}
	return u, m
}

// residentMemory returns the resident anonymous memory of the process in kB; 0: unknown.
func residentMemory() int64 {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	line, _, _ := strings.Cut(rest, "kB")
	size, _ := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
	return size
}

// resourceLog logs the line "resources". Only the event loop's goroutine uses it.
type resourceLog struct {
	log  *slog.Logger
	last usage
}

// write logs what the process holds now, and what it did since the last call. stepDelay is the longest time by which a step of the
// event loop was late since then: the process stood still, or had no processor.
func (r *resourceLog) write(f *frontend, stepDelay time.Duration) {
	now, memory := readUsage()
	forMemory := func(class membudget.Class) int64 { return f.rejections.byClass[class].Swap(0) }
	r.log.Info("resources", "connections", f.connCount.Load(), "serving", f.openRequests.Load(), "reserved", f.loop.pool.Memory.Used()>>10,
		"heap", memory.heap>>10, "live", memory.live>>10, "stacks", memory.stacks>>10, "resident", residentMemory(), "cpu", now.cpu-r.last.cpu, "collector", now.collector-r.last.collector,
		"step_delay", stepDelay, "no_memory_small", forMemory(membudget.Request), "no_memory_buffered", forMemory(membudget.Buffer),
		"no_memory_streamed", forMemory(membudget.Stream), "no_memory_arriving", forMemory(membudget.Arrival), "no_memory_answer", f.loop.answerRefusals.Swap(0),
		"over_open", f.rejections.overOpen.Swap(0), "duplicate", f.rejections.duplicate.Swap(0), "arrived_late", f.rejections.late.Swap(0),
		"header_too_long", f.rejections.tooLong.Swap(0))
	r.last = now
}
