package discovery

// This file runs one connection to discovery, in its own goroutine.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"martenbeam/internal/fleet/source"
)

var (
	errStreamTimeout = errors.New("no heartbeat or list from discovery before the stream's timeout")
	errStreamClosed  = errors.New("stream closed by discovery")
	errValueTooLong  = fmt.Errorf("JSON value longer than %d bytes", maxValueBytes)
)

// watchStream is one connection to discovery, with the state that the watcher keeps for the connection.
type watchStream struct {
	// Set at creation and not changed.
	addr         string // of discovery, as set when the stream was opened; a relayed stream connects to source.Addr instead
	sinceVersion int64  // changes after this version are requested; 0: the complete list
	cancel       context.CancelFunc

	// The stream's goroutine writes these fields. Run's goroutine reads dateHeader only after a list event, and the
	// others only after the requested event.
	source     source.Source
	openedAt   time.Time // right before the request was sent
	dateHeader string    // of the response

	// Only Run's goroutine uses these fields.
	requested       bool      // the request is being sent, or was; false: the stream waits in Selector.Next
	lastActivityAt  time.Time // when the latest heartbeat or list arrived; zero: none has arrived
	firstActivityAt time.Time // when the first heartbeat or list arrived; zero: none has arrived
	receivedList    bool      // the stream has delivered a list
	// overdue: the stream counts as failed. Lists that still arrive on it are applied, but it does not prevent other
	// streams from being opened. The first heartbeat or list of the stream clears overdue.
	overdue bool
}

// watchEvent is sent by a stream's goroutine to Run. It reports that the request is about to be sent (requested), a
// list, the end of the stream (err), or a heartbeat if none of these is set.
type watchEvent struct {
	stream    *watchStream
	requested bool
	list      *EndpointList
	err       error
	malformed bool // set together with err if the data received is not a list
}

// run emits the requested event, sends the request, emits an event for each heartbeat and list, and emits one more
// event when the connection ends. It calls onActivity before it emits a heartbeat or list. emit may block.
func (s *watchStream) run(ctx context.Context, client *http.Client, onActivity func(), emit func(watchEvent)) {
	emit(watchEvent{stream: s, requested: true})
	err := s.read(ctx, client,
		func() { onActivity(); emit(watchEvent{stream: s}) },
		func(list *EndpointList) { onActivity(); emit(watchEvent{stream: s, list: list}) })
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	emit(watchEvent{stream: s, err: err, malformed: errors.As(err, &syntax) || errors.As(err, &mismatch) ||
		errors.Is(err, errNoEndpoints) || errors.Is(err, errValueTooLong)})
}

// read sends the request and reads values until the connection ends. It returns why the connection ended, never nil.
func (s *watchStream) read(ctx context.Context, client *http.Client, onHeartbeat func(), onList func(*EndpointList)) error {
	addr := s.addr
	if s.source.Relayed {
		addr = s.source.Addr
	}
	url := "http://" + addr + "/catalog/members?follow=1&since=" + strconv.FormatInt(s.sinceVersion, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	s.dateHeader = resp.Header.Get("Date")
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("endpoint list request failed with status %d", resp.StatusCode)
	}
	reader := &heartbeatReader{source: resp.Body, onHeartbeat: onHeartbeat, whitespaceOnly: true}
	values := json.NewDecoder(reader)
	for {
		var list EndpointList
		if err := values.Decode(&list); errors.Is(err, io.EOF) {
			return errStreamClosed
		} else if err != nil {
			return fmt.Errorf("decoding endpoint list: %w", err)
		}
		if list.Endpoints == nil {
			return errNoEndpoints
		}
		buffered, _ := io.ReadAll(values.Buffered()) // from memory, without errors
		reader.valueEnded(values.InputOffset(), buffered)
		onList(&list)
	}
}
