package main

// The program as a process: helpers that start it, and configurations that it rejects.

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds the wait for events that a working agent causes at once, even on a slow machine.
const testTimeout = 30 * time.Second

// TestMain runs the program itself if a test has started this binary as an agent.
func TestMain(m *testing.M) {
	if os.Getenv("AGENT_TEST_MAIN") == "1" {
		main()
		if os.Getenv("AGENT_TEST_SIGHUP_AT_EXIT") == "1" { // send a signal just before the program exits
			_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
			time.Sleep(time.Second)
		}
		os.Exit(0)
	}
	code := m.Run()
	if dir := faultyDir.Load(); dir != nil {
		_ = os.RemoveAll(*dir) // ignored: a leftover temporary folder is harmless
	}
	os.Exit(code)
}

var hostCounter atomic.Int64 // number of loopback hosts that freeAddr has returned

// startProgram starts this binary as an agent with a configuration, and returns its process and its log.
func startProgram(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "AGENT_TEST_MAIN=1", "PROXY_CONFIG="+path)
	log := &bytes.Buffer{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, log
}

// freeAddr returns an address at which nothing listens. Each address is on a different loopback host, so that no
// outgoing connection takes the port before the test uses it.
func freeAddr(t *testing.T) string {
	t.Helper()
	n := hostCounter.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()%30, 1+n/250%250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// configTemplate is a configuration with a known list of one backend. Its arguments are the agent's address for clients and the
// addresses of discovery and of the backend.
const configTemplate = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"zone":"a","kind":"m","state":"ready","weight":1}]},
 "settings":{"Balancers":1,"Dcs":["a"],"Kinds":["m"],"MembershipMode":"subscribe","TickMs":1,
  "Profiles":[{"Name":"get","AimMs":5000,"DeadlineMs":20000,"Worth":1,"Semantics":"repeatable"}],
  "PolicyLimits":{"TryLimit":2,"ConnectTimeoutMs":10000,"IdleCloseMs":60000},"Contract":{"AskWithinMs":1000}}}`

// With an invalid configuration the program exits with status 1 and logs a line that names the key.
func TestInvalidConfigurationEndsTheProgram(t *testing.T) {
	cmd, log := startProgram(t, `{"listen":"nowhere"}`)
	if err := cmd.Wait(); err == nil || cmd.ProcessState.ExitCode() != 1 || !strings.Contains(log.String(), "seed") {
		t.Errorf("exit error %v, want status 1 and a log line that names the key seed; log %q", err, log)
	}
}

// If PROXY_FD is not a listening socket, the program exits with status 1 and logs one line that names PROXY_FD.
func TestInvalidListenDescriptorEndsTheProgram(t *testing.T) {
	for _, fd := range []string{"none", "2", "77"} {
		t.Setenv("PROXY_FD", fd)
		t.Setenv("TMPDIR", t.TempDir())
		cmd, log := startProgram(t, fmt.Sprintf(configTemplate, freeAddr(t), freeAddr(t), freeAddr(t)))
		if err := cmd.Wait(); err == nil || cmd.ProcessState.ExitCode() != 1 || strings.Count(log.String(), "\n") != 1 ||
			!strings.Contains(log.String(), "PROXY_FD") {
			t.Errorf("PROXY_FD=%s: exit error %v, want status 1 and one log line; log %q", fd, err, log)
		}
	}
}

// awaitReady waits until the agent at addr reports that it is healthy.
func awaitReady(t *testing.T, addr string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + addr + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("the agent did not pass its health check within the test timeout")
		}
	}
}
