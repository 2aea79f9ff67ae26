package logging

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer that blocks while its lock is held.
type blockedWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
	err  error
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text.Write(p)
	return len(p), b.err
}

// Lines are written unbroken and in order, including those queued when the logger is closed.
func TestLinesAreWrittenInOrder(t *testing.T) {
	var out blockedWriter
	l := New(&out, slog.NewTextHandler, nil)
	for i := range 200 {
		l.Info("line", "n", i)
	}
	l.Close()
	lines := strings.Split(strings.TrimSuffix(out.text.String(), "\n"), "\n")
	if len(lines) != 200 {
		t.Fatalf("%d lines written, want 200", len(lines))
	}
	for i, line := range lines {
		if !strings.HasSuffix(line, fmt.Sprint("n=", i)) {
			t.Errorf("line %d is %s, want it to end with its number", i, line)
		}
	}
}

// Logging does not block while the writer is blocked, and Close returns soon after the writer continues. Dropped lines are
// counted.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	var out blockedWriter
	out.mu.Lock()
	l := New(&out, slog.NewJSONHandler, nil)
	const lines = queueLength + 100
	for i := range lines {
		l.Info("line", "n", i)
	}
	startedAt := time.Now()
	out.err = errors.New("no space left") // write errors are ignored
	out.mu.Unlock()
	l.Close()
	if elapsed := time.Since(startedAt); elapsed > time.Second {
		t.Errorf("Close took %v, want at most 1s", elapsed)
	}
	out.mu.Lock()
	text := out.text.String()
	out.mu.Unlock()
	written := strings.Count(text, `"msg":"line"`)
	if droppedReport := fmt.Sprintf(`"msg":"log lines dropped","count":%d`, lines-written); written < queueLength ||
		!strings.Contains(text, droppedReport) {
		t.Errorf("%d of %d lines written; want at least the queue's length, and %s", written, lines, droppedReport)
	}
}

// Close returns after its timeout while the writer is still blocked.
func TestCloseReturnsWhileTheWriterIsBlocked(t *testing.T) {
	var out blockedWriter
	out.mu.Lock()
	l := New(&out, slog.NewTextHandler, nil)
	l.Info("line")
	startedAt := time.Now()
	l.Close()
	if elapsed := time.Since(startedAt); elapsed < flushTimeout || elapsed > 2*time.Second {
		t.Errorf("Close took %v, want 50ms to 2s", elapsed)
	}
	out.mu.Unlock()
	<-l.queue.flushed
}
