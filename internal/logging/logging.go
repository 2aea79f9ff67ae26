// Package logging provides loggers that never block their callers on the output: a pipe may be full, a disk slow.
//
// Lines pass in order through a queue of fixed length and are written by one goroutine. Lines that find the queue full are
// dropped and counted, and a line reports the count as soon as there is room again.
package logging

import (
	"io"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"
)

const (
	queueLength  = 256                   // lines; an agent logs a few a second at its worst
	flushTimeout = 50 * time.Millisecond // bounds how long Close waits for the output
)

// Logger is a slog.Logger whose lines are queued. It may be used by several goroutines at once.
type Logger struct {
	*slog.Logger
	queue *queue
}

// New returns a logger that writes to out in the format of a handler: slog.NewTextHandler or slog.NewJSONHandler. options may be
// nil. The logger must be closed; until then it owns a goroutine.
func New[H slog.Handler](out io.Writer, handler func(io.Writer, *slog.HandlerOptions) H, options *slog.HandlerOptions) *Logger {
	queue := &queue{out: out, log: slog.New(handler(out, options)), lines: make(chan []byte, queueLength),
		closing: make(chan struct{}),
		flushed: make(chan struct{})}
	go queue.run()
	return &Logger{Logger: slog.New(handler(queue, options)), queue: queue}
}

// Close writes the queued lines, for 50 ms at most, and drops later ones. It must be called once, at the end of the program.
func (l *Logger) Close() {
	close(l.queue.closing)
	select {
	case <-l.queue.flushed:
	case <-time.After(flushTimeout):
	}
}

// queue is the writer of the logger's handler.
type queue struct {
	out     io.Writer
	log     *slog.Logger // writes to out without the queue
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	flushed chan struct{} // closed once all lines are written that were queued before closing
}

// Write queues a line. It never blocks and never fails.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line): // the handler reuses it
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until the logger is closed.
func (q *queue) run() {
	defer close(q.flushed)
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.closing:
			for range len(q.lines) {
				q.write(<-q.lines)
			}
			return
		}
	}
}

// write writes a line and then, if lines were dropped since, how many.
func (q *queue) write(line []byte) {
	_, _ = q.out.Write(line) // a line that can't be written is lost: there is nowhere to report it
	if n := q.dropped.Swap(0); n > 0 {
		q.log.Warn("log lines dropped", "count", n)
	}
}
