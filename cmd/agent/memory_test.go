package main

// The memory of an agent whose clients hold a third of its descriptors with requests that take much of it.

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

var memoryFull = flag.Bool("memory.full", false, "play the memory tests with more limits")

// anonymousMemory returns the resident anonymous memory of a process in bytes: the program's file is not counted.
func anonymousMemory(pid int) (int64, error) { return processStatus(pid, "RssAnon") }

// peakMemory samples the memory of processes together until ctx is done, and returns its peak in bytes.
func peakMemory(ctx context.Context, pids func() []int) (peak int64) {
	for !doneWithin(ctx, 10*time.Millisecond) {
		sum := int64(0)
		for _, pid := range pids() {
			if used, err := anonymousMemory(pid); err == nil { // else the process has ended
				sum += used
			}
		}
		peak = max(peak, sum)
	}
	return peak
}

// memoryTestTime is how long the clients of a memory test send: long enough for each to have had several requests.
const memoryTestTime = 7 * time.Second

// memoryLimits are limits of an agent: the memory in MB and the number of descriptors.
type memoryLimits struct{ memoryMB, sockets int }

func (l memoryLimits) String() string { return fmt.Sprintf("%d MB, %d sockets", l.memoryMB, l.sockets) }

// edit returns the replacement of the limits in the test configuration, for startAgent.
func (l memoryLimits) edit() []string {
	return []string{`"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, l.memoryMB, l.sockets)}
}

// strictestLimits are the least memory and the most descriptors that a configuration may state.
var strictestLimits = memoryLimits{32, 1024}

// fullLimits are the corners of the ranges of limits, and pairs between them.
var fullLimits = []memoryLimits{{32, 256}, {32, 512}, strictestLimits, {48, 896}, {64, 384}, {64, 1024}, {96, 1024}, {192, 256}, {192, 1024}}

// The agent stays within its memory limit while clients hold a third of its descriptors with large requests, and serves small
// requests beside them. Guards against an agent that is killed for its memory by slow uploads.
func TestMemoryStaysWithinItsLimit(t *testing.T) {
	played := []memoryLimits{strictestLimits}
	if *memoryFull {
		played = fullLimits
	}
	for _, limits := range played {
		for _, load := range memoryLoads {
			t.Run(fmt.Sprintf("%v, %s", limits, load.name), func(t *testing.T) { playMemoryLoad(t, limits, load) })
		}
	}
	t.Run("streamed bodies between the limits", func(t *testing.T) { playMemoryLoad(t, memoryLimits{48, 896}, memoryLoads[1]) })
}

// playMemoryLoad runs one agent under a load and checks its memory and its answers to small requests.
func playMemoryLoad(t *testing.T, limits memoryLimits, load memoryLoad) {
	d := startAgent(t, newFakeDiscovery(t, startSlowBackends(t, load)...).addr, faultinject.Plan{}, nil, "", limits.edit()...)
	awaitReady(t, d.addr)
	ctx, cancel := context.WithTimeout(t.Context(), memoryTestTime)
	defer cancel()
	var running sync.WaitGroup
	var served int64
	running.Go(func() { served = runClients(ctx, d.addr, load, limits.sockets/3) })
	if load.beside != nil {
		running.Go(func() { runClients(ctx, d.addr, *load.beside, limits.sockets/6) })
	}
	if load.answerSize == 0 && load.answerDelay == 0 && load.backends == 0 { // else the large requests are small until they are answered
		running.Go(func() { expectSmallRequestsServed(ctx, t, d) })
	}
	peak := peakMemory(ctx, func() []int { return []int{d.cmd.Process.Pid} })
	running.Wait()
	if served == 0 && load.expectsAnswers() {
		t.Error("none of the large requests was served")
	}
	if t.Logf("peak %d kB, %d served", peak>>10, served); peak > int64(limits.memoryMB)<<20 {
		t.Errorf("the agent held %d kB, its limit is %d kB", peak>>10, limits.memoryMB<<10)
	}
}

// expectSmallRequestsServed sends requests without a body, with one of 20 kB and with a small chunked one in turn until ctx is done,
// all of which must be answered with 200.
func expectSmallRequestsServed(ctx context.Context, t *testing.T, d *agentProcess) {
	withBody := memoryLoad{write: func(conn net.Conn) error {
		_, err := fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nContent-Length: 20000\r\n\r\n%s",
			requestCounter.Add(1), strings.Repeat("x", 20_000))
		return err
	}}
	chunked := memoryLoad{write: func(conn net.Conn) error {
		_, err := fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			requestCounter.Add(1))
		return err
	}}
	for !doneWithin(ctx, 50*time.Millisecond) {
		if status, err := get(singleUseClient, d.addr, "/get/x"); status != http.StatusOK {
			t.Errorf("status %d, error %v for a request without a body beside the large ones, want 200", status, err)
		}
		if status, err := withBody.exchange(t.Context(), d.addr); status != http.StatusOK {
			t.Errorf("status %d, error %v for a body of 20 kB beside the large ones, want 200", status, err)
		}
		if status, err := chunked.exchange(t.Context(), d.addr); status != http.StatusOK {
			t.Errorf("status %d, error %v for a small chunked body beside the large ones, want 200", status, err)
		}
	}
}

// Both processes of an upgrade together stay within the memory limit while clients send to both: bodies that end before and after the
// older process has to end, and requests that they abandon.
func TestMemoryOfAnUpgradeStaysWithinItsLimit(t *testing.T) {
	played := []memoryLimits{strictestLimits}
	if *memoryFull {
		played = fullLimits
	}
	for _, limits := range played {
		for _, load := range upgradeLoads {
			t.Run(fmt.Sprintf("%v, %s", limits, load.name), func(t *testing.T) { playMemoryUpgrade(t, limits, load) })
		}
	}
}

// Both processes of an upgrade together stay within the memory limit in the largest fleet too.
func TestMemoryOfAnUpgradeInTheLargestFleet(t *testing.T) {
	playMemoryUpgrade(t, strictestLimits, largeFleetUpgrade)
}

// playMemoryUpgrade replaces an agent's process under a load, and checks the memory of both processes.
func playMemoryUpgrade(t *testing.T, limits memoryLimits, load memoryLoad) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	discovery, dir := newFakeDiscovery(t, startSlowBackends(t, load)...).addr, t.TempDir()
	start := func() *agentProcess {
		return startAgent(t, discovery, faultinject.Plan{}, ln, dir, limits.edit()...)
	}
	older := start()
	older.awaitAdminOK(t, testTimeout, "/_ready", "")
	var pids atomic.Value
	pids.Store([]int{older.cmd.Process.Pid})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var running sync.WaitGroup
	var served, peak int64
	running.Go(func() { served = runClients(ctx, ln.Addr().String(), load, limits.sockets/3) })
	running.Go(func() { peak = peakMemory(ctx, func() []int { return pids.Load().([]int) }) })
	time.Sleep(memoryTestTime / 2)
	younger := start()
	pids.Store([]int{older.cmd.Process.Pid, younger.cmd.Process.Pid})
	younger.awaitAdminOK(t, testTimeout, "/_ready", "")
	older.signal(t, syscall.SIGTERM)
	time.Sleep(memoryTestTime / 2)
	cancel()
	running.Wait()
	if served == 0 && load.expectsAnswers() {
		t.Error("none of the requests was served")
	}
	if t.Logf("peak %d kB, %d served", peak>>10, served); peak > int64(limits.memoryMB)<<20 {
		t.Errorf("the two processes held %d kB, their limit is %d kB", peak>>10, limits.memoryMB<<10)
	}
}
