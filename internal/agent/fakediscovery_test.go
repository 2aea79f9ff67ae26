package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"testing"
)

func deltaLine(t *testing.T, version int64, servers ...discoveryMember) string {
	t.Helper()
	return listLine(t, discoveryList{Version: version, Endpoints: servers})
}

func listLine(t *testing.T, list discoveryList) string {
	t.Helper()
	raw, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// fakeDiscovery is a discovery server that sends each watch to the test. The test writes to the watch line by line.
type fakeDiscovery struct {
	addr  string
	watch chan *fakeWatch
}

// fakeWatch is one watch that the agent has opened.
type fakeWatch struct {
	since        string        // version from which the agent watches
	lines        chan string   // closing the channel ends the watch
	fail         chan struct{} // closing the channel fails the watch with status 503
	disconnected chan struct{} // closed when the connection ends
}

func startFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	ln := listen(t)
	c := &fakeDiscovery{addr: ln.Addr().String(), watch: make(chan *fakeWatch, 10)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/catalog/members" || r.URL.Query().Get("follow") != "1" {
			t.Errorf("request to discovery: %s, want /catalog/members with follow=1", r.URL)
		}
		newWatch := &fakeWatch{since: r.URL.Query().Get("since"), lines: make(chan string), fail: make(chan struct{}),
			disconnected: make(chan struct{})}
		defer close(newWatch.disconnected)
		c.watch <- newWatch
		for {
			select {
			case <-newWatch.fail:
				http.Error(w, "overloaded", http.StatusServiceUnavailable)
				return
			case line, more := <-newWatch.lines:
				if !more {
					return
				}
				fmt.Fprintln(w, line)
				if err := http.NewResponseController(w).Flush(); err != nil {
					return
				}
			case <-r.Context().Done():
				return
			}
		}
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return c
}

// sendLine writes a line to the watch.
func (w *fakeWatch) sendLine(t *testing.T, line string) {
	t.Helper()
	select {
	case w.lines <- line:
	case <-w.disconnected:
		t.Fatal("the agent has disconnected the watch, want it to read one more line")
	}
}

// countWatchGoroutines returns the number of goroutines that read from discovery, and how many of these goroutines wait for the
// watcher to receive a list.
func countWatchGoroutines() (all, waiting int) {
	stacks := make([]byte, 1<<20)
	for _, task := range bytes.Split(stacks[:runtime.Stack(stacks, true)], []byte("\n\n")) {
		if bytes.Contains(task, []byte("discovery.(*watchStream).run")) {
			all++
			if head, _, _ := bytes.Cut(task, []byte("\n")); bytes.Contains(head, []byte("[select")) &&
				!bytes.Contains(task, []byte("(*Client).")) {
				waiting++
			}
		}
	}
	return all, waiting
}
