// Package logging provides loggers that never block their callers when the output blocks, such as a full pipe or a slow
// disk.
//
// Lines pass in order through a queue of fixed length and are written by one goroutine. While the queue is full, new lines
// are dropped and counted; the count is logged after the next line that is written.
package logging

import (
	"io"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"
)

const (
	queueLength  = 256                   // lines; an agent logs at most a few per second
	flushTimeout = 50 * time.Millisecond // bounds how long Close waits for the output
)

// Logger is a slog.Logger whose lines are queued. A Logger may be used by several goroutines at once.
type Logger struct {
	*slog.Logger
	queue *queue
}

// New returns a logger that writes to out in the format of a handler: slog.NewTextHandler or slog.NewJSONHandler. options may be
// nil. The caller must call Close, which also stops the logger's goroutine.
func New[H slog.Handler](out io.Writer, handler func(io.Writer, *slog.HandlerOptions) H, options *slog.HandlerOptions) *Logger {
	queue := &queue{out: out, log: slog.New(handler(out, options)), lines: make(chan []byte, queueLength),
		closing: make(chan struct{}),
		flushed: make(chan struct{})}
	go queue.run()
	return &Logger{Logger: slog.New(handler(queue, options)), queue: queue}
}

// Close waits up to 50 ms for the queued lines to be written. Lines that are logged later are lost. Close must be called
// once, at the end of the program.
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
	closing chan struct{} // closed by Close
	flushed chan struct{} // closed once all lines that were queued before Close are written
}

// Write queues a line. It never blocks and never fails.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line): // the handler reuses the buffer
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

// write writes a line and then, if lines were dropped since the last report, their count.
func (q *queue) write(line []byte) {
	_, _ = q.out.Write(line) // a write error is ignored, because it can't be logged either
	if n := q.dropped.Swap(0); n > 0 {
		q.log.Warn("log lines dropped", "count", n)
	}
}
