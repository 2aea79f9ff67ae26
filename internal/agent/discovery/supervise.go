package discovery

// This file decides which streams are open: when one is opened, when it is overdue, and which one gives way.

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// openScheduled opens a stream once the time has come at which the watcher does so by itself.
func (w *Watcher) openScheduled(ctx context.Context) {
	if w.nextOpenAt.IsZero() || time.Now().Before(w.nextOpenAt) {
		return
	}
	w.nextOpenAt = time.Time{}
	w.openUnlessServed(ctx)
}

// openUnlessServed opens a stream unless there is one that serves.
func (w *Watcher) openUnlessServed(ctx context.Context) {
	if !w.hasServingStream() {
		w.openStream(ctx)
	}
}

// reopen opens a stream to discovery's new address. Nothing has failed. The current stream goes on as long as discovery
// keeps it open at the old address, until the new one has a list: what arrives by it meanwhile counts as well.
func (w *Watcher) reopen() {
	w.cancelStreams(w.opening...)
	w.opening, w.failures = nil, 0
	w.nextOpenAt = time.Now()
}

// checkLag ends the current stream if others have had a later list at several checks in a row.
func (w *Watcher) checkLag() {
	w.laggingChecks++
	if w.current == nil || !w.cfg.Sources.Lagging(w.version) {
		w.laggingChecks = 0
		return
	}
	if w.laggingChecks == maxLaggingChecks {
		w.laggingChecks = 0
		w.cancelStreams(w.current)
		w.handleEnd(watchEvent{stream: w.current, err: errLagging})
	}
}

// hasServingStream reports whether there is a stream to the present address that is not overdue, open or being opened.
func (w *Watcher) hasServingStream() bool {
	addr := w.discoveryAddr()
	for _, stream := range w.streams() {
		if stream.addr == addr && !stream.overdue {
			return true
		}
	}
	return false
}

// streams are all streams: those being opened, the oldest first, and the current one.
func (w *Watcher) streams() []*watchStream {
	if w.current == nil {
		return w.opening
	}
	return append(slices.Clone(w.opening), w.current)
}

// overdueAt is when a stream becomes overdue without a further sign of life; zero: it is overdue, or its request is not
// yet sent.
func (w *Watcher) overdueAt(stream *watchStream) time.Time {
	switch {
	case stream.overdue || !stream.requested:
		return time.Time{}
	case stream.lastActivityAt.IsZero():
		return stream.openedAt.Add(w.OpenTimeout)
	}
	return stream.lastActivityAt.Add(cmp.Or(stream.source.SilenceTimeout, w.HeartbeatTimeout))
}

// nextTimerAt is when the loop has something to do even if no event arrives; zero: never.
func (w *Watcher) nextTimerAt() time.Time {
	next := w.nextOpenAt
	for _, stream := range w.streams() {
		if at := w.overdueAt(stream); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// markOverdue marks the streams that have become overdue. Each counts as failed, and stays open all the same, since it
// may still be answered; but where there are other sources, a current or relayed one is ended.
func (w *Watcher) markOverdue() {
	for _, stream := range w.streams() {
		if at := w.overdueAt(stream); !at.IsZero() && !time.Now().Before(at) {
			if w.cfg.Sources != nil && (stream == w.current || stream.source.Relayed) {
				w.cancelStreams(stream)
				w.handleEnd(watchEvent{stream: stream, err: errStreamTimeout})
				continue
			}
			stream.overdue = true
			w.reportFailure(errStreamTimeout)
			if !w.cfg.Polled {
				w.nextOpenAt = time.Now()
			}
		}
	}
}

// openStream opens a stream to the present address, from the present version on, with a goroutine of its own.
func (w *Watcher) openStream(ctx context.Context) {
	addr := w.discoveryAddr()
	if len(w.opening) == maxOpening {
		w.evictOpening()
	}
	since := w.version
	if addr != w.versionAddr {
		since = 0 // the complete list: versions may start anew there, or the latest value was malformed
	}
	ctx, cancel := context.WithCancel(ctx)
	stream := &watchStream{addr: addr, sinceVersion: since, cancel: cancel}
	w.opening = append(w.opening, stream)
	failures := w.failures
	w.tasks.Go(func() {
		defer cancel()
		w.runStream(ctx, stream, failures)
	})
}

// evictOpening ends one of the streams that are being opened: the oldest if it has been waiting for
// PropagationDeadline, else the youngest. So one request is always fresh, and one may have waited for its turn.
func (w *Watcher) evictOpening() {
	i := len(w.opening) - 1
	if oldest := w.opening[0]; oldest.requested && time.Since(oldest.openedAt) >= PropagationDeadline {
		i = 0
	}
	stream := w.opening[i]
	w.cancelStreams(stream)
	w.opening = slices.Delete(w.opening, i, i+1)
	if w.cfg.Sources != nil && stream.requested {
		w.cfg.Sources.RecordAttempt(stream.source, 0, true, w.version)
	}
}

// runStream is a stream's goroutine: it waits for its turn, opens the connection, and sends Run an event for whatever
// arrives.
func (w *Watcher) runStream(ctx context.Context, stream *watchStream, failures int) {
	client, onActivity := w.client, func() {}
	if sources := w.cfg.Sources; sources != nil {
		var ok bool
		if stream.source, ok = sources.Next(ctx, failures); !ok {
			return
		}
		if stream.source.Relayed {
			client = w.relayClient
		}
		onActivity = func() { sources.RecordLiveness(stream.source) }
	}
	stream.openedAt = time.Now()
	stream.run(ctx, client, onActivity, func(event watchEvent) {
		select {
		case w.events <- event:
		case <-ctx.Done(): // the stream is cancelled, and its events are ignored
		}
	})
}

// cancelStreams ends streams. Those that are taken out of opening and current as well have their later events ignored.
func (w *Watcher) cancelStreams(streams ...*watchStream) {
	for _, stream := range streams {
		stream.cancel()
	}
}
