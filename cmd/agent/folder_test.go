package main

// Process upgrades and admin calls while file operations in the shared folder fail.

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

// replaceableAgent is an agent with two backends whose process can be replaced. current is the serving process.
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

// upgrade replaces the process as the platform does: it starts a successor and sends SIGTERM to the predecessor when the successor
// is ready. It returns how many of 30 subsequent requests reach backend one.
func (r *replaceableAgent) upgrade(t *testing.T, plan faultinject.Plan) (reached int64) {
	t.Helper()
	successor := startAgent(t, r.discovery.addr, plan, r.ln, r.dir)
	successor.awaitAdminOK(t, 6*time.Second, "/_ready", "")
	r.current.signal(t, syscall.SIGTERM)
	if err := r.current.cmd.Wait(); err != nil {
		t.Error(err)
	}
	r.current = successor
	return r.countReachingOne(t, successor)
}

// countReachingOne sends 30 requests and returns how many of them reach backend one.
func (r *replaceableAgent) countReachingOne(t *testing.T, d *agentProcess) int64 {
	t.Helper()
	before := r.one.requestCount.Load()
	for range 30 {
		if status, err := get(singleUseClient, d.addr, "/get/x"); status != 200 {
			t.Errorf("status %d, error %v, want 200", status, err)
		}
	}
	return r.one.requestCount.Load() - before
}

const detachOneBody = `{"target":"one"}`

// A detach call applies after an upgrade, whichever file operations in the shared folder fail before or during the upgrade. If the
// agent cannot record the call at once, it records the call when the failures end.
func TestDetachSurvivesAFailingFolder(t *testing.T) {
	failingCall := func(call, path string, errno syscall.Errno, times int) faultinject.Plan {
		return failing(faultinject.Failure{Call: call, Path: path, Errno: errno, Times: times})
	}
	for name, c := range map[string]struct {
		start, during, successor faultinject.Plan
	}{
		"first write fails once":             {start: failingCall(faultinject.Write, "handover.json", syscall.EIO, 1)},
		"first write fails three times":      {start: failingCall(faultinject.Write, "handover.json", syscall.ENOSPC, 3)},
		"first open of the owner file fails": {start: failingCall(faultinject.Open, "owner", syscall.ENFILE, 1)},
		"first lock fails":                   {start: failingCall(faultinject.Lock, "owner", syscall.ENOLCK, 2)},
		"rename fails once":                  {during: failingCall(faultinject.Rename, "handover.json", syscall.EIO, 1)},
		"writes fail for 3 s":                {during: failingCall(faultinject.Write, "handover.json", syscall.EIO, 0)},
		"opens fail for 3 s":                 {during: failingCall(faultinject.Open, "handover.json", syscall.ENOSPC, 0)},
		"locks fail for 3 s":                 {during: failingCall(faultinject.Lock, "lock", syscall.ENOLCK, 0)},
		"successor's first read fails":       {successor: failingCall(faultinject.Read, "handover.json", syscall.EIO, 1)},
		"successor's first three opens fail": {successor: failingCall(faultinject.Open, "handover.json", syscall.ENFILE, 3)},
		"successor's first 40 reads fail":    {successor: failingCall(faultinject.Read, "handover.json", syscall.EIO, 40)},
		"successor's first write fails":      {successor: failingCall(faultinject.Write, "handover.json", syscall.ENOSPC, 1)},
		"successor's opens of owner fail":    {successor: failingCall(faultinject.Open, "owner", syscall.EIO, 2)},
		"all writes of the successor fail":   {successor: failingCall(faultinject.Write, "handover.json", syscall.ENOSPC, 0)},
		"all renames of the successor fail":  {successor: failingCall(faultinject.Rename, "handover.json", syscall.EIO, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			delay := schedulingDelay(t)
			r := newReplaceableAgent(t, c.start)
			r.current.applyPlan(t, c.during)
			status, elapsed := r.current.adminCall(t, "/_backends/detach", detachOneBody)
			if elapsed > time.Second+delay() {
				t.Errorf("the detach call was answered after %v, want at most 1 s", elapsed)
			}
			if c.during.Failures == nil && status != 200 {
				t.Errorf("detach: status %d, want 200", status)
			}
			if c.during.Failures != nil && c.during.Failures[0].Times == 0 {
				time.Sleep(3*time.Second - elapsed)
				r.current.applyPlan(t, faultinject.Plan{})
				time.Sleep(time.Second) // the agent retries the recording without another call
			}
			if n := r.upgrade(t, c.successor); n > 0 {
				t.Errorf("%d of 30 requests reached the detached backend, want none", n)
			}
		})
	}
}

// An admin call that the agent can't record within 1 s is answered with 503.
func TestCallThatCannotBeRecordedIsRejected(t *testing.T) {
	delay := schedulingDelay(t)
	r := newReplaceableAgent(t, faultinject.Plan{})
	fails := failing(faultinject.Failure{Call: faultinject.Write, Path: "handover.json", Errno: syscall.EIO})
	r.current.applyPlan(t, fails)
	for _, path := range []string{"/_backends/detach", "/_lameduck/on", "/_lameduck/off"} {
		if status, elapsed := r.current.adminCall(t, path, detachOneBody); status != 503 || elapsed > time.Second+delay() {
			t.Errorf("%s: status %d after %v, want 503 within 1 s", path, status, elapsed)
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

// moveDiscovery starts another discovery service, writes the configuration text with its address, and makes the
// agent reload the configuration.
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

// Confirmed detach calls survive several upgrades with a different fault during each one. A successor uses the discovery address in
// the replaced configuration, although PROXY_DISCOVERY in its environment names another address. One attach call cancels
// two detach calls.
func TestDetachSurvivesRepeatedUpgrades(t *testing.T) {
	originalDiscovery := freeAddr(t) // value of PROXY_DISCOVERY for the successors; nothing listens there
	t.Setenv("PROXY_DISCOVERY", "")
	r := newReplaceableAgent(t, faultinject.Plan{})
	text, err := os.ReadFile(r.current.configPath)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if status, _ := r.current.adminCall(t, "/_backends/detach", detachOneBody); status != 200 {
			t.Fatalf("detach call: status %d, want 200", status)
		}
	}
	t.Setenv("PROXY_DISCOVERY", originalDiscovery)
	for round, injectFault := range []func(){
		func() {},
		func() { r.startAndKillSuccessor(t) },
		func() { r.moveDiscovery(t, text) },
		func() { r.current.applyPlan(t, faultinject.Plan{Wall: -time.Hour}) },
	} {
		injectFault()
		if n := r.upgrade(t, faultinject.Plan{}); n > 0 {
			t.Fatalf("round %d: %d of 30 requests reached the detached backend, want none", round, n)
		}
	}
	third := newFakeBackend(t)
	r.discovery.publish(readyEndpoint("one", r.one), readyEndpoint("three", third))
	await(t, "a request to the backend in the new list", 6*time.Second, func() bool {
		status, _ := get(singleUseClient, r.current.addr, "/get/x")
		return status == 200 && third.requestCount.Load() > 0
	})
	before := r.one.requestCount.Load()
	if status, _ := r.current.adminCall(t, "/_backends/attach", detachOneBody); status != 200 {
		t.Fatalf("attach call: status %d, want 200", status)
	}
	await(t, "a request to the attached backend", 5*time.Second, func() bool {
		_, _ = get(singleUseClient, r.current.addr, "/get/x")
		return r.one.requestCount.Load() > before
	})
}

// An agent in lame-duck mode fails its health check at once and keeps failing it while the call can't be recorded. Once the call
// is recorded, the successor's health check fails too.
func TestLameDuckModeSurvivesAFailingFolder(t *testing.T) {
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
		t.Errorf("lameduck call: status %d, want 503", status)
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if status := health(r.current); status != 503 {
			t.Fatalf("health check: status %d after the lameduck call, want 503", status)
		}
	}
	r.current.applyPlan(t, faultinject.Plan{})
	time.Sleep(500 * time.Millisecond)
	successor := startAgent(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
	successor.awaitAdminOK(t, 6*time.Second, "/_ready", "")
	r.current.signal(t, syscall.SIGTERM)
	if err := r.current.cmd.Wait(); err != nil {
		t.Error(err)
	}
	if status := health(successor); status != 503 {
		t.Errorf("successor's health check: status %d, want 503", status)
	}
}

// If a process is killed at any system call of a recording, the record still contains all calls that it confirmed before.
func TestKillDuringARecordingLosesNoCall(t *testing.T) {
	for _, failure := range []faultinject.Failure{
		{Call: faultinject.Open, Path: "lock"},
		{Call: faultinject.Lock, Path: "lock"},
		{Call: faultinject.Open, Path: "handover.json"}, // for reading
		{Call: faultinject.Read, Path: "handover.json"},
		{Call: faultinject.Open, Path: "handover.json.new"},
		{Call: faultinject.Write, Path: "handover.json.new"},
		{Call: faultinject.Rename, Path: "handover.json"},
	} {
		for _, successor := range []bool{false, true} { // false: while the agent records a call; true: during the successor's first recording
			t.Run(fmt.Sprint(failure.Call, " ", failure.Path, " ", successor), func(t *testing.T) {
				t.Parallel()
				r := newReplaceableAgent(t, faultinject.Plan{})
				if status, _ := r.current.adminCall(t, "/_backends/detach", detachOneBody); status != 200 {
					t.Fatalf("detach call: status %d, want 200", status)
				}
				kill := failure
				kill.Kill, kill.Times = true, 1
				plan := faultinject.Plan{Failures: []faultinject.Failure{kill}}
				if successor {
					d := startAgent(t, r.discovery.addr, plan, r.ln, r.dir)
					_ = d.cmd.Wait()
				} else {
					r.current.applyPlan(t, plan)
					_, _ = r.current.adminCall(t, "/_backends/detach", `{"target":"two"}`) // fails: the process is killed during this recording or an earlier one
					_ = r.current.cmd.Wait()
					r.current = startAgent(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
					r.current.awaitAdminOK(t, 6*time.Second, "/_ready", "")
				}
				if n := r.upgrade(t, faultinject.Plan{}); n > 0 {
					t.Errorf("%d of 30 requests reached the detached backend, want none", n)
				}
			})
		}
	}
}

// A successor that can't read its predecessor's record is not ready. It becomes ready when reads succeed again, here at most 6 s
// after its start.
func TestSuccessorIsNotReadyBeforeItReadsTheRecord(t *testing.T) {
	delay := schedulingDelay(t)
	r := newReplaceableAgent(t, faultinject.Plan{})
	if status, _ := r.current.adminCall(t, "/_backends/detach", detachOneBody); status != 200 {
		t.Fatalf("detach call: status %d, want 200", status)
	}
	startedAt := time.Now()
	successor := startAgent(t, r.discovery.addr, failing(faultinject.Failure{Call: faultinject.Read,
		Path: "handover.json", Errno: syscall.EIO}), r.ln, r.dir)
	for time.Since(startedAt) < 3*time.Second {
		status, elapsed := successor.adminCall(t, "/_ready", "")
		if status == 200 {
			t.Fatalf("the successor is ready after %v, before it could read the detach call", time.Since(startedAt))
		}
		if status != 0 && elapsed > time.Second+delay() { // 0: not listening yet
			t.Errorf("the admin call took %v, want at most 1 s", elapsed)
		}
		time.Sleep(20 * time.Millisecond)
	}
	successor.applyPlan(t, faultinject.Plan{})
	successor.awaitAdminOK(t, time.Until(startedAt.Add(6*time.Second)), "/_ready", "")
	r.current.signal(t, syscall.SIGTERM)
	if err := r.current.cmd.Wait(); err != nil {
		t.Error(err)
	}
	if n := r.countReachingOne(t, successor); n > 0 {
		t.Errorf("%d of 30 requests reached the detached backend, want none", n)
	}
}

// During an upgrade, a call to the predecessor applies to the successor too, even if writes of the predecessor fail for a while
// or one read of the successor fails.
func TestCallToThePredecessorReachesTheSuccessor(t *testing.T) {
	for name, c := range map[string]struct{ predecessor, successor faultinject.Plan }{
		"predecessor's writes fail": {predecessor: failing(faultinject.Failure{Call: faultinject.Write, Path: "handover.json",
			Errno: syscall.EIO})},
		"one read of the successor fails": {successor: failing(faultinject.Failure{Call: faultinject.Read,
			Path:  "handover.json",
			Errno: syscall.EIO, Times: 1})},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReplaceableAgent(t, faultinject.Plan{})
			successor := startAgent(t, r.discovery.addr, faultinject.Plan{}, r.ln, r.dir)
			successor.awaitAdminOK(t, 6*time.Second, "/_ready", "")
			r.current.applyPlan(t, c.predecessor)
			successor.applyPlan(t, c.successor)
			_, _ = r.current.adminCall(t, "/_backends/detach", detachOneBody)
			r.current.applyPlan(t, faultinject.Plan{})
			time.Sleep(200 * time.Millisecond)
			r.current.signal(t, syscall.SIGTERM)
			if err := r.current.cmd.Wait(); err != nil {
				t.Error(err)
			}
			if n := r.countReachingOne(t, successor); n > 0 {
				t.Errorf("%d of 30 requests reached the detached backend, want none", n)
			}
		})
	}
}
