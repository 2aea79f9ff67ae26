package discovery

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
	errSilent  = errors.New("silent")
	errEnded   = errors.New("ended by discovery")
	errTooLong = fmt.Errorf("a value of more than %d bytes", maxValueBytes)
)

// watchStream is one connection to discovery. Its task runs until the connection ends.
type watchStream struct {
	addr         string // of discovery, as it was when the watch was begun
	sinceVersion int64
	cancel       context.CancelFunc
	source       source.Source // set by its task before it tells anything
	openedAt     time.Time     // the same; when it was opened
	dateHeader   string        // the same; of the head of discovery's answer

	// The supervisor's.
	requested    bool      // it has been opened: before, it waits for its turn
	lastAliveAt  time.Time // its latest sign of life; zero: none
	firstAliveAt time.Time // the first
	overdue      bool      // its time is up, and it is known: what it still says counts, but nothing rests on it
	receivedList bool      // a list has come
}

// watchEvent is what a watch's task tells the supervisor.
type watchEvent struct {
	stream    *watchStream
	requested bool          // the call goes out
	list      *EndpointList // nil: a sign of life, or with err the end
	err       error
	malformed bool // what came makes no sense
}

// run follows changes until the connection ends, and tells of each in turn, and of the end. tell may wait.
func (s *watchStream) run(ctx context.Context, client *http.Client, onAlive func(), emit func(watchEvent)) {
	emit(watchEvent{stream: s, requested: true})
	err := s.read(ctx, client,
		func() { onAlive(); emit(watchEvent{stream: s}) },
		func(list *EndpointList) { onAlive(); emit(watchEvent{stream: s, list: list}) })
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	emit(watchEvent{stream: s, err: err, malformed: errors.As(err, &syntax) || errors.As(err, &mismatch) ||
		errors.Is(err, errNoEndpoints) || errors.Is(err, errTooLong)})
}

func (s *watchStream) read(ctx context.Context, client *http.Client, onAlive func(), onList func(*EndpointList)) error {
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
	reader := &livenessReader{source: resp.Body, onAlive: onAlive, blank: true}
	values := json.NewDecoder(reader)
	for {
		var list EndpointList
		if err := values.Decode(&list); errors.Is(err, io.EOF) {
			return errEnded
		} else if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		if list.Endpoints == nil {
			return errNoEndpoints
		}
		buffered, _ := io.ReadAll(values.Buffered()) // of memory: never fails
		reader.valueEnded(values.InputOffset(), buffered)
		onList(&list)
	}
}
