package discovery

// This file decides when a stream is opened, when it is overdue, and which stream is cancelled in favour of another.

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// openScheduled opens a stream once nextOpenAt has passed.
func (w *Watcher) openScheduled(ctx context.Context) {
	if w.nextOpenAt.IsZero() || time.Now().Before(w.nextOpenAt) {
		return
	}
	w.nextOpenAt = time.Time{}
	w.openUnlessServed(ctx)
}

// openUnlessServed opens a stream, unless another stream to discovery's address is open or being opened and not overdue.
func (w *Watcher) openUnlessServed(ctx context.Context) {
	if !w.hasServingStream() {
		w.openStream(ctx)
	}
}

// reopen cancels the streams being opened and schedules a stream to discovery's new address without delay. A change of
// address does not count as a failure, and resets the number of failures. The current stream, to the old address, stays
// open until promote replaces it or discovery closes it: lists that arrive on the old stream until then are applied as
// well.
func (w *Watcher) reopen() {
	w.cancelStreams(w.opening...)
	w.opening, w.failures = nil, 0
	w.nextOpenAt = time.Now()
}

// checkLag ends the current stream if other sources have had a later list at maxLaggingChecks checks in a row.
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

// hasServingStream reports whether a stream to discovery's address is open or being opened, and is not overdue.
func (w *Watcher) hasServingStream() bool {
	addr := w.discoveryAddr()
	for _, stream := range w.streams() {
		if stream.addr == addr && !stream.overdue {
			return true
		}
	}
	return false
}

// streams returns the streams being opened, the oldest first, and then the current one if there is one.
func (w *Watcher) streams() []*watchStream {
	if w.current == nil {
		return w.opening
	}
	return append(slices.Clone(w.opening), w.current)
}

// overdueAt returns when a stream becomes overdue if no heartbeat or list arrives first: OpenTimeout after the request,
// or the source's SilenceTimeout (0: HeartbeatTimeout) after the latest heartbeat or list. Zero: the stream is already
// overdue, or its request has not been sent.
func (w *Watcher) overdueAt(stream *watchStream) time.Time {
	switch {
	case stream.overdue || !stream.requested:
		return time.Time{}
	case stream.lastActivityAt.IsZero():
		return stream.openedAt.Add(w.OpenTimeout)
	}
	return stream.lastActivityAt.Add(cmp.Or(stream.source.SilenceTimeout, w.HeartbeatTimeout))
}

// nextTimerAt returns when Run has to open a stream or to mark one overdue if no event arrives first; zero: never.
func (w *Watcher) nextTimerAt() time.Time {
	next := w.nextOpenAt
	for _, stream := range w.streams() {
		if at := w.overdueAt(stream); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// markOverdue marks the streams that have become overdue. Each counts as failed, but stays open because discovery may
// still answer it. Where lists are pushed, markOverdue schedules another stream without delay. With Config.Sources, a
// stream that is the current one or relayed is cancelled instead, since the list can be requested from another source.
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

// openStream starts a goroutine that opens a stream to discovery's address and requests the changes since w.version, or
// the complete list if that version is not from this address. If maxOpening streams are being opened, openStream first
// cancels one of them.
func (w *Watcher) openStream(ctx context.Context) {
	addr := w.discoveryAddr()
	if len(w.opening) == maxOpening {
		w.evictOpening()
	}
	since := w.version
	if addr != w.versionAddr {
		since = 0 // the complete list: the new address may count versions from the start, or the latest value was malformed
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

// evictOpening cancels one of the streams that are being opened: the oldest if its request was sent PropagationDeadline
// ago or earlier, otherwise the youngest. So there is always a recent request, and an older one can keep its place in
// discovery's queue.
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

// runStream is a stream's goroutine: it waits until Sources permits a request, opens the connection, and sends the
// stream's events to Run until the connection ends or the stream is cancelled.
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

// cancelStreams cancels streams. The caller also removes them from opening or current, so that their later events are
// ignored.
func (w *Watcher) cancelStreams(streams ...*watchStream) {
	for _, stream := range streams {
		stream.cancel()
	}
}
