package main

// Log streams that fail or block.

import (
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// restartWithLog kills the process and starts it again with log as its standard error. It closes log in the test process, so that
// only the agent has the file open.
func (d *agentProcess) restartWithLog(t *testing.T, log *os.File) (cmd *exec.Cmd, exited <-chan error) {
	t.Helper()
	d.signal(t, syscall.SIGKILL)
	_ = d.cmd.Wait()
	cmd = exec.Command(d.cmd.Path)
	cmd.Env, cmd.Stderr = d.cmd.Env, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	log.Close()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	return cmd, done
}

// The agent keeps running when the reader of its log has closed the pipe or the log's disk is full.
func TestFailingLogDoesNotStopTheAgent(t *testing.T) {
	backend := newFakeBackend(t)
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	read.Close() // the agent writes its first line to a broken pipe
	restarted, exited := d.restartWithLog(t, write)
	awaitReady(t, d.addr)
	if err := os.WriteFile(d.configPath, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 { // the agent logs each failed reload
		if err := restarted.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.applyPlan(t, failing(faultinject.Failure{Call: faultinject.Write, Path: "pipe:",
		Errno: syscall.ENOSPC}))
	awaitServed(t, d, testTimeout)
	if err := restarted.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-exited; err != nil {
		t.Error(err)
	}
}

// The agent starts, serves and exits although nothing reads its log and the pipe is full.
func TestBlockedLogDoesNotStopTheAgent(t *testing.T) {
	backend := newFakeBackend(t)
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", backend)).addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	fillPipe(t, write)
	restarted, exited := d.restartWithLog(t, write)
	awaitReady(t, d.addr)
	if status, err := get(singleUseClient, d.addr, "/get/x"); status != http.StatusOK {
		t.Errorf("status %d, error %v, want 200", status, err)
	}
	if err := restarted.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-exited:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3700 * time.Millisecond): // the platform sends SIGKILL at this time
		t.Error("the agent is still running 3.7 s after SIGTERM, when the platform sends SIGKILL")
	}
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, pipe *os.File) {
	t.Helper()
	if err := pipe.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for part := make([]byte, 4096); ; {
		if _, err := pipe.Write(part); err != nil {
			break
		}
	}
	if err := syscall.SetNonblock(int(pipe.Fd()), false); err != nil { // a program inherits a blocking pipe
		t.Fatal(err)
	}
}
