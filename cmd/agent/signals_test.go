package main

// SIGHUP and SIGTERM, alone and together, also while requests are in flight.

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// blockingBackend is a backend that serves one request: it responds "done" after release is closed.
type blockingBackend struct {
	addr    string
	arrived chan struct{} // closed when the request has arrived
	release chan struct{} // closed by the test
}

func newBlockingBackend(t *testing.T) *blockingBackend {
	t.Helper()
	b := &blockingBackend{arrived: make(chan struct{}), release: make(chan struct{})}
	b.addr = serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		close(b.arrived)
		<-b.release
		fmt.Fprint(w, "done")
	})
	return b
}

// finalAnswerTo sends a request to an agent and returns the status, body and error of the final answer as one string.
func finalAnswerTo(client *http.Client, addr, path, id string) string {
	req, err := http.NewRequest("GET", "http://"+addr+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("X-Trace-Id", id)
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, string(text), err)
}

// inBackground runs a function in a goroutine and returns a channel that delivers the result.
func inBackground(run func() string) <-chan string {
	done := make(chan string, 1)
	go func() { done <- run() }()
	return done
}

// awaitArrival waits until a request has arrived at a backend.
func awaitArrival(t *testing.T, arrived <-chan struct{}) {
	t.Helper()
	select {
	case <-arrived:
	case <-time.After(testTimeout):
		t.Fatal("the request did not arrive at the backend")
	}
}

// configPath returns the path of the configuration of a program that startProgram has started.
func configPath(cmd *exec.Cmd) string {
	return strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "PROXY_CONFIG=")
}

// terminate sends SIGTERM to a process.
func terminate(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// After its configuration is replaced and SIGHUP is sent, the agent uses discovery at the new address, although the environment
// still contains the old address. A SIGHUP with an invalid configuration changes nothing.
func TestSighupFollowsDiscoveryToItsNewAddress(t *testing.T) {
	watched := make(chan struct{}, 10)
	discovery := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		watched <- struct{}{}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	addr, old := freeAddr(t), freeAddr(t)
	t.Setenv("PROXY_DISCOVERY", old)
	cmd, _ := startProgram(t, fmt.Sprintf(configTemplate, addr, old, freeAddr(t)))
	awaitReady(t, addr)
	for _, text := range []string{"{no configuration", fmt.Sprintf(configTemplate, addr, discovery, freeAddr(t))} {
		if err := os.WriteFile(configPath(cmd), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitReady(t, addr) // the agent is still running
	}
	select {
	case <-watched:
	case <-time.After(testTimeout):
		t.Fatal("the agent opened no watch at the new discovery address")
	}
	terminate(t, cmd)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// If SIGTERM arrives while a request is in flight, the request is answered and the program exits with status 0.
func TestSigtermLetsTheRequestInFlightFinish(t *testing.T) {
	backend, addr := newBlockingBackend(t), freeAddr(t)
	cmd, log := startProgram(t, fmt.Sprintf(configTemplate, addr, freeAddr(t), backend.addr))
	awaitReady(t, addr)
	answered := inBackground(func() string { return finalAnswerTo(http.DefaultClient, addr, "/get/x", "1") })
	awaitArrival(t, backend.arrived)
	terminate(t, cmd)
	close(backend.release)
	if got := <-answered; got != "200done<nil>" {
		t.Errorf("final answer %q, want status 200 and body done", got)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit error %v, want status 0; log %q", err, log)
	}
}

// awaitPipeReader waits until another process has opened a named pipe for reading, and returns the writing end.
func awaitPipeReader(t *testing.T, path string) *os.File {
	t.Helper()
	opened := make(chan *os.File, 1)
	go func() {
		f, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the other process opens the pipe
		if err != nil {
			t.Error(err)
		}
		opened <- f
	}()
	select {
	case f := <-opened:
		return f
	case <-time.After(testTimeout):
		t.Fatal("the agent did not open its configuration")
		return nil
	}
}

// awaitDraining waits until the agent at addr fails its health check or accepts no connections.
func awaitDraining(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/_health")
		if err == nil {
			resp.Body.Close()
		}
		if err != nil || resp.StatusCode != 200 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the agent is still healthy after SIGTERM")
		}
	}
}

// SIGTERM and then another SIGHUP arrive while a reload waits for its configuration to be written. The request in flight is answered
// during the wait. When the configuration has been written, valid or not, the program exits with status 0.
func TestSigtermDuringAReloadEndsTheProgram(t *testing.T) {
	for _, valid := range []bool{true, false} {
		backend, addr := newBlockingBackend(t), freeAddr(t)
		text := fmt.Sprintf(configTemplate, addr, freeAddr(t), backend.addr)
		cmd, log := startProgram(t, text)
		awaitReady(t, addr)
		answered := inBackground(func() string { return finalAnswerTo(http.DefaultClient, addr, "/get/x", "1") })
		awaitArrival(t, backend.arrived)
		path := configPath(cmd)
		if err := errors.Join(os.Remove(path), syscall.Mkfifo(path, 0o600), cmd.Process.Signal(syscall.SIGHUP)); err != nil {
			t.Fatal(err)
		}
		pipe := awaitPipeReader(t, path)
		if err := errors.Join(os.Remove(path), os.WriteFile(path, []byte(text), 0o600),
			cmd.Process.Signal(syscall.SIGTERM)); err != nil {
			t.Fatal(err)
		}
		awaitDraining(t, addr)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		close(backend.release)
		if got := <-answered; got != "200done<nil>" { // the reload is still waiting
			t.Errorf("final answer %q, want status 200 and body done", got)
		}
		if !valid {
			text = "{no configuration"
		}
		if _, err := pipe.WriteString(text); err != nil {
			t.Error(err)
		}
		pipe.Close()
		if err := cmd.Wait(); err != nil {
			t.Errorf("exit error %v, want status 0; log %q", err, log)
		}
	}
}

// A SIGHUP that arrives after a SIGTERM, just before the program exits, does not change the exit status.
func TestSighupAtExitIsIgnored(t *testing.T) {
	t.Setenv("AGENT_TEST_SIGHUP_AT_EXIT", "1")
	addr := freeAddr(t)
	cmd, log := startProgram(t, fmt.Sprintf(configTemplate, addr, freeAddr(t), freeAddr(t)))
	awaitReady(t, addr)
	terminate(t, cmd)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit error %v, want status 0; log %q", err, log)
	}
}

// A new process starts at the address of a draining process, with discovery down and a known list. The new process serves as soon
// as the address is free, and the request in flight in the draining process is answered.
func TestNewProcessServesBesideADrainingOne(t *testing.T) {
	arrived, release := make(chan struct{}, 10), make(chan struct{})
	backend := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if arrived <- struct{}{}; r.URL.Path == "/get/held" {
			<-release
		}
		fmt.Fprint(w, r.URL.Path)
	})
	addr := freeAddr(t)
	text := fmt.Sprintf(configTemplate, addr, freeAddr(t), backend)
	drainingProcess, _ := startProgram(t, text)
	awaitReady(t, addr)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answered := inBackground(func() string { return finalAnswerTo(client, addr, "/get/held", "/get/held") })
	awaitArrival(t, arrived)
	terminate(t, drainingProcess)
	newProcess, log := startProgram(t, text) // the draining process is still listening
	awaitReady(t, addr)                      // only the new process can pass the health check: the draining one fails it
	if got := finalAnswerTo(client, addr, "/get/new", "/get/new"); got != "200/get/new<nil>" {
		t.Errorf("final answer of the new process: %q, want status 200 and the path", got)
	}
	close(release)
	if got := <-answered; got != "200/get/held<nil>" {
		t.Errorf("final answer of the draining process: %q, want status 200 and the path", got)
	}
	if err := drainingProcess.Wait(); err != nil {
		t.Error(err)
	}
	terminate(t, newProcess)
	if err := newProcess.Wait(); err != nil {
		t.Errorf("exit error %v, want status 0; log %q", err, log)
	}
}
