package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"brookferry/internal/lab/inject"
)

// A log that nobody reads any more, or whose disk is full, ends nothing.
func TestLogThatCannotBeWritten(t *testing.T) {
	backend := newStandIn(t)
	d := deploy(t, newCatalog(t, ready("s", backend)).addr, inject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	unread := exec.Command(d.cmd.Path)
	unread.Env, unread.Stderr = d.cmd.Env, write
	read.Close() // the first line is written to a broken pipe
	d.signal(t, syscall.SIGKILL)
	_ = d.cmd.Wait()
	if err := unread.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	defer func() { _ = unread.Process.Kill() }()
	ended := make(chan error, 1)
	go func() { ended <- unread.Wait() }()
	awaitReady(t, d.addr)
	if err := os.WriteFile(d.config, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 { // each is logged
		if err := unread.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.apply(t, inject.Plan{Failures: []inject.Failure{{Call: inject.Write, Path: "pipe:", Errno: syscall.ENOSPC}}})
	awaitAnswer(t, d, patience)
	if err := unread.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
