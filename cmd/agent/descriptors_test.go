package main

// The descriptor limit with many idle clients.

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// startLimited starts the program with a descriptor limit that the kernel enforces. The returned function reads the log.
func startLimited(t *testing.T, config string, limit int) (log func() string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", limit, os.Args[0]))
	cmd.Env = append(os.Environ(), "AGENT_TEST_MAIN=1", "PROXY_CONFIG="+path)
	logFile, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { logFile.Close() })
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	return func() string {
		text, err := os.ReadFile(logFile.Name())
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
}

// holdIdleConnections starts n clients that keep idle connections to an agent open until stop is closed. A client reconnects when
// its connection is closed. holdIdleConnections returns when each client has tried to connect once.
func holdIdleConnections(addr string, n int, stop <-chan struct{}) {
	var firstDials sync.WaitGroup
	for range n {
		firstDials.Add(1)
		go func() {
			for first := true; ; first = false {
				c, err := net.DialTimeout("tcp", addr, testTimeout)
				if first {
					firstDials.Done()
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
	firstDials.Wait()
}

// statusOf sends a request on a new connection and returns the status of the final answer, or 0 if there was none.
func statusOf(t *testing.T, url string) int {
	t.Helper()
	req, err := http.NewRequest("GET", url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Trace-Id", url)
	resp, err := singleUseClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// While discovery is down, idle clients use all descriptors that the agent gives to clients. The agent must still have descriptors
// for the first call to discovery after discovery recovers, for backends, for operators and for clients that send requests. The kernel
// enforces the descriptor limit of the process.
func TestIdleClientsLeaveDescriptorsForWork(t *testing.T) {
	const limit = 64 // the lowest that the program accepts
	backend := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) })
	addr, discovery, admin := freeAddr(t), freeAddr(t), freeAddr(t)
	t.Setenv("PROXY_MGMT", admin)
	log := startLimited(t, strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, limit), `"known"`, `"unknown"`).
		Replace(fmt.Sprintf(configTemplate, addr, discovery, backend)), limit)
	awaitStatus := func(what, url string, status int) {
		for end := time.Now().Add(testTimeout); statusOf(t, url) != status; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: no final answer with the expected status within the test timeout; log %s", what, log())
			}
		}
	}
	awaitStatus("health before the first list", "http://"+addr+"/_health", 503) // there is no endpoint list yet
	stop := make(chan struct{})
	defer close(stop)
	holdIdleConnections(addr, 2*limit, stop)
	ln, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"zone":"a","kind":"m","state":"ready","weight":1}]}`+"\n", backend)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	awaitStatus("health after the first list", "http://"+addr+"/_health", 200)
	awaitStatus("admin call", "http://"+admin+"/_ready", 200)
	for i := range 3 {
		awaitStatus("client request", fmt.Sprintf("http://%s/get/%d", addr, i), 200)
	}
	if text := log(); strings.Contains(text, "too many open files") {
		t.Errorf("the agent reached the descriptor limit; log %s", text)
	}
}
