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

	"brookferry/internal/fleet/source"
)

// maxValue bounds one value of the stream, in bytes: a longer one is no list.
const maxValue = 4 << 20

var (
	errSilent  = errors.New("silent")
	errEnded   = errors.New("ended by discovery")
	errTooLong = fmt.Errorf("a value of more than %d bytes", maxValue)
)

// watch is one connection to discovery. Its task runs until the connection ends.
type watch struct {
	addr  string // of discovery, as it was when the watch was begun
	since int64
	drop  context.CancelFunc
	via   source.Source // set by its task before it tells anything
	began time.Time     // the same; when it was opened

	listed bool // the supervisor's: a list has come
}

// news is what a watch's task tells the supervisor.
type news struct {
	from *watch
	list *Members // nil: a sign of life, the first, or with err the end
	err  error
	bad  bool // what came makes no sense
}

// signs is the stream of a watch's bytes. Each read is a sign of life, also an empty line between values, and
// what is read may not run further ahead of the last whole value than maxValue.
type signs struct {
	in    io.Reader
	alive func()
	read  int64
	whole int64 // up to the end of the last value
}

func (s *signs) Read(p []byte) (int, error) {
	if s.read-s.whole > maxValue {
		return 0, errTooLong
	}
	n, err := s.in.Read(p[:min(len(p), 64<<10)])
	if s.read += int64(n); n > 0 {
		s.alive()
	}
	return n, err
}

// run follows changes until the connection ends, and tells of each in turn, and of the end. tell may wait.
func (w *watch) run(ctx context.Context, client *http.Client, silence time.Duration, heard func(), tell func(news)) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	fallen := time.AfterFunc(silence, func() { end(errSilent) })
	defer fallen.Stop()
	err := w.follow(ctx, client, func() { fallen.Reset(silence); heard() }, tell)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	tell(news{from: w, err: err, bad: errors.As(err, &syntax) || errors.As(err, &kind) ||
		errors.Is(err, errNoList) || errors.Is(err, errTooLong)})
}

func (w *watch) follow(ctx context.Context, client *http.Client, alive func(), tell func(news)) error {
	addr := w.addr
	if w.via.Relayed {
		addr = w.via.Addr
	}
	url := "http://" + addr + "/catalog/members?follow=1&since=" + strconv.FormatInt(w.since, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	first := true
	in := &signs{in: resp.Body, alive: func() {
		alive()
		if first {
			first = false
			tell(news{from: w})
		}
	}}
	values := json.NewDecoder(in)
	for {
		var m Members
		if err := values.Decode(&m); errors.Is(err, io.EOF) {
			return errEnded
		} else if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		if m.Servers == nil {
			return errNoList
		}
		in.whole = values.InputOffset()
		tell(news{from: w, list: &m})
	}
}
