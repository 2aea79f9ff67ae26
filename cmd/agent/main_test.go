package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 30 * time.Second

// TestMain runs the program itself where a test has started this binary as an agent.
func TestMain(m *testing.M) {
	if os.Getenv("AGENT_TEST_MAIN") == "1" {
		main()
		if os.Getenv("AGENT_TEST_SIGHUP_AT_EXIT") == "1" { // a signal just before the program exits
			_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
			time.Sleep(time.Second)
		}
		os.Exit(0)
	}
	code := m.Run()
	if dir := faultyDir.Load(); dir != nil {
		_ = os.RemoveAll(*dir) // a temporary folder: leftovers do no harm
	}
	os.Exit(code)
}

var hostCounter atomic.Int64 // loopback hosts that freeAddr has given out

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

// freeAddr returns an address at which nothing listens. It is on a loopback host of its own: on a shared one the port could be
// taken by a connection that is opened in the meantime.
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

const configTemplate = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"zone":"a","kind":"m","state":"ready","weight":1}]},
 "settings":{"Balancers":1,"Dcs":["a"],"Kinds":["m"],"MembershipMode":"subscribe","TickMs":1,
  "Profiles":[{"Name":"get","AimMs":5000,"DeadlineMs":20000,"Worth":1,"Semantics":"repeatable"}],
  "PolicyLimits":{"TryLimit":2,"ConnectTimeoutMs":10000,"IdleCloseMs":60000},"Contract":{"AskWithinMs":1000}}}`

func TestInvalidConfigurationEndsTheProgram(t *testing.T) {
	cmd, log := startProgram(t, `{"listen":"nowhere"}`)
	if err := cmd.Wait(); err == nil || cmd.ProcessState.ExitCode() != 1 || !strings.Contains(log.String(), "seed") {
		t.Errorf("%v, log %q", err, log)
	}
}

// A descriptor that is not a listening socket ends the program with one log line that names PROXY_FD.
func TestInvalidListenDescriptorEndsTheProgram(t *testing.T) {
	for _, fd := range []string{"none", "2", "77"} {
		t.Setenv("PROXY_FD", fd)
		t.Setenv("TMPDIR", t.TempDir())
		cmd, log := startProgram(t, fmt.Sprintf(configTemplate, freeAddr(t), freeAddr(t), freeAddr(t)))
		if err := cmd.Wait(); err == nil || cmd.ProcessState.ExitCode() != 1 || strings.Count(log.String(), "\n") != 1 ||
			!strings.Contains(log.String(), "PROXY_FD") {
			t.Errorf("PROXY_FD=%s: %v, log %q", fd, err, log)
		}
	}
}

// SIGHUP after the configuration was replaced: the agent follows discovery at its new address, although the environment still
// names the old one. A configuration that can't be read changes nothing.
func TestSighupFollowsDiscoveryToItsNewAddress(t *testing.T) {
	watched := make(chan struct{}, 10)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watched <- struct{}{}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	addr, old := freeAddr(t), freeAddr(t)
	t.Setenv("PROXY_DISCOVERY", old)
	cmd, _ := startProgram(t, fmt.Sprintf(configTemplate, addr, old, freeAddr(t)))
	awaitReady(t, addr)
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "PROXY_CONFIG=")
	for _, text := range []string{"{no configuration", fmt.Sprintf(configTemplate, addr, ln.Addr().String(), freeAddr(t))} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitReady(t, addr) // still running
	}
	select {
	case <-watched:
	case <-time.After(testTimeout):
		t.Fatal("the new address was not watched")
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
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
			t.Fatal("never ready")
		}
	}
}

// SIGTERM with a request in flight: the request is answered, and the program ends with status 0.
func TestSigtermLetsTheRequestInFlightFinish(t *testing.T) {
	came, hold := make(chan struct{}), make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(came)
		<-hold
		fmt.Fprint(w, "done")
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	addr := freeAddr(t)
	cmd, log := startProgram(t, fmt.Sprintf(configTemplate, addr, freeAddr(t), ln.Addr().String()))
	awaitReady(t, addr)
	answered := make(chan string, 1)
	go func() {
		req, _ := http.NewRequest("GET", "http://"+addr+"/get/x", nil)
		req.Header.Set("X-Trace-Id", "1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		answered <- fmt.Sprint(resp.StatusCode, string(text), err)
	}()
	select {
	case <-came:
	case <-time.After(testTimeout):
		t.Fatalf("the request did not arrive; log %q", log)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(hold)
	if got := <-answered; got != "200done<nil>" {
		t.Errorf("answer %q", got)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v; log %q", err, log)
	}
}

// SIGTERM while a reload waits for its configuration to be written, and another SIGHUP after it: the request in flight is
// answered meanwhile, and the program ends with status 0 once the configuration is there, valid or not.
func TestSigtermDuringAReloadEndsTheProgram(t *testing.T) {
	for _, usable := range []bool{true, false} {
		came, hold := make(chan struct{}), make(chan struct{})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(came)
			<-hold
			fmt.Fprint(w, "done")
		})}
		go func() { _ = server.Serve(ln) }()
		defer server.Close()
		addr := freeAddr(t)
		text := fmt.Sprintf(configTemplate, addr, freeAddr(t), ln.Addr().String())
		cmd, log := startProgram(t, text)
		awaitReady(t, addr)
		answered := make(chan string, 1)
		go func() {
			req, _ := http.NewRequest("GET", "http://"+addr+"/get/x", nil)
			req.Header.Set("X-Trace-Id", "1")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				answered <- err.Error()
				return
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			answered <- fmt.Sprint(resp.StatusCode, string(text), err)
		}()
		select {
		case <-came:
		case <-time.After(testTimeout):
			t.Fatal("the request did not arrive")
		}
		path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "PROXY_CONFIG=")
		if err := errors.Join(os.Remove(path), syscall.Mkfifo(path, 0o600), cmd.Process.Signal(syscall.SIGHUP)); err != nil {
			t.Fatal(err)
		}
		read := make(chan *os.File, 1)
		go func() {
			f, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program reads
			if err != nil {
				t.Error(err)
			}
			read <- f
		}()
		var replaced *os.File
		select {
		case replaced = <-read:
		case <-time.After(testTimeout):
			t.Fatal("the configuration is not read")
		}
		if err := errors.Join(os.Remove(path), os.WriteFile(path, []byte(text), 0o600), cmd.Process.Signal(syscall.SIGTERM)); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) { // until it drains
			resp, err := http.Get("http://" + addr + "/_health")
			if err == nil {
				resp.Body.Close()
			}
			if err != nil || resp.StatusCode != 200 {
				break
			}
			if time.Now().After(end) {
				t.Fatal("SIGTERM is not heeded")
			}
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		close(hold)
		if got := <-answered; got != "200done<nil>" { // although the reload still waits
			t.Errorf("answer %q", got)
		}
		if !usable {
			text = "{no configuration"
		}
		if _, err := replaced.WriteString(text); err != nil {
			t.Error(err)
		}
		replaced.Close()
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v; log %q", err, log)
		}
	}
}

// A SIGHUP just before the program exits after a SIGTERM changes nothing.
func TestSighupAtExitIsIgnored(t *testing.T) {
	t.Setenv("AGENT_TEST_SIGHUP_AT_EXIT", "1")
	addr := freeAddr(t)
	cmd, log := startProgram(t, fmt.Sprintf(configTemplate, addr, freeAddr(t), freeAddr(t)))
	awaitReady(t, addr)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v; log %q", err, log)
	}
}

// A process that starts at the address of a draining one, with discovery down and a known list, serves as soon as the address
// is free. The request of the older process is answered.
func TestNewProcessServesBesideADrainingOne(t *testing.T) {
	came, hold := make(chan struct{}, 10), make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if came <- struct{}{}; r.URL.Path == "/get/held" {
			<-hold
		}
		fmt.Fprint(w, r.URL.Path)
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	addr := freeAddr(t)
	text := fmt.Sprintf(configTemplate, addr, freeAddr(t), ln.Addr().String())
	older, _ := startProgram(t, text)
	awaitReady(t, addr)
	get := func(path string) string {
		req, err := http.NewRequest("GET", "http://"+addr+path, nil)
		if err != nil {
			return err.Error()
		}
		req.Header.Set("X-Trace-Id", path)
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, string(body), err)
	}
	answered := make(chan string, 1)
	go func() { answered <- get("/get/held") }()
	select {
	case <-came:
	case <-time.After(testTimeout):
		t.Fatal("the request did not arrive")
	}
	if err := older.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	younger, log := startProgram(t, text) // the older one is still listening
	awaitReady(t, addr)                   // the older one reports that it is not healthy by now
	if got := get("/get/new"); got != "200/get/new<nil>" {
		t.Errorf("%q", got)
	}
	close(hold)
	if got := <-answered; got != "200/get/held<nil>" {
		t.Errorf("the older one's request: %q", got)
	}
	if err := older.Wait(); err != nil {
		t.Error(err)
	}
	if err := younger.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := younger.Wait(); err != nil {
		t.Errorf("%v; log %q", err, log)
	}
}

// Idle clients take all the descriptors that they can get while discovery is down. There are still descriptors for the first
// call to discovery after its return, for backends, for operators and for clients that send requests. The system enforces the
// limit of the process.
func TestIdleClientsLeaveDescriptorsForWork(t *testing.T) {
	const limit = 64 // the lowest that the program accepts
	backend := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) })}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = backend.Serve(ln) }()
	defer backend.Close()
	addr, discovery, door := freeAddr(t), freeAddr(t), freeAddr(t)
	t.Setenv("PROXY_MGMT", door)
	text := strings.Replace(fmt.Sprintf(configTemplate, addr, discovery, ln.Addr().String()), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, limit), 1)
	text = strings.Replace(text, `"known"`, `"unknown"`, 1)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", limit, os.Args[0]))
	cmd.Env = append(os.Environ(), "AGENT_TEST_MAIN=1", "PROXY_CONFIG="+path)
	lines, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer lines.Close()
	cmd.Stderr = lines
	log := func() string {
		text, err := os.ReadFile(lines.Name())
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	ask := func(url string) int {
		req, err := http.NewRequest("GET", url, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Trace-Id", url)
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}).Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	await := func(what, url string, status int) {
		for end := time.Now().Add(testTimeout); ask(url) != status; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: never; log %s", what, log())
			}
		}
	}
	await("the program", "http://"+addr+"/_health", 503) // it has no list
	stop := make(chan struct{})
	defer close(stop)
	var held sync.WaitGroup
	for range 2 * limit { // each reconnects when its connection is closed
		held.Add(1)
		go func() {
			for first := true; ; first = false {
				c, err := net.DialTimeout("tcp", addr, testTimeout)
				if first {
					held.Done()
				}
				if err == nil {
					go func() { <-stop; c.Close() }()
					_, _ = c.Read(make([]byte, 1))
					c.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		}()
	}
	held.Wait()
	back, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	catalog := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"zone":"a","kind":"m","state":"ready","weight":1}]}`+"\n", ln.Addr())
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})}
	go func() { _ = catalog.Serve(back) }()
	defer catalog.Close()
	await("a list", "http://"+addr+"/_health", 200)
	await("an operator", "http://"+door+"/_ready", 200)
	for i := range 3 {
		await("a client", fmt.Sprintf("http://%s/get/%d", addr, i), 200)
	}
	if text := log(); strings.Contains(text, "too many open files") {
		t.Errorf("the limit was met: %s", text)
	}
}
