package discovery

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// openIfDue opens a watch once its time has come, where the watcher opens by itself.
func (w *Watcher) openIfDue(ctx context.Context) {
	if w.nextOpenAt.IsZero() || time.Now().Before(w.nextOpenAt) {
		return
	}
	w.nextOpenAt = time.Time{}
	w.openUnlessWatching(ctx)
}

func (w *Watcher) openUnlessWatching(ctx context.Context) {
	if !w.hasCurrentWatch() {
		w.openWatch(ctx)
	}
}

// reopen goes on at a new address. Nothing has failed. The present watch goes on, as long as discovery keeps it open at the
// old address, until the new one has told a list: what it tells meanwhile counts as well.
func (w *Watcher) reopen() {
	w.cancelWatches(w.opening...)
	w.opening, w.failures = nil, 0
	w.nextOpenAt = time.Now()
}

// checkLag leaves a source that others have been ahead of for long.
func (w *Watcher) checkLag() {
	w.laggingChecks++
	if w.current == nil || !w.cfg.Sources.Lagging(w.version) {
		w.laggingChecks = 0
		return
	}
	if w.laggingChecks == maxLaggingChecks {
		w.laggingChecks = 0
		w.cancelWatches(w.current)
		w.handleWatchEnd(watchEvent{stream: w.current, err: errLagging})
	}
}

// hasCurrentWatch reports whether a watch is there, at the present address, that is not overdue.
func (w *Watcher) hasCurrentWatch() bool {
	addr := w.presentAddr()
	for _, stream := range w.streams() {
		if stream.addr == addr && !stream.overdue {
			return true
		}
	}
	return false
}

func (w *Watcher) streams() []*watchStream {
	if w.current == nil {
		return w.opening
	}
	return append(slices.Clone(w.opening), w.current)
}

// overdueAt is when a watch is overdue that says no more; zero: it is, or waits for its turn.
func (w *Watcher) overdueAt(stream *watchStream) time.Time {
	switch {
	case stream.overdue || !stream.requested:
		return time.Time{}
	case stream.lastAliveAt.IsZero():
		return stream.openedAt.Add(w.OpenTimeout)
	}
	return stream.lastAliveAt.Add(cmp.Or(stream.source.SilenceTimeout, w.HeartbeatTimeout))
}

// nextWakeAt is when there is something to do even if nothing comes; zero: never.
func (w *Watcher) nextWakeAt() time.Time {
	next := w.nextOpenAt
	for _, stream := range w.streams() {
		if at := w.overdueAt(stream); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// markOverdue finds the watches that are overdue by now. Each has failed, as far as anyone can know, and stays open all the same.
func (w *Watcher) markOverdue() {
	for _, stream := range w.streams() {
		if at := w.overdueAt(stream); !at.IsZero() && !time.Now().Before(at) {
			if w.cfg.Sources != nil && (stream == w.current || stream.source.Relayed) {
				w.cancelWatches(stream) // there are others to ask
				w.handleWatchEnd(watchEvent{stream: stream, err: errSilent})
				continue
			}
			stream.overdue = true
			w.reportFailure(errSilent)
			if !w.cfg.Polled {
				w.nextOpenAt = time.Now()
			}
		}
	}
}

// openWatch begins a watch.
func (w *Watcher) openWatch(ctx context.Context) {
	addr := w.presentAddr()
	if len(w.opening) == maxOpening {
		w.evictOpening()
	}
	since := w.version
	if addr != w.versionAddr {
		since = 0 // it may count anew there, or what came made no sense
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

// evictOpening ends one of the watches that are being opened: the oldest once all is told anyway, else
// the youngest, so that one call is always fresh and one may have waited for its turn.
func (w *Watcher) evictOpening() {
	i := len(w.opening) - 1
	if oldest := w.opening[0]; oldest.requested && time.Since(oldest.openedAt) >= PropagationDeadline {
		i = 0
	}
	stream := w.opening[i]
	w.cancelWatches(stream)
	w.opening = slices.Delete(w.opening, i, i+1)
	if w.cfg.Sources != nil && stream.requested {
		w.cfg.Sources.RecordAttempt(stream.source, 0, true, w.version)
	}
}

// runStream is a watch's task: it waits for its turn, opens the connection, and tells Run what comes on it.
func (w *Watcher) runStream(ctx context.Context, stream *watchStream, failures int) {
	client, onAlive := w.client, func() {}
	if sources := w.cfg.Sources; sources != nil {
		var ok bool
		if stream.source, ok = sources.Next(ctx, failures); !ok {
			return
		}
		if stream.source.Relayed {
			client = w.relayClient
		}
		onAlive = func() { sources.RecordLiveness(stream.source) }
	}
	stream.openedAt = time.Now()
	stream.run(ctx, client, onAlive, func(event watchEvent) {
		select {
		case w.events <- event:
		case <-ctx.Done(): // nobody listens any more
		}
	})
}

// cancelWatches ends watches, of which nothing is taken any more.
func (w *Watcher) cancelWatches(streams ...*watchStream) {
	for _, stream := range streams {
		stream.cancel()
	}
}
