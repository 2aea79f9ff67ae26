package discovery

import (
	"encoding/json"
	"slices"
	"time"

	"martenbeam/balancer"
)

// handleEvent heeds what a watch's task tells.
func (w *Watcher) handleEvent(event watchEvent) {
	stream := event.stream
	if stream != w.current && !slices.Contains(w.opening, stream) {
		return // dropped
	}
	switch {
	case event.err != nil:
		w.handleWatchEnd(event)
		return
	case event.requested:
		stream.requested = true
		return
	}
	previousReceivedAt := w.lastReceivedAt
	stream.lastAliveAt = time.Now()
	w.lastReceivedAt = stream.lastAliveAt
	if stream.firstAliveAt.IsZero() {
		stream.firstAliveAt, stream.overdue = stream.lastAliveAt, false
	}
	w.promote(stream, event.list != nil)
	if event.list != nil {
		w.applyList(stream, event.list, previousReceivedAt)
	}
}

// promote has lists come by a watch that has shown life, if it may be the one.
func (w *Watcher) promote(stream *watchStream, hasList bool) {
	// A watch is the one that lists come by once it has told one, or has spoken for so long that there is none to tell:
	// until then another may be the one that would have answered.
	confirmed := hasList || stream.lastAliveAt.Sub(stream.firstAliveAt) >= w.HeartbeatTimeout
	if stream != w.current && (confirmed || w.current == nil) {
		w.opening = slices.DeleteFunc(w.opening, func(o *watchStream) bool { return o == stream })
		if w.current != nil {
			w.cancelWatches(w.current)
		}
		w.current = stream
	}
	atPresentAddr := stream.addr == w.presentAddr()
	if stream == w.current && confirmed && atPresentAddr && !stream.overdue {
		w.cancelWatches(w.opening...)
		w.opening = nil
	}
}

// applyList takes a list over. Before it the latest sign of life came at a time.
func (w *Watcher) applyList(stream *watchStream, list *EndpointList, previousReceivedAt time.Time) {
	w.failures = 0
	w.backoff.Reset()
	previousVersion := w.version
	if !stream.receivedList && !list.Full && stream.addr == w.versionAddr && list.Version < previousVersion {
		// Changes up to a version that is past: the watch before this one went on telling when it had been given up. What
		// follows is newer.
		stream.receivedList = true
		return
	}
	w.version, w.versionAddr = list.Version, stream.addr
	if w.Record != nil || w.cfg.Sources != nil {
		w.endpoints.merge(list, list.Full)
	}
	if w.Record != nil {
		w.Record(stream.addr, w.endpoints.list(list.Version))
	}
	if w.cfg.Sources != nil {
		w.publishList(stream, list, previousVersion)
	}
	stream.receivedList = true
	kind := balancer.UpdateDelta
	if list.Full {
		kind = balancer.UpdateFull
	}
	maxAge := time.Duration(0)
	if w.receivedList { // else what was told before may be old
		maxAge = time.Since(previousReceivedAt) + maxAnnounceDelay
	}
	w.receivedList = true
	w.cfg.startTimes.measureOffset(stream.dateHeader)
	w.cfg.Deliver(w.cfg.Translate(list, kind, maxAge))
}

// publishList tells the fleet of a list.
func (w *Watcher) publishList(stream *watchStream, list *EndpointList, previousVersion int64) {
	if !stream.receivedList {
		w.cfg.Sources.RecordAttempt(stream.source, time.Since(stream.openedAt), false, list.Version)
	}
	var change []byte
	if !list.Full {
		change = encodeList(list)
	}
	w.cfg.Sources.RecordUpdate(stream.source, previousVersion, list.Version, change, encodeList(w.endpoints.list(list.Version)))
}

func encodeList(list *EndpointList) []byte {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // it was read as JSON
	}
	return text
}

// handleWatchEnd takes the end of a watch, or of what should have become one.
func (w *Watcher) handleWatchEnd(event watchEvent) {
	w.opening = slices.DeleteFunc(w.opening, func(o *watchStream) bool { return o == event.stream })
	if event.stream == w.current {
		w.current = nil
	}
	if event.malformed {
		w.versionAddr = "" // the whole list may make sense
	}
	if w.cfg.Sources != nil && !event.stream.receivedList {
		w.cfg.Sources.RecordAttempt(event.stream.source, 0, true, w.version)
	}
	if event.stream.overdue {
		return // that was its failure
	}
	w.reportFailure(event.err)
	if !w.cfg.Polled && !w.hasCurrentWatch() {
		w.nextOpenAt = time.Now().Add(w.backoff.NextBackOff())
	}
}

// reportFailure tells the module, which asks anew where lists are asked for.
func (w *Watcher) reportFailure(err error) {
	w.failures++
	if w.failures == 1 || w.failures%20 == 0 { // not a line for every try while it is down
		w.cfg.Log.Warn("discovery watch ended", "error", err, "failures", w.failures)
	}
	w.cfg.Deliver(Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateFailed}})
}
