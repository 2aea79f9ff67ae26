package main

// The memory of an agent whose clients hold a third of its descriptors with requests that take much of it.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// clientRate is the rate at which slow clients and backends send and read, in bytes per second.
const clientRate = 64_000

// anonymousMemory returns the resident anonymous memory of a process in bytes: the program's file is not counted.
func anonymousMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kB, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kB << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no RssAnon", pid)
}

// writeSlowly writes size bytes at clientRate.
func writeSlowly(w io.Writer, size int) error {
	const interval = 50 * time.Millisecond
	part := make([]byte, clientRate*interval/time.Second)
	for next := time.Now(); size > 0; time.Sleep(time.Until(next)) {
		n, err := w.Write(part[:min(size, len(part))])
		if err != nil {
			return err
		}
		size -= n
		next = next.Add(interval)
	}
	return nil
}

// memoryLoad is a kind of request that makes the agent hold memory.
type memoryLoad struct {
	name       string
	write      func(conn net.Conn) error // writes one request
	answerSize int                       // bytes of the backend's response, which it sends at clientRate
}

// memoryLoads are the largest bodies, answers and headers that clients send slowly.
var memoryLoads = []memoryLoad{
	{name: "buffered bodies", write: postSlowly("Content-Length: 60000", 60_000)},
	{name: "streamed bodies", write: postSlowly("Content-Length: 300000", 300_000)},
	{name: "chunked bodies", write: func(conn net.Conn) error {
		if err := postSlowly("Transfer-Encoding: chunked", 0)(conn); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n", 300_000); err != nil {
			return err
		}
		if err := writeSlowly(conn, 300_000); err != nil {
			return err
		}
		_, err := io.WriteString(conn, "\r\n0\r\n\r\n")
		return err
	}},
	{name: "buffered answers", write: postSlowly("Content-Length: 10", 10), answerSize: 60_000},
	{name: "streamed answers", write: postSlowly("Content-Length: 10", 10), answerSize: 300_000},
	{name: "headers", write: func(conn net.Conn) error {
		if _, err := io.WriteString(conn, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("x", 30_000)); err != nil {
			return err
		}
		time.Sleep(2 * time.Second) // as long as a client may take for its header
		_, err := io.WriteString(conn, "\r\n\r\n")
		return err
	}},
}

// postSlowly returns a function that writes a request with a body of the given size at clientRate.
func postSlowly(framing string, size int) func(net.Conn) error {
	return func(conn net.Conn) error {
		if _, err := fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nX-Expires-In: 3\r\n%s\r\n\r\n",
			requestCounter.Add(1), framing); err != nil {
			return err
		}
		return writeSlowly(conn, size)
	}
}

// startSlowBackends starts a backend that reads each request completely and answers it with size bytes at clientRate, and returns
// it as several endpoints.
func startSlowBackends(t *testing.T, size int) (list []endpoint) {
	t.Helper()
	addr := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer := size
		if r.Method == http.MethodGet {
			answer = 0
		}
		w.Header().Set("Content-Length", strconv.Itoa(answer))
		w.WriteHeader(http.StatusOK)
		_ = writeSlowly(flushWriter{w}, answer) // fails if the agent closes the connection
	})
	for i := range 10 {
		list = append(list, newEndpoint(fmt.Sprint("s", i), addr, "ready"))
	}
	return list
}

// flushWriter sends each write at once.
type flushWriter struct{ http.ResponseWriter }

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, http.NewResponseController(f.ResponseWriter).Flush()
}

// runClients holds count connections of slow clients, and returns how many requests were answered with 200 once stop is closed
// and all clients have ended.
func runClients(addr string, load memoryLoad, count int, stop <-chan struct{}) (served int64) {
	var answered atomic.Int64
	var clients sync.WaitGroup
	const startInterval = 5 * time.Millisecond // clients do not begin together
	for i := range count {
		clients.Go(func() {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(i) * startInterval):
			}
			for !closed(stop) {
				if status, err := load.exchange(addr); err == nil && status == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return answered.Load()
}

// closed reports whether a channel is closed.
func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// exchange sends one request on a new connection and reads its answer.
func (l memoryLoad) exchange(addr string) (status int, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_ = l.write(conn) // the agent may refuse the request before its end
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// peakMemory samples the memory of processes together until done is closed, and returns its peak in bytes.
func peakMemory(done <-chan struct{}, pids func() []int) (peak int64) {
	for {
		sum := int64(0)
		for _, pid := range pids() {
			if used, err := anonymousMemory(pid); err == nil { // else the process has ended
				sum += used
			}
		}
		peak = max(peak, sum)
		select {
		case <-done:
			return peak
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// memoryTestTime is how long the clients of a memory test send: long enough for each to have had several requests.
const memoryTestTime = 7 * time.Second

// The agent stays within its memory limit while clients hold a third of its descriptors with large requests, and serves small
// requests beside them. Guards against an agent that is killed for its memory by slow uploads.
func TestMemoryStaysWithinItsLimit(t *testing.T) {
	for _, limits := range []struct{ memoryMB, sockets int }{{32, 1024}, {48, 896}} {
		for _, load := range memoryLoads {
			if limits.memoryMB != 32 && load.name != "streamed bodies" {
				continue // the strictest pair of limits is played in full
			}
			t.Run(fmt.Sprintf("%d MB, %d sockets, %s", limits.memoryMB, limits.sockets, load.name), func(t *testing.T) {
				d := startAgent(t, newFakeDiscovery(t, startSlowBackends(t, load.answerSize)...).addr, faultinject.Plan{}, nil, "",
					`"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, limits.memoryMB, limits.sockets))
				awaitReady(t, d.addr)
				done := make(chan struct{})
				stop := time.AfterFunc(memoryTestTime, func() { close(done) })
				defer stop.Stop()
				var played sync.WaitGroup
				played.Go(func() {
					if served := runClients(d.addr, load, limits.sockets/3, done); served == 0 && load.name != "headers" {
						t.Error("none of the large requests was served")
					}
				})
				if load.answerSize == 0 { // else the large requests are small until they are answered
					played.Go(func() { expectSmallRequestsServed(t, d, done) })
				}
				peak := peakMemory(done, func() []int { return []int{d.cmd.Process.Pid} })
				played.Wait()
				if t.Logf("peak %d kB", peak>>10); peak > int64(limits.memoryMB)<<20 {
					t.Errorf("the agent held %d kB, its limit is %d kB", peak>>10, limits.memoryMB<<10)
				}
			})
		}
	}
}

// expectSmallRequestsServed sends small requests one by one until done is closed, all of which must be answered with 200.
func expectSmallRequestsServed(t *testing.T, d *agentProcess, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if status, err := get(singleUseClient, d.addr, "/get/x"); status != http.StatusOK {
			t.Errorf("status %d, error %v for a small request beside the large ones, want 200", status, err)
		}
	}
}

// Both processes of an upgrade together stay within the memory limit while clients upload to both.
func TestMemoryOfAnUpgradeStaysWithinItsLimit(t *testing.T) {
	const memoryMB, sockets = 32, 1024
	load := memoryLoads[1]
	ln, err := net.Listen("tcp", freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	discovery, dir := newFakeDiscovery(t, startSlowBackends(t, 0)...).addr, t.TempDir()
	start := func() *agentProcess {
		return startAgent(t, discovery, faultinject.Plan{}, ln.(*net.TCPListener), dir, `"memory_mb":192,"sockets":1024`,
			fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, memoryMB, sockets))
	}
	older := start()
	older.awaitAdminOK(t, testTimeout, "/_ready", "")
	var pids atomic.Value
	pids.Store([]int{older.cmd.Process.Pid})
	done := make(chan struct{})
	var played sync.WaitGroup
	var served int64
	played.Go(func() { served = runClients(ln.Addr().String(), load, sockets/3, done) })
	peak := make(chan int64, 1)
	go func() { peak <- peakMemory(done, func() []int { return pids.Load().([]int) }) }()
	time.Sleep(memoryTestTime / 2)
	younger := start()
	pids.Store([]int{older.cmd.Process.Pid, younger.cmd.Process.Pid})
	younger.awaitAdminOK(t, testTimeout, "/_ready", "")
	older.signal(t, syscall.SIGTERM)
	time.Sleep(memoryTestTime / 2)
	close(done)
	played.Wait()
	if held := <-peak; held > memoryMB<<20 || served == 0 {
		t.Errorf("the two processes held %d kB, their limit is %d kB; %d uploads served, want some", held>>10, memoryMB<<10, served)
	} else {
		t.Logf("peak %d kB, %d uploads served", held>>10, served)
	}
}
