package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/agent/admin"
	"martenbeam/internal/agent/handover"
	"martenbeam/internal/agent/upstream"
)

// inheritedDescriptor returns a duplicate of a socket's descriptor, as a process would inherit it.
func inheritedDescriptor(t *testing.T, socket interface{ File() (*os.File, error) }) int {
	t.Helper()
	f, err := socket.File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := duplicateDescriptor(f)
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// hotRestartConfig returns the configuration of one of an agent's processes, which share a listener and a directory.
func hotRestartConfig(t *testing.T, ln net.Listener, dir string, s testSetup) *Config {
	t.Helper()
	cfg := withAdmin(t, s)
	cfg.ListenFD, cfg.HandoverDir = inheritedDescriptor(t, ln.(*net.TCPListener)), dir
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	return cfg
}

// TestHotRestartHandsOverClients: a new process takes over the clients of an older process. The admin calls to the older
// process apply in the new process, no request is rejected, and the older process ends.
func TestHotRestartHandsOverClients(t *testing.T) {
	one := startRawBackend(t, func(int) string { return ok200 })
	two := startRawBackend(t, func(int) string { return ok200 })
	servers := []discoveryMember{one.member("one"), two.member("two")}
	ln, dir := listen(t), t.TempDir()
	older := startAgent(t, hotRestartConfig(t, ln, dir, testSetup{servers: servers}))
	older.admin.AnswerTimeout = testTimeout
	eventually(t, "the older process to accept clients", older.frontend.accepting.Load)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	in := bufio.NewReader(client)
	sendRequest := func() *http.Response {
		if _, err := fmt.Fprintf(client, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if resp := sendRequest(); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("response of the older process: %+v, want status 200 on a connection that stays open", resp)
	}
	callAdmin(t, older, putRequest("/_backends/detach", `{"target":"one"}`))
	before := len(one.requestIDs)

	newer := startAgent(t, hotRestartConfig(t, ln, dir, testSetup{servers: servers}))
	newer.admin.AnswerTimeout = testTimeout
	eventually(t, "the newer process to accept clients", newer.frontend.accepting.Load)
	if resp := callAdmin(t, newer, "GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n"); resp.StatusCode != 200 {
		t.Errorf("readiness of the newer process: %+v, want status 200", resp)
	}
	older.stop()
	eventually(t, "the older process to start draining", func() bool { return older.frontend.drainDeadline.Load() != 0 })
	if resp := callAdmin(t, older, "GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n"); resp.StatusCode != 503 {
		t.Errorf("readiness of the older process: %+v, want status 503", resp)
	}
	if resp := sendRequest(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("request on the older process's connection: %+v, want status 200 and Connection: close", resp)
	}
	if err := receive(t, "end of the older process", older.ended); err != nil {
		t.Error(err)
	}
	for range 20 {
		if x := newer.do("GET", "/get/x", ""); x.status != 200 {
			t.Fatalf("response of the newer process: %+v, want status 200", x)
		}
	}
	if n := len(one.requestIDs); n != before {
		t.Errorf("%d requests reached the detached backend, want none", n-before)
	}
	half := maxUpstreamConns(newer.cfg.halfLimits().shareableDescriptors())
	eventually(t, "the newer process to use the full limits", func() bool {
		return newer.pool.Stats().Limit > half
	})
}

// TestTwoProcessesStayWithinDescriptorLimit: two processes of one agent together stay within the limits of one process.
func TestTwoProcessesStayWithinDescriptorLimit(t *testing.T) {
	for _, limit := range []int{256, 384, 512, 1024} {
		for _, adminAddr := range []string{"", "127.0.0.1:1"} {
			half := (&Config{MaxDescriptors: limit, MemoryMB: 64, AdminAddr: adminAddr}).halfLimits()
			shareable := half.shareableDescriptors()
			sum := 2 * (reservedDescriptors + maxAcceptedConns(shareable) + maxUpstreamConns(shareable))
			if adminAddr != "" {
				sum += 2 * (maxAdminConns + 1)
			}
			if sum > limit || half.MemoryMB != 32 {
				t.Errorf("%d descriptors for two processes, want at most %d; %d MB for each, want 32", sum, limit, half.MemoryMB)
			}
		}
	}
}

// duplicateDescriptor returns a descriptor that no os.File owns, and closes f.
func duplicateDescriptor(f *os.File) (int, error) {
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd()))
	if err == nil {
		syscall.CloseOnExec(fd)
	}
	return fd, err
}

// TestDrainingProcessFinishesLargeResponse: a draining process continues a large response after the time at which the platform
// may kill it. A request that the process aborts counts against the agent, a request that the platform's kill aborts does not.
func TestDrainingProcessFinishesLargeResponse(t *testing.T) {
	hold := make(chan struct{})
	text := pattern(4 * upstream.MaxBufferedBody)
	s := startHTTPBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text[:upstream.MaxBufferedBody+1])
		_ = http.NewResponseController(w).Flush()
		<-hold
		_, _ = io.WriteString(w, text[upstream.MaxBufferedBody+1:])
	})
	ln := listen(t)
	a := startAgent(t, hotRestartConfig(t, ln, t.TempDir(), testSetup{servers: []discoveryMember{s}}))
	a.drainTimeout = 0
	eventually(t, "the process to accept clients", a.frontend.accepting.Load)
	c := dialRawClient(t, a)
	c.send(fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()))
	resp := c.readResponse()
	a.stop()
	eventually(t, "the process to close its listener", func() bool {
		return a.frontend.drainDeadline.Load() != 0 && a.listener.TCPListener.SetDeadline(time.Time{}) != nil
	})
	close(hold)
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != text {
		t.Errorf("got %d bytes and error %v, want the complete response", len(got), err)
	}
	if err := receive(t, "end of the process", a.ended); err != nil {
		t.Error(err)
	}
}

// TestUnwritableHandoverDirStillServes: an agent that can't write to its handover directory still serves. It applies admin
// calls but does not confirm them, because a confirmed call has to survive a hot restart.
func TestUnwritableHandoverDirStillServes(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	ln := listen(t)
	dir := filepath.Join(t.TempDir(), "none")
	a := startAgent(t, hotRestartConfig(t, ln, dir, testSetup{servers: []discoveryMember{s.member("s")}}))
	a.admin.AnswerTimeout = testTimeout
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("response %+v, want status 200", x)
	}
	a.admin.AnswerTimeout = admin.DefaultAnswerTimeout
	if resp := callAdmin(t, a, putRequest("/_backends/detach", `{"target":"s"}`)); resp.StatusCode != 503 {
		t.Errorf("admin call: %+v, want status 503", resp)
	}
	if err := a.pool.CheckSendable(&upstream.Attempt{BackendID: "s"}); !errors.Is(err, upstream.ErrBackendDisabled) {
		t.Errorf("detached backend: error %v, want ErrBackendDisabled", err)
	}
}

// TestOlderProcessRegainsLimitsWhenSuccessorEnds: the older process uses its full limits again once the successor ends.
func TestOlderProcessRegainsLimitsWhenSuccessorEnds(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	ln, dir := listen(t), t.TempDir()
	older := startAgent(t, hotRestartConfig(t, ln, dir, testSetup{servers: []discoveryMember{s.member("s")}}))
	eventually(t, "the process to accept clients", older.frontend.accepting.Load)
	connLimit := func() int {
		return older.pool.Stats().Limit
	}
	fullLimit := connLimit()
	newer := handover.New(dir, discardLog)
	if err := newer.Register(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the older process to halve its limits", func() bool { return connLimit() < fullLimit })
	newer.Close()
	eventually(t, "the older process to use its full limits", func() bool { return connLimit() == fullLimit })
	if x := older.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("response %+v, want status 200", x)
	}
}

// TestRecordChangedBetweenFirstReadsIsApplied: a list or an admin call that the older process records between its
// successor's first two reads applies to the successor from its first request on, without an update from discovery.
func TestRecordChangedBetweenFirstReadsIsApplied(t *testing.T) {
	for _, call := range []bool{false, true} {
		t.Run(fmt.Sprint("call ", call), func(t *testing.T) {
			one, two := startRawBackend(t, func(int) string { return ok200 }), startRawBackend(t, func(int) string { return ok200 })
			fake, ln, dir := startFakeDiscovery(t), listen(t), t.TempDir()
			setup := testSetup{discovery: fake.addr, servers: []discoveryMember{one.member("one"), two.member("two")}}
			older := startAgent(t, hotRestartConfig(t, ln, dir, setup))
			older.admin.AnswerTimeout = testTimeout
			watch := receive(t, "watch", fake.watch)
			now := make(chan time.Time)
			close(now)
			newer := startWithHook(t, hotRestartConfig(t, ln, dir, setup), now, func(newer *testAgent) {
				// The successor has read the record once.
				if call {
					if resp := callAdmin(t, older, putRequest("/_backends/detach", `{"target":"one"}`)); resp.StatusCode != 200 {
						t.Fatalf("admin call: %+v, want status 200", resp)
					}
					return
				}
				watch.lines <- listLine(t, discoveryList{Version: 42, Full: true, Endpoints: []discoveryMember{two.member("two")}})
				eventually(t, "the list to be recorded", func() bool {
					list := older.hotRestart.LastRecord().List
					return list != nil && list.Version == 42
				})
			})
			if w := receive(t, "watch of the newer process", fake.watch); !call && w.since != "42" {
				t.Errorf("the newer process watches from version %s, want 42", w.since)
			}
			eventually(t, "the newer process to accept clients", newer.frontend.accepting.Load)
			older.stop()
			if err := receive(t, "end of the older process", older.ended); err != nil {
				t.Error(err)
			}
			for range 20 {
				if x := newer.do("GET", "/get/x", ""); x.status != 200 {
					t.Fatalf("response %+v, want status 200", x)
				}
			}
			if n := len(one.requestIDs); n != 0 {
				t.Errorf("%d of 20 requests reached a backend that the recorded state excludes, want none", n)
			}
		})
	}
}
