// Package logging writes log lines without having whoever logs wait for whoever reads them: a pipe may be full, a disk slow.
//
// Lines pass through a queue of fixed length, in order, and are written by one goroutine. What finds the queue full is dropped and
// counted, and a line says so as soon as there is room again.
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
	flushTimeout = 50 * time.Millisecond // for what is queued when the program ends
)

// Logger is a slog.Logger whose lines are queued.
type Logger struct {
	*slog.Logger
	queue *queue
}

// New returns a logger whose lines go to out, in the form of a handler: slog.NewTextHandler or slog.NewJSONHandler.
func New[H slog.Handler](out io.Writer, handler func(io.Writer, *slog.HandlerOptions) H, options *slog.HandlerOptions) *Logger {
	queue := &queue{out: out, directLog: slog.New(handler(out, options)), lines: make(chan []byte, queueLength), closing: make(chan struct{}),
		flushed: make(chan struct{})}
	go queue.run()
	return &Logger{Logger: slog.New(handler(queue, options)), queue: queue}
}

// Close writes what is queued, within a short time, and has later lines dropped. It is called once, at the program's end.
func (l *Logger) Close() {
	close(l.queue.closing)
	select {
	case <-l.queue.flushed:
	case <-time.After(flushTimeout):
	}
}

// queue takes lines as a writer.
type queue struct {
	out       io.Writer
	directLog *slog.Logger // to out, past the queue
	lines     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	flushed   chan struct{} // closed once all is that was queued before closing
}

// Write queues a line. It never waits, and never fails.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line): // the handler uses it again
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until the logger is closed.
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

// write writes a line and then, if lines found no room behind it, how many.
func (q *queue) write(line []byte) {
	_, _ = q.out.Write(line) // one that can't be written is lost: there is nowhere else to say so
	if n := q.dropped.Swap(0); n > 0 {
		q.directLog.Warn("log lines dropped", "count", n)
	}
}
