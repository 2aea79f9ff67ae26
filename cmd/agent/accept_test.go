package main

// Failing system calls: accept, the calls during the start, and calls on sockets.

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// acceptErrnos are the transient errors of accept(2), including the network errors of a pending connection.
var acceptErrnos = []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.EHOSTDOWN, syscall.ENONET, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP}

// requestThroughFailingAccepts sends a request while accept fails for 2 s, and checks that the request is served.
func requestThroughFailingAccepts(t *testing.T, d *agentProcess) {
	t.Helper()
	d.applyPlan(t, failing(faultinject.Failure{Call: faultinject.Accept, Errno: syscall.ENOBUFS}))
	answered := make(chan error, 1)
	go func() {
		status, err := get(singleUseClient, d.addr, "/get/x")
		if status != 200 {
			err = fmt.Errorf("status %d: %w", status, err)
		}
		answered <- err
	}()
	time.Sleep(2 * time.Second)
	d.applyPlan(t, faultinject.Plan{})
	if err := <-answered; err != nil {
		t.Errorf("request sent while accept failed for 2 s: %v, want status 200", err)
	}
}

// The agent still serves clients and operators when accept fails once, three times in a row or for 2 s, and when epoll_ctl fails
// to register a connection.
func TestFailingAcceptsLoseNoRequest(t *testing.T) {
	backend := newFakeBackend(t)
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	for _, errno := range acceptErrnos {
		for _, times := range []int{1, 3} {
			d.applyPlan(t, failing(faultinject.Failure{Call: faultinject.Accept, Errno: errno, Times: times}))
			if status, err := get(singleUseClient, d.addr, "/get/x"); status != 200 {
				t.Fatalf("accept failed %d times with %v: status %d, error %v, want 200", times, errno, status, err)
			}
			if status, _ := d.adminCall(t, "/_ready", ""); status != 200 {
				t.Fatalf("admin call after accept failed %d times with %v: status %d, want 200", times, errno, status)
			}
		}
	}
	for _, errno := range []syscall.Errno{syscall.ENOMEM, syscall.ENOSPC} {
		for _, times := range []int{1, 3} {
			d.applyPlan(t, failing(faultinject.Failure{Call: faultinject.EpollAdd, Errno: errno, Times: times}))
			// The agent may close an unregistered connection before it reads the request, so the test repeats the request.
			await(t, fmt.Sprintf("final answer after epoll_ctl failed %d times with %v", times, errno), testTimeout, func() bool {
				status, _ := get(singleUseClient, d.addr, "/get/x")
				return status == 200
			})
		}
	}
	requestThroughFailingAccepts(t, d)
	d.signal(t, syscall.SIGTERM)
	if err := d.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// An agent starts and serves requests although system calls fail transiently during its start.
func TestAgentStartsThroughFailingSystemCalls(t *testing.T) {
	backend := newFakeBackend(t)
	discovery := newFakeDiscovery(t, readyEndpoint("s", backend))
	for _, failure := range []faultinject.Failure{
		{Call: faultinject.Open, Path: "config.json", Errno: syscall.ENFILE, Times: 3},
		{Call: faultinject.Read, Path: "config.json", Errno: syscall.EIO, Times: 1},
		{Call: faultinject.Socket, Errno: syscall.ENOBUFS, Times: 3},
		{Call: faultinject.Socket, Errno: syscall.ENFILE, Times: 1},
		{Call: faultinject.Bind, Errno: syscall.EADDRNOTAVAIL, Times: 3},
		{Call: faultinject.Connect, Errno: syscall.ENETUNREACH, Times: 3},
		{Call: faultinject.Listen, Errno: syscall.EADDRINUSE, Times: 3},
		{Call: faultinject.Option, Errno: syscall.ENOBUFS, Times: 3},
		{Call: faultinject.Name, Errno: syscall.ENOBUFS, Times: 2},
		{Call: faultinject.EpollAdd, Errno: syscall.ENOMEM, Times: 3},
	} {
		t.Run(fmt.Sprint(failure.Call, " ", failure.Errno, " ", failure.Path), func(t *testing.T) {
			t.Parallel()
			d := startAgent(t, discovery.addr, faultinject.Plan{Failures: []faultinject.Failure{failure}}, nil, "",
				peerEdits(freeAddr(t), freeAddr(t))...)
			awaitServed(t, d, 10*time.Second)
		})
	}
}

// peerEdits returns the configuration edits for startAgent that set two peers: the agent itself and another address.
func peerEdits(own, other string) []string {
	peers := fmt.Sprintf(`"peer_listen":%q,"peers":[%q,%q],`, own, own, other)
	return []string{`"settings":{"Balancers":1`, peers + `"settings":{"Balancers":2,"Me":0`, `"TryLimit":4`,
		`"TryLimit":4,"Peers":true`}
}

// No request is lost when datagram or socket option calls fail once, three times in a row or for 2 s, and the agent does not
// retry the calls in a busy loop.
func TestFailingSocketCallsLoseNoRequest(t *testing.T) {
	backend := newFakeBackend(t)
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	own := freeAddr(t)
	agentAddr, err := net.ResolveUDPAddr("udp", own)
	if err != nil {
		t.Fatal(err)
	}
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "",
		peerEdits(own, peer.LocalAddr().String())...)
	awaitReady(t, d.addr)
	for _, call := range []string{faultinject.Receive, faultinject.Send, faultinject.Option, faultinject.Name,
		faultinject.Descriptor} {
		for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EHOSTUNREACH, syscall.ECONNREFUSED,
			syscall.EPERM} {
			for _, times := range []int{1, 3} {
				d.applyPlan(t, failing(faultinject.Failure{Call: call, Errno: errno, Times: times}))
				if status, err := get(singleUseClient, d.addr, "/get/x"); status != 200 {
					t.Errorf("%d failures of %s with %v: status %d, error %v, want 200", times, call, errno, status, err)
				}
			}
		}
		d.applyPlan(t, failing(faultinject.Failure{Call: call, Errno: syscall.ENOBUFS}))
		if _, err := peer.WriteTo([]byte("x"), agentAddr); err != nil { // a datagram for the agent to read
			t.Fatal(err)
		}
		before, startedAt := cpuTime(t, d.cmd.Process.Pid), time.Now()
		for time.Since(startedAt) < 2*time.Second {
			if status, err := get(singleUseClient, d.addr, "/get/x"); status != 200 {
				t.Errorf("%s fails for 2 s: status %d, error %v, want 200", call, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if used := cpuTime(t, d.cmd.Process.Pid) - before; used > time.Second {
			t.Errorf("%s fails for 2 s: the agent used %v of processor time, want at most 1 s", call, used)
		}
	}
}

// cpuTime returns the user and system time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const user, system, tick = 11, 12, 10 * time.Millisecond // fields after the command name, and their unit
	sum := time.Duration(0)
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			t.Fatal(err)
		}
		sum += time.Duration(n) * tick
	}
	return sum
}
