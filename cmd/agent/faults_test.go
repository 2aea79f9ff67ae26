package main

import (
	"context"
	"encoding/json"
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

	"martenbeam/internal/lab/faultinject"
)

// faulty is the program with the hooks of package inject, built once.
var faulty = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "agent-faulty-")
	if err != nil {
		return "", err
	}
	faultyDir.Store(&dir)
	return faultinject.Build(context.Background(), "../..", "./cmd/agent", dir)
})

var faultyDir atomic.Pointer[string]

// standIn is a backend that counts requests, and holds those to /get/held until it is let go.
type standIn struct {
	addr string
	seen atomic.Int64
	ids  sync.Map      // of the requests
	took time.Duration // each answer takes; set before the first request
}

func newStandIn(t *testing.T) *standIn {
	t.Helper()
	s := &standIn{}
	s.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		s.seen.Add(1)
		s.ids.Store(r.Header.Get("X-Trace-Id"), nil)
		select {
		case <-time.After(s.took):
		case <-r.Context().Done():
		}
		fmt.Fprint(w, r.URL.Path)
	})
	return s
}

func serveHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

// listed is one backend of a list.
type listed struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// catalog is a discovery that pushes whole lists.
type catalog struct {
	addr  string
	mu    sync.Mutex
	now   []listed
	count int
	told  chan struct{} // closed with the next list
}

func newCatalog(t *testing.T, first ...listed) *catalog {
	t.Helper()
	c := &catalog{now: first, count: 1, told: make(chan struct{})}
	c.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		for {
			c.mu.Lock()
			list, version, told := c.now, c.count, c.told
			c.mu.Unlock()
			_ = json.NewEncoder(w).Encode(map[string]any{"version": version, "full": true, "servers": list})
			_ = http.NewResponseController(w).Flush()
			select {
			case <-told:
			case <-r.Context().Done():
				return
			}
		}
	})
	return c
}

func ready(id string, s *standIn) listed {
	return listed{ID: id, Addr: s.addr, Zone: "a", Kind: "m", State: "ready", Weight: 1}
}

// deployed is a running program that faults can be injected into.
type deployed struct {
	faultinject.Control
	cmd        *exec.Cmd
	addr, door string
	config     string // its path
	log        *os.File
}

const faultsConfig = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "settings":{"Balancers":1,"Dcs":["a"],"Kinds":["m"],"MembershipMode":"automatic","TickMs":1,
  "Profiles":[{"Name":"get","AimMs":5000,"DeadlineMs":5000,"Worth":1,"Semantics":"repeatable"},
   {"Name":"pay","AimMs":5000,"DeadlineMs":5000,"Worth":1,"Semantics":"once"}],
  "PolicyLimits":{"TryLimit":4,"ConnectTimeoutMs":1000,"IdleCloseMs":60000},
  "Contract":{"AskWithinMs":1000,"DrainGraceMs":500,"GraceToAnswerMs":20,"ColdFrom":0.1,"RampTimeMs":20000,"FallMultiple":3,"FallMs":2000}}}`

// deploy starts the program with a plan in force. A listener and a folder make it replaceable.
// Edits are pairs of texts that are replaced in its configuration.
func deploy(t *testing.T, discovery string, plan faultinject.Plan, ln *net.TCPListener, dir string, edits ...string) *deployed {
	t.Helper()
	program, err := faulty()
	if err != nil {
		t.Fatal(err)
	}
	own := t.TempDir()
	d := &deployed{Control: faultinject.Control{Path: filepath.Join(own, "INJECT.json")}, addr: freeAddr(t), door: freeAddr(t),
		config: filepath.Join(own, "config.json")}
	if ln != nil {
		d.addr = ln.Addr().String()
	}
	config := strings.NewReplacer(edits...).Replace(fmt.Sprintf(faultsConfig, d.addr, discovery))
	if err := errors.Join(d.Write(plan), os.WriteFile(d.config, []byte(config), 0o600)); err != nil {
		t.Fatal(err)
	}
	if d.log, err = os.Create(filepath.Join(own, "log")); err != nil {
		t.Fatal(err)
	}
	d.cmd = exec.Command(program)
	d.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+d.config, "PROXY_MGMT="+d.door, faultinject.ControlVariable+"="+d.Path, "TMPDIR="+own)
	if ln != nil {
		f, err := ln.File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		d.cmd.ExtraFiles = []*os.File{f, f}
		d.cmd.Env = append(d.cmd.Env, "PROXY_FD=4", "TMPDIR="+dir)
	}
	d.cmd.Stderr = d.log
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
		if t.Failed() {
			t.Logf("log of %s:\n%s", d.door, d.lines(t))
		}
		d.log.Close()
	})
	return d
}

func (d *deployed) lines(t *testing.T) string {
	text, err := os.ReadFile(d.log.Name())
	if err != nil {
		t.Error(err)
	}
	return string(text)
}

// apply puts a plan in force.
func (d *deployed) apply(t *testing.T, p faultinject.Plan) {
	t.Helper()
	if err := d.Apply(p); err != nil {
		t.Fatal(err)
	}
}

func (d *deployed) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := d.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// alone is a client whose every request has a connection of its own.
var alone = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}

var requests atomic.Int64

// request sends a request once, as a client does.
func request(client *http.Client, addr, path string) (status int, err error) {
	req, err := http.NewRequest("GET", "http://"+addr+path, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Trace-Id", fmt.Sprintf("%016x", requests.Add(1)))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// call makes an operator's call.
func (d *deployed) call(t *testing.T, path, body string) (status int, took time.Duration) {
	t.Helper()
	method, began := http.MethodPut, time.Now()
	if body == "" && path == "/_ready" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+d.door+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := alone.Do(req)
	if err != nil {
		return 0, time.Since(began)
	}
	resp.Body.Close()
	return resp.StatusCode, time.Since(began)
}

// lateness measures how late the machine runs what is due, from now on: the most so far. Bounds of real time are judged beside it,
// since a busy machine holds up the program as it does the test.
func lateness(t *testing.T) (most func() time.Duration) {
	t.Helper()
	const every = 2 * time.Millisecond
	var worst atomic.Int64
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			began := time.Now()
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			worst.Store(max(worst.Load(), int64(time.Since(began)-every)))
		}
	}()
	return func() time.Duration { return time.Duration(worst.Load()) }
}

// await waits until something is so.
func await(t *testing.T, what string, within time.Duration, so func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !so(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, within)
		}
	}
}
