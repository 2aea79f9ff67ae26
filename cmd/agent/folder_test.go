package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// awaitCall waits until a call is answered with yes.
func (d *deployed) awaitCall(t *testing.T, within time.Duration, path, body string) {
	t.Helper()
	status, end := 0, time.Now().Add(within)
	for status != 200 {
		if time.Now().After(end) {
			t.Fatalf("%s: %d after %v", path, status, within)
		}
		if status, _ = d.call(t, path, body); status != 200 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// replaced is an agent whose first process runs, with two backends.
type replaced struct {
	one, two  *standIn
	discovery *catalog
	ln        *net.TCPListener
	dir       string
	older     *deployed
}

func newReplaced(t *testing.T, plan faultinject.Plan) *replaced {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	r := &replaced{one: newStandIn(t), two: newStandIn(t), ln: ln, dir: t.TempDir()}
	r.discovery = newCatalog(t, ready("one", r.one), ready("two", r.two))
	r.older = deploy(t, r.discovery.addr, plan, ln, r.dir)
	r.older.awaitCall(t, 6*time.Second, "/_ready", "")
	return r
}

// upgrade replaces the process as the platform does, and reports how many of 30 requests reach backend one afterwards.
func (r *replaced) upgrade(t *testing.T, plan faultinject.Plan) (reached int64) {
	t.Helper()
	younger := deploy(t, r.discovery.addr, plan, r.ln, r.dir)
	younger.awaitCall(t, 6*time.Second, "/_ready", "")
	r.older.signal(t, syscall.SIGTERM)
	if err := r.older.cmd.Wait(); err != nil {
		t.Error(err)
	}
	r.older = younger
	return r.reaching(t, younger)
}

// reaching sends 30 requests, and reports how many of them reach backend one.
func (r *replaced) reaching(t *testing.T, d *deployed) int64 {
	t.Helper()
	was := r.one.seen.Load()
	for range 30 {
		if status, err := request(alone, d.addr, "/get/x"); status != 200 {
			t.Errorf("%d, %v", status, err)
		}
	}
	return r.one.seen.Load() - was
}

const detachOne = `{"target":"one"}`

// What operators have been told yes to holds over an upgrade, whatever the folder did before.
func TestDetachOverAFailingFolder(t *testing.T) {
	at := func(call, path string, errno syscall.Errno, times int) faultinject.Plan {
		return faultinject.Plan{Failures: []faultinject.Failure{{Call: call, Path: path, Errno: errno, Times: times}}}
	}
	for name, c := range map[string]struct {
		start, during, younger faultinject.Plan
	}{
		"first write fails once":             {start: at(faultinject.Write, "handover.json", syscall.EIO, 1)},
		"first write fails thrice":           {start: at(faultinject.Write, "handover.json", syscall.ENOSPC, 3)},
		"first open of the lock fails":       {start: at(faultinject.Open, "owner", syscall.ENFILE, 1)},
		"first lock fails":                   {start: at(faultinject.Lock, "owner", syscall.ENOLCK, 2)},
		"rename fails once":                  {during: at(faultinject.Rename, "handover.json", syscall.EIO, 1)},
		"writes fail for 3 s":                {during: at(faultinject.Write, "handover.json", syscall.EIO, 0)},
		"opens fail for 3 s":                 {during: at(faultinject.Open, "handover.json", syscall.ENOSPC, 0)},
		"locks fail for 3 s":                 {during: at(faultinject.Lock, "lock", syscall.ENOLCK, 0)},
		"the successor's first read":         {younger: at(faultinject.Read, "handover.json", syscall.EIO, 1)},
		"the successor's first three":        {younger: at(faultinject.Open, "handover.json", syscall.ENFILE, 3)},
		"the successor's reads for long":     {younger: at(faultinject.Read, "handover.json", syscall.EIO, 40)},
		"the successor's first write":        {younger: at(faultinject.Write, "handover.json", syscall.ENOSPC, 1)},
		"the successor's owner":              {younger: at(faultinject.Open, "owner", syscall.EIO, 2)},
		"the successor's writes throughout":  {younger: at(faultinject.Write, "handover.json", syscall.ENOSPC, 0)},
		"the successor's renames throughout": {younger: at(faultinject.Rename, "handover.json", syscall.EIO, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			late := lateness(t)
			r := newReplaced(t, c.start)
			r.older.apply(t, c.during)
			status, took := r.older.call(t, "/_backends/detach", detachOne)
			if took > time.Second+late() {
				t.Errorf("answered after %v", took)
			}
			if c.during.Failures == nil && status != 200 {
				t.Errorf("status %d", status)
			}
			if c.during.Failures != nil && c.during.Failures[0].Times == 0 {
				time.Sleep(3*time.Second - took)
				r.older.apply(t, faultinject.Plan{})
				time.Sleep(time.Second) // nobody calls again: it is recorded by itself
			}
			if n := r.upgrade(t, c.younger); n > 0 {
				t.Errorf("%d of 30 requests reach the detached backend", n)
			}
		})
	}
}

// A call that can't be recorded as long as it may take is answered with no.
func TestNoYesThatCannotBeKept(t *testing.T) {
	late := lateness(t)
	r := newReplaced(t, faultinject.Plan{})
	fails := faultinject.Plan{Failures: []faultinject.Failure{{Call: faultinject.Write, Path: "handover.json", Errno: syscall.EIO}}}
	r.older.apply(t, fails)
	for _, path := range []string{"/_backends/detach", "/_lameduck/on", "/_lameduck/off"} {
		if status, took := r.older.call(t, path, detachOne); status != 503 || took > time.Second+late() {
			t.Errorf("%s: %d after %v", path, status, took)
		}
	}
}

// Upgrades in series, with a second trouble in each: what operators were told yes to holds through all of them, a process that
// replaces another watches discovery where the replaced configuration says, though its environment is the first one's, and one
// call takes two back.
func TestUpgradesInSeries(t *testing.T) {
	first := freeAddr(t) // where discovery was when the platform started the agent, as the variable says
	t.Setenv("PROXY_DISCOVERY", "")
	r := newReplaced(t, faultinject.Plan{})
	text, err := os.ReadFile(r.older.config)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if status, _ := r.older.call(t, "/_backends/detach", detachOne); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	t.Setenv("PROXY_DISCOVERY", first)
	for round, trouble := range []func(){
		func() {},
		func() { // a successor that is killed at once
			d := deploy(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
			d.awaitCall(t, 6*time.Second, "/_ready", "")
			d.signal(t, syscall.SIGKILL)
			_ = d.cmd.Wait()
		},
		func() { // a new configuration
			moved := newCatalog(t, r.discovery.now...)
			if err := os.WriteFile(r.older.config, bytes.Replace(text, []byte(r.discovery.addr), []byte(moved.addr), 1), 0o600); err != nil {
				t.Fatal(err)
			}
			r.older.signal(t, syscall.SIGHUP)
			r.discovery = moved
		},
		func() { r.older.apply(t, faultinject.Plan{Wall: -time.Hour}) },
	} {
		trouble()
		if n := r.upgrade(t, faultinject.Plan{}); n > 0 {
			t.Fatalf("round %d: %d of 30 requests reach the detached backend", round, n)
		}
	}
	third := newStandIn(t)
	r.discovery.tell(ready("one", r.one), ready("three", third))
	await(t, "the new list", 6*time.Second, func() bool {
		status, _ := request(alone, r.older.addr, "/get/x")
		return status == 200 && third.seen.Load() > 0
	})
	was := r.one.seen.Load()
	if status, _ := r.older.call(t, "/_backends/attach", detachOne); status != 200 {
		t.Fatalf("status %d", status)
	}
	await(t, "the attached backend to be used", 5*time.Second, func() bool {
		_, _ = request(alone, r.older.addr, "/get/x")
		return r.one.seen.Load() > was
	})
}

// An agent that is drained says so at once and goes on saying so while the call can't be recorded, and its successor is drained
// once it could be.
func TestDrainOverAFailingFolder(t *testing.T) {
	r := newReplaced(t, faultinject.Plan{})
	r.older.apply(t, faultinject.Plan{Failures: []faultinject.Failure{{Call: faultinject.Write, Path: "handover.json", Errno: syscall.ENOSPC}}})
	health := func(d *deployed) int {
		status, err := request(alone, d.addr, "/_health")
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	if status, _ := r.older.call(t, "/_lameduck/on", ""); status != 503 {
		t.Errorf("status %d", status)
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if status := health(r.older); status != 503 {
			t.Fatalf("health says %d after the call", status)
		}
	}
	r.older.apply(t, faultinject.Plan{})
	time.Sleep(500 * time.Millisecond)
	younger := deploy(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
	younger.awaitCall(t, 6*time.Second, "/_ready", "")
	r.older.signal(t, syscall.SIGTERM)
	if err := r.older.cmd.Wait(); err != nil {
		t.Error(err)
	}
	if status := health(younger); status != 503 {
		t.Errorf("the successor's health says %d", status)
	}
}

// A process that is killed between any two calls by which it records leaves a record that holds all that it had said yes to.
func TestKillBetweenTwoCallsOfARecording(t *testing.T) {
	for _, at := range []faultinject.Failure{
		{Call: faultinject.Open, Path: "lock"},
		{Call: faultinject.Lock, Path: "lock"},
		{Call: faultinject.Open, Path: "handover.json"}, // to be read
		{Call: faultinject.Read, Path: "handover.json"},
		{Call: faultinject.Open, Path: "handover.json.new"},
		{Call: faultinject.Write, Path: "handover.json.new"},
		{Call: faultinject.Rename, Path: "handover.json"},
	} {
		for _, younger := range []bool{false, true} { // in the recording of a call; or in the successor's first one
			t.Run(fmt.Sprint(at.Call, " ", at.Path, " ", younger), func(t *testing.T) {
				t.Parallel()
				r := newReplaced(t, faultinject.Plan{})
				if status, _ := r.older.call(t, "/_backends/detach", detachOne); status != 200 {
					t.Fatalf("status %d", status)
				}
				kill := at
				kill.Kill, kill.Times = true, 1
				plan := faultinject.Plan{Failures: []faultinject.Failure{kill}}
				if younger {
					d := deploy(t, r.discovery.addr, plan, r.ln, r.dir)
					_ = d.cmd.Wait()
				} else {
					r.older.apply(t, plan)
					_, _ = r.older.call(t, "/_backends/detach", `{"target":"two"}`) // no answer, or the save's kill came first
					_ = r.older.cmd.Wait()
					r.older = deploy(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
					r.older.awaitCall(t, 6*time.Second, "/_ready", "")
				}
				if n := r.upgrade(t, faultinject.Plan{}); n > 0 {
					t.Errorf("%d of 30 requests reach the detached backend", n)
				}
			})
		}
	}
}

// A successor that can't read what the older process recorded takes no clients before it can, for a while.
func TestSuccessorThatCannotReadForLong(t *testing.T) {
	late := lateness(t)
	r := newReplaced(t, faultinject.Plan{})
	if status, _ := r.older.call(t, "/_backends/detach", detachOne); status != 200 {
		t.Fatalf("status %d", status)
	}
	began := time.Now()
	younger := deploy(t, r.discovery.addr, faultinject.Plan{Failures: []faultinject.Failure{{Call: faultinject.Read, Path: "handover.json", Errno: syscall.EIO}}}, r.ln, r.dir)
	for time.Since(began) < 3*time.Second {
		status, took := younger.call(t, "/_ready", "")
		if status == 200 {
			t.Fatalf("ready after %v, and knows of no call", time.Since(began))
		}
		if status != 0 && took > time.Second+late() { // 0: it does not listen yet
			t.Errorf("no answer for %v", took)
		}
		time.Sleep(20 * time.Millisecond)
	}
	younger.apply(t, faultinject.Plan{})
	younger.awaitCall(t, time.Until(began.Add(6*time.Second)), "/_ready", "")
	r.older.signal(t, syscall.SIGTERM)
	if err := r.older.cmd.Wait(); err != nil {
		t.Error(err)
	}
	if n := r.reaching(t, younger); n > 0 {
		t.Errorf("%d of 30 requests reach the detached backend", n)
	}
}

// A call to the older of two processes holds in the younger, though the older can't write for a while, or the younger's read
// fails once.
func TestCallBesideASuccessor(t *testing.T) {
	for name, c := range map[string]struct{ older, younger faultinject.Plan }{
		"older can't write":       {older: faultinject.Plan{Failures: []faultinject.Failure{{Call: faultinject.Write, Path: "handover.json", Errno: syscall.EIO}}}},
		"younger can't read once": {younger: faultinject.Plan{Failures: []faultinject.Failure{{Call: faultinject.Read, Path: "handover.json", Errno: syscall.EIO, Times: 1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReplaced(t, faultinject.Plan{})
			younger := deploy(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
			younger.awaitCall(t, 6*time.Second, "/_ready", "")
			r.older.apply(t, c.older)
			younger.apply(t, c.younger)
			_, _ = r.older.call(t, "/_backends/detach", detachOne)
			r.older.apply(t, faultinject.Plan{})
			time.Sleep(200 * time.Millisecond)
			r.older.signal(t, syscall.SIGTERM)
			if err := r.older.cmd.Wait(); err != nil {
				t.Error(err)
			}
			if n := r.reaching(t, younger); n > 0 {
				t.Errorf("%d of 30 requests reach the detached backend", n)
			}
		})
	}
}
