package discovery

// This file is one connection to discovery, run by a goroutine of its own.

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
	errStreamTimeout  = errors.New("no sign of life in time")
	errStreamClosed   = errors.New("ended by discovery")
	errValueTooLong = fmt.Errorf("value longer than %d bytes", maxValueBytes)
)

// watchStream is one connection to discovery, and what the watcher knows of it.
type watchStream struct {
	// Set when it is made, and not changed.
	addr         string // of discovery
	sinceVersion int64  // changes after this version are requested; 0: the complete list
	cancel       context.CancelFunc

	// Written by the stream's goroutine, and read by Run's only after a later event: dateHeader after a list, the others
	// after the event requested.
	source     source.Source
	openedAt   time.Time // when the request was sent
	dateHeader string    // of the response

	// Run's goroutine alone uses these.
	requested    bool      // the request has been sent: before, the stream waits for its turn
	lastActivityAt  time.Time // its latest sign of life; zero: none
	firstActivityAt time.Time
	receivedList bool // it has delivered a list
	// overdue: it counts as failed. What still arrives by it is applied, but it does not keep others from being opened.
	overdue bool
}

// watchEvent is what a stream's goroutine sends to Run: the request has been sent (requested), a list, the end (err),
// or a sign of life without any of these.
type watchEvent struct {
	stream    *watchStream
	requested bool
	list      *EndpointList
	err       error
	malformed bool // with err: what arrived is not a list
}

// run sends the request and emits an event for whatever arrives until the connection ends, and for its end. It calls
// onAlive at each sign of life. emit may block.
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

// read sends the request and reads values until the connection ends. The error says how it ended, and is never nil.
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
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	reader := &heartbeatReader{source: resp.Body, onHeartbeat: onHeartbeat, whitespaceOnly: true}
	values := json.NewDecoder(reader)
	for {
		var list EndpointList
		if err := values.Decode(&list); errors.Is(err, io.EOF) {
			return errStreamClosed
		} else if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		if list.Endpoints == nil {
			return errNoEndpoints
		}
		buffered, _ := io.ReadAll(values.Buffered()) // from memory, without errors
		reader.valueEnded(values.InputOffset(), buffered)
		onList(&list)
	}
}
