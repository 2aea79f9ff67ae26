package discovery

import (
	"bytes"
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
	date  string        // the same; of the head of discovery's answer

	// The supervisor's.
	asked   bool      // it has been opened: before, it waits for its turn
	alive   time.Time // its latest sign of life; zero: none
	came    time.Time // the first
	overdue bool      // its time is up, and it is known: what it still says counts, but nothing rests on it
	listed  bool      // a list has come
}

// news is what a watch's task tells the supervisor.
type news struct {
	from   *watch
	opened bool     // the call goes out
	list   *Members // nil: a sign of life, or with err the end
	err    error
	bad    bool // what came makes no sense
}

// signs is the stream of a watch's bytes. An empty line between values is a sign of life, and so is a whole value; the
// bytes of one that never ends are none. What is read may not run further ahead of the last whole value than maxValue.
type signs struct {
	in    io.Reader
	alive func()
	read  int64
	whole int64 // up to the end of the last value
	blank bool  // nothing but white space has come since
}

func (s *signs) Read(p []byte) (int, error) {
	if s.read-s.whole > maxValue {
		return 0, errTooLong
	}
	n, err := s.in.Read(p[:min(len(p), 64<<10)])
	s.read += int64(n)
	if s.blank = s.blank && isBlank(p[:n]); s.blank && n > 0 {
		s.alive()
	}
	return n, err
}

// ended notes the end of a value, at an offset, with what has been read behind it.
func (s *signs) ended(at int64, behind []byte) { s.whole, s.blank = at, isBlank(behind) }

func isBlank(p []byte) bool { return len(bytes.Trim(p, " \t\r\n")) == 0 }

// run follows changes until the connection ends, and tells of each in turn, and of the end. tell may wait.
func (w *watch) run(ctx context.Context, client *http.Client, heard func(), tell func(news)) {
	tell(news{from: w, opened: true})
	err := w.follow(ctx, client, func() { heard(); tell(news{from: w}) }, func(m *Members) { heard(); tell(news{from: w, list: m}) })
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	tell(news{from: w, err: err, bad: errors.As(err, &syntax) || errors.As(err, &kind) ||
		errors.Is(err, errNoList) || errors.Is(err, errTooLong)})
}

func (w *watch) follow(ctx context.Context, client *http.Client, alive func(), tell func(*Members)) error {
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
	w.date = resp.Header.Get("Date")
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	in := &signs{in: resp.Body, alive: alive, blank: true}
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
		behind, _ := io.ReadAll(values.Buffered()) // of memory: never fails
		in.ended(values.InputOffset(), behind)
		tell(&m)
	}
}
