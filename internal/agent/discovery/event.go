package discovery

// This file applies the events of the streams: heartbeats, lists and ends of streams.

import (
	"encoding/json"
	"slices"
	"time"

	"martenbeam/balancer"
)

// handleEvent applies one event of a stream.
func (w *Watcher) handleEvent(event watchEvent) {
	stream := event.stream
	if stream != w.current && !slices.Contains(w.opening, stream) {
		return // the stream was cancelled
	}
	switch {
	case event.err != nil:
		w.handleEnd(event)
		return
	case event.requested:
		stream.requested = true
		return
	}
	previousActivityAt := w.latestActivityAt
	stream.lastActivityAt = time.Now()
	w.latestActivityAt = stream.lastActivityAt
	if stream.firstActivityAt.IsZero() {
		stream.firstActivityAt, stream.overdue = stream.lastActivityAt, false
	}
	w.promote(stream, event.list != nil)
	if event.list != nil {
		w.applyList(stream, event.list, previousActivityAt)
	}
}

// promote is called after a heartbeat or list of stream. It makes stream the current one if there is no current stream,
// or if the event confirms stream. A list confirms its stream, and so does a heartbeat that arrives at least
// HeartbeatTimeout after the stream's first heartbeat or list, which shows that discovery has no list to send on the
// stream. Before a stream is confirmed, another stream may be the one that delivers the list. So promote cancels the
// streams being opened only if the current stream is confirmed, is not overdue and is connected to discovery's present
// address.
func (w *Watcher) promote(stream *watchStream, hasList bool) {
	confirmed := hasList || stream.lastActivityAt.Sub(stream.firstActivityAt) >= w.HeartbeatTimeout
	if stream != w.current && (confirmed || w.current == nil) {
		w.opening = slices.DeleteFunc(w.opening, func(o *watchStream) bool { return o == stream })
		if w.current != nil {
			w.cancelStreams(w.current)
		}
		w.current = stream
	}
	atDiscoveryAddr := stream.addr == w.discoveryAddr()
	if stream == w.current && confirmed && atDiscoveryAddr && !stream.overdue {
		w.cancelStreams(w.opening...)
		w.opening = nil
	}
}

// applyList records, publishes and delivers a list. previousActivityAt is when any stream last received a heartbeat or
// a list before this one.
func (w *Watcher) applyList(stream *watchStream, list *EndpointList, previousActivityAt time.Time) {
	w.failures = 0
	w.backoff.Reset()
	previousVersion := w.version
	if !stream.receivedList && !list.Full && stream.addr == w.versionAddr && list.Version < previousVersion {
		// The list holds changes up to a version that has already been applied: the previous stream continued to
		// deliver after this one was opened. Later lists of this stream are always applied.
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
	if w.receivedList { // before the first list, the age of its entries is unknown
		maxAge = time.Since(previousActivityAt) + maxAnnounceDelay
	}
	w.receivedList = true
	w.cfg.startTimes.measureOffset(stream.dateHeader)
	w.cfg.Deliver(w.cfg.Translate(list, kind, maxAge))
}

// publishList forwards a list to the fleet.
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

// encodeList returns a list in discovery's JSON form.
func encodeList(list *EndpointList) []byte {
	encoded, err := json.Marshal(list)
	if err != nil {
		panic(err) // impossible: the list was decoded from JSON
	}
	return encoded
}

// handleEnd removes a stream that has ended or failed to open. Unless markOverdue has already reported the failure,
// handleEnd reports it, and schedules the next stream after the backoff if lists are pushed and no other stream serves.
func (w *Watcher) handleEnd(event watchEvent) {
	w.opening = slices.DeleteFunc(w.opening, func(o *watchStream) bool { return o == event.stream })
	if event.stream == w.current {
		w.current = nil
	}
	if event.malformed {
		w.versionAddr = "" // the complete list may be well-formed
	}
	if w.cfg.Sources != nil && !event.stream.receivedList {
		w.cfg.Sources.RecordAttempt(event.stream.source, 0, true, w.version)
	}
	if event.stream.overdue {
		return // markOverdue has reported the failure
	}
	w.reportFailure(event.err)
	if !w.cfg.Polled && !w.hasServingStream() {
		w.nextOpenAt = time.Now().Add(w.backoff.NextBackOff())
	}
}

// reportFailure counts, logs and delivers a failure. Where the list is polled, the receiver of the update retries with
// Subscribe.
func (w *Watcher) reportFailure(err error) {
	w.failures++
	if w.failures == 1 || w.failures%20 == 0 { // one line for every 20 failures during an outage
		w.cfg.Log.Warn("discovery watch ended", "error", err, "failures", w.failures)
	}
	w.cfg.Deliver(Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateFailed}})
}
