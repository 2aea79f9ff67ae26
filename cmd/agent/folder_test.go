package main

// Upgrades of the process, and admin calls, while the shared folder fails.

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

// replaceableAgent is an agent with two backends whose process can be replaced. current is the one that serves.
type replaceableAgent struct {
	one, two  *fakeBackend
	discovery *fakeDiscovery
	ln        *net.TCPListener
	dir       string
	current   *agentProcess
}

func newReplaceableAgent(t *testing.T, plan faultinject.Plan) *replaceableAgent {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	r := &replaceableAgent{one: newFakeBackend(t), two: newFakeBackend(t), ln: ln, dir: t.TempDir()}
	r.discovery = newFakeDiscovery(t, readyEndpoint("one", r.one), readyEndpoint("two", r.two))
	r.current = startAgent(t, r.discovery.addr, plan, ln, r.dir)
	r.current.awaitAdminOK(t, 6*time.Second, "/_ready", "")
	return r
}

// upgrade replaces the process as the platform does, and returns how many of 30 requests reach backend one afterwards.
func (r *replaceableAgent) upgrade(t *testing.T, plan faultinject.Plan) (reached int64) {
	t.Helper()
	younger := startAgent(t, r.discovery.addr, plan, r.ln, r.dir)
	younger.awaitAdminOK(t, 6*time.Second, "/_ready", "")
	r.current.signal(t, syscall.SIGTERM)
	if err := r.current.cmd.Wait(); err != nil {
		t.Error(err)
	}
	r.current = younger
	return r.countReachingOne(t, younger)
}

// countReachingOne sends 30 requests, and returns how many of them reach backend one.
func (r *replaceableAgent) countReachingOne(t *testing.T, d *agentProcess) int64 {
	t.Helper()
	before := r.one.requestCount.Load()
	for range 30 {
		if status, err := get(singleUseClient, d.addr, "/get/x"); status != 200 {
			t.Errorf("%d, %v", status, err)
		}
	}
	return r.one.requestCount.Load() - before
}

const detachOneBody = `{"target":"one"}`

// A confirmed detach survives an upgrade, whatever failures the shared folder had before.
func TestDetachSurvivesAFailingFolder(t *testing.T) {
	failingCall := func(call, path string, errno syscall.Errno, times int) faultinject.Plan {
		return failing(faultinject.Failure{Call: call, Path: path, Errno: errno, Times: times})
	}
	for name, c := range map[string]struct {
		start, during, younger faultinject.Plan
	}{
		"first write fails once":             {start: failingCall(faultinject.Write, "handover.json", syscall.EIO, 1)},
		"first write fails thrice":           {start: failingCall(faultinject.Write, "handover.json", syscall.ENOSPC, 3)},
		"first open of the lock fails":       {start: failingCall(faultinject.Open, "owner", syscall.ENFILE, 1)},
		"first lock fails":                   {start: failingCall(faultinject.Lock, "owner", syscall.ENOLCK, 2)},
		"rename fails once":                  {during: failingCall(faultinject.Rename, "handover.json", syscall.EIO, 1)},
		"writes fail for 3 s":                {during: failingCall(faultinject.Write, "handover.json", syscall.EIO, 0)},
		"opens fail for 3 s":                 {during: failingCall(faultinject.Open, "handover.json", syscall.ENOSPC, 0)},
		"locks fail for 3 s":                 {during: failingCall(faultinject.Lock, "lock", syscall.ENOLCK, 0)},
		"the successor's first read":         {younger: failingCall(faultinject.Read, "handover.json", syscall.EIO, 1)},
		"the successor's first three":        {younger: failingCall(faultinject.Open, "handover.json", syscall.ENFILE, 3)},
		"the successor's reads for long":     {younger: failingCall(faultinject.Read, "handover.json", syscall.EIO, 40)},
		"the successor's first write":        {younger: failingCall(faultinject.Write, "handover.json", syscall.ENOSPC, 1)},
		"the successor's owner":              {younger: failingCall(faultinject.Open, "owner", syscall.EIO, 2)},
		"the successor's writes throughout":  {younger: failingCall(faultinject.Write, "handover.json", syscall.ENOSPC, 0)},
		"the successor's renames throughout": {younger: failingCall(faultinject.Rename, "handover.json", syscall.EIO, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			late := schedulingDelay(t)
			r := newReplaceableAgent(t, c.start)
			r.current.applyPlan(t, c.during)
			status, elapsed := r.current.adminCall(t, "/_backends/detach", detachOneBody)
			if elapsed > time.Second+late() {
				t.Errorf("answered after %v", elapsed)
			}
			if c.during.Failures == nil && status != 200 {
				t.Errorf("status %d", status)
			}
			if c.during.Failures != nil && c.during.Failures[0].Times == 0 {
				time.Sleep(3*time.Second - elapsed)
				r.current.applyPlan(t, faultinject.Plan{})
				time.Sleep(time.Second) // recorded without another call
			}
			if n := r.upgrade(t, c.younger); n > 0 {
				t.Errorf("%d of 30 requests reach the detached backend", n)
			}
		})
	}
}

// A call that can't be recorded within its time is answered with 503.
func TestCallThatCannotBeRecordedIsRejected(t *testing.T) {
	late := schedulingDelay(t)
	r := newReplaceableAgent(t, faultinject.Plan{})
	fails := failing(faultinject.Failure{Call: faultinject.Write, Path: "handover.json", Errno: syscall.EIO})
	r.current.applyPlan(t, fails)
	for _, path := range []string{"/_backends/detach", "/_lameduck/on", "/_lameduck/off"} {
		if status, elapsed := r.current.adminCall(t, path, detachOneBody); status != 503 || elapsed > time.Second+late() {
			t.Errorf("%s: %d after %v", path, status, elapsed)
		}
	}
}

// startAndKillSuccessor starts a successor and kills it as soon as it is ready.
func (r *replaceableAgent) startAndKillSuccessor(t *testing.T) {
	t.Helper()
	d := startAgent(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
	d.awaitAdminOK(t, 6*time.Second, "/_ready", "")
	d.signal(t, syscall.SIGKILL)
	_ = d.cmd.Wait()
}

// moveDiscovery has the agent reload its configuration, a text, with another discovery in it.
func (r *replaceableAgent) moveDiscovery(t *testing.T, text []byte) {
	t.Helper()
	moved := newFakeDiscovery(t, r.discovery.list...)
	if err := os.WriteFile(r.current.configPath, bytes.Replace(text, []byte(r.discovery.addr), []byte(moved.addr), 1),
		0o600); err != nil {
		t.Fatal(err)
	}
	r.current.signal(t, syscall.SIGHUP)
	r.discovery = moved
}

// Confirmed calls survive several upgrades with another fault during each. A process that replaces another follows discovery
// at the address in the replaced configuration, although its environment is that of the first process. One attach ends two
// detaches.
func TestDetachSurvivesRepeatedUpgrades(t *testing.T) {
	first := freeAddr(t) // discovery's address in the environment, from when the platform started the agent
	t.Setenv("PROXY_DISCOVERY", "")
	r := newReplaceableAgent(t, faultinject.Plan{})
	text, err := os.ReadFile(r.current.configPath)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if status, _ := r.current.adminCall(t, "/_backends/detach", detachOneBody); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	t.Setenv("PROXY_DISCOVERY", first)
	for round, disturb := range []func(){
		func() {},
		func() { r.startAndKillSuccessor(t) },
		func() { r.moveDiscovery(t, text) },
		func() { r.current.applyPlan(t, faultinject.Plan{Wall: -time.Hour}) },
	} {
		disturb()
		if n := r.upgrade(t, faultinject.Plan{}); n > 0 {
			t.Fatalf("round %d: %d of 30 requests reach the detached backend", round, n)
		}
	}
	third := newFakeBackend(t)
	r.discovery.publish(readyEndpoint("one", r.one), readyEndpoint("three", third))
	await(t, "the new list", 6*time.Second, func() bool {
		status, _ := get(singleUseClient, r.current.addr, "/get/x")
		return status == 200 && third.requestCount.Load() > 0
	})
	before := r.one.requestCount.Load()
	if status, _ := r.current.adminCall(t, "/_backends/attach", detachOneBody); status != 200 {
		t.Fatalf("status %d", status)
	}
	await(t, "the attached backend to be used", 5*time.Second, func() bool {
		_, _ = get(singleUseClient, r.current.addr, "/get/x")
		return r.one.requestCount.Load() > before
	})
}

// A drained agent reports it at once and keeps reporting it while the call can't be recorded. Once the call is recorded, its
// successor is drained too.
func TestDrainSurvivesAFailingFolder(t *testing.T) {
	r := newReplaceableAgent(t, faultinject.Plan{})
	r.current.applyPlan(t, failing(faultinject.Failure{Call: faultinject.Write, Path: "handover.json",
		Errno: syscall.ENOSPC}))
	health := func(d *agentProcess) int {
		status, err := get(singleUseClient, d.addr, "/_health")
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	if status, _ := r.current.adminCall(t, "/_lameduck/on", ""); status != 503 {
		t.Errorf("status %d", status)
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if status := health(r.current); status != 503 {
			t.Fatalf("health says %d after the call", status)
		}
	}
	r.current.applyPlan(t, faultinject.Plan{})
	time.Sleep(500 * time.Millisecond)
	younger := startAgent(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
	younger.awaitAdminOK(t, 6*time.Second, "/_ready", "")
	r.current.signal(t, syscall.SIGTERM)
	if err := r.current.cmd.Wait(); err != nil {
		t.Error(err)
	}
	if status := health(younger); status != 503 {
		t.Errorf("the successor's health says %d", status)
	}
}

// A process that is killed between any two system calls of a recording leaves a record with all calls it had confirmed.
func TestKillDuringARecordingLosesNoCall(t *testing.T) {
	for _, at := range []faultinject.Failure{
		{Call: faultinject.Open, Path: "lock"},
		{Call: faultinject.Lock, Path: "lock"},
		{Call: faultinject.Open, Path: "handover.json"}, // for reading
		{Call: faultinject.Read, Path: "handover.json"},
		{Call: faultinject.Open, Path: "handover.json.new"},
		{Call: faultinject.Write, Path: "handover.json.new"},
		{Call: faultinject.Rename, Path: "handover.json"},
	} {
		for _, younger := range []bool{false, true} { // during the recording of a call, or during the successor's first recording
			t.Run(fmt.Sprint(at.Call, " ", at.Path, " ", younger), func(t *testing.T) {
				t.Parallel()
				r := newReplaceableAgent(t, faultinject.Plan{})
				if status, _ := r.current.adminCall(t, "/_backends/detach", detachOneBody); status != 200 {
					t.Fatalf("status %d", status)
				}
				kill := at
				kill.Kill, kill.Times = true, 1
				plan := faultinject.Plan{Failures: []faultinject.Failure{kill}}
				if younger {
					d := startAgent(t, r.discovery.addr, plan, r.ln, r.dir)
					_ = d.cmd.Wait()
				} else {
					r.current.applyPlan(t, plan)
					_, _ = r.current.adminCall(t, "/_backends/detach", `{"target":"two"}`) // fails: the process is killed here, or by a save before
					_ = r.current.cmd.Wait()
					r.current = startAgent(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
					r.current.awaitAdminOK(t, 6*time.Second, "/_ready", "")
				}
				if n := r.upgrade(t, faultinject.Plan{}); n > 0 {
					t.Errorf("%d of 30 requests reach the detached backend", n)
				}
			})
		}
	}
}

// A successor that can't read the record of the older process takes no clients until it can, for a bounded time.
func TestSuccessorIsNotReadyBeforeItReadsTheRecord(t *testing.T) {
	late := schedulingDelay(t)
	r := newReplaceableAgent(t, faultinject.Plan{})
	if status, _ := r.current.adminCall(t, "/_backends/detach", detachOneBody); status != 200 {
		t.Fatalf("status %d", status)
	}
	startedAt := time.Now()
	younger := startAgent(t, r.discovery.addr, failing(faultinject.Failure{Call: faultinject.Read,
		Path: "handover.json", Errno: syscall.EIO}), r.ln, r.dir)
	for time.Since(startedAt) < 3*time.Second {
		status, elapsed := younger.adminCall(t, "/_ready", "")
		if status == 200 {
			t.Fatalf("ready after %v, and knows of no call", time.Since(startedAt))
		}
		if status != 0 && elapsed > time.Second+late() { // 0: not listening yet
			t.Errorf("no answer for %v", elapsed)
		}
		time.Sleep(20 * time.Millisecond)
	}
	younger.applyPlan(t, faultinject.Plan{})
	younger.awaitAdminOK(t, time.Until(startedAt.Add(6*time.Second)), "/_ready", "")
	r.current.signal(t, syscall.SIGTERM)
	if err := r.current.cmd.Wait(); err != nil {
		t.Error(err)
	}
	if n := r.countReachingOne(t, younger); n > 0 {
		t.Errorf("%d of 30 requests reach the detached backend", n)
	}
}

// A call to the older of two processes applies to the younger one too, even if the older can't write for a while or a read of
// the younger fails once.
func TestCallToTheOlderProcessReachesTheSuccessor(t *testing.T) {
	for name, c := range map[string]struct{ older, younger faultinject.Plan }{
		"older can't write": {older: failing(faultinject.Failure{Call: faultinject.Write, Path: "handover.json",
			Errno: syscall.EIO})},
		"younger can't read once": {younger: failing(faultinject.Failure{Call: faultinject.Read,
			Path:  "handover.json",
			Errno: syscall.EIO, Times: 1})},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReplaceableAgent(t, faultinject.Plan{})
			younger := startAgent(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
			younger.awaitAdminOK(t, 6*time.Second, "/_ready", "")
			r.current.applyPlan(t, c.older)
			younger.applyPlan(t, c.younger)
			_, _ = r.current.adminCall(t, "/_backends/detach", detachOneBody)
			r.current.applyPlan(t, faultinject.Plan{})
			time.Sleep(200 * time.Millisecond)
			r.current.signal(t, syscall.SIGTERM)
			if err := r.current.cmd.Wait(); err != nil {
				t.Error(err)
			}
			if n := r.countReachingOne(t, younger); n > 0 {
				t.Errorf("%d of 30 requests reach the detached backend", n)
			}
		})
	}
}
