package scale

// A comparison of real agents' processes with the simulated agents of the same fleet.

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/fleet/member"
	"martenbeam/internal/scale/simagent"
)

func realTable(t *testing.T) {
	program := builtProgram(t)
	for _, n := range fleetSizes(t, 16) {
		for _, run := range runNumbers() {
			real := 12
			if !*full {
				real = 2
			}
			t.Run(fmt.Sprintf("%d-%d", n, run), func(t *testing.T) {
				saveRows(t, measureRealAmongSimulated(t, program, simagent.FullMesh, n-real, real, run))
			})
		}
	}
}

// realAgentConfig returns a real agent's configuration file, with what a simulated agent has, too.
func (f *testFleet) realAgentConfig(i int) string {
	var known []string
	for _, a := range f.agents[:min(numSeeds, f.n)] {
		known = append(known, strconv.Quote(a.Addr()))
	}
	var names []string
	for _, z := range zones {
		names = append(names, strconv.Quote(z))
	}
	return fmt.Sprintf(`name = %q
listen = "127.0.0.1:0"
discovery = %q
lists = "asked"
zones = [%s]
zone = %q
[fleet]
listen = "127.0.0.1:0"
seeds = [%s]
label = %q
most = %d
lists = "relayed"
matrix = true
[residency]
on = true
[attempts]
probes = false
[[class]]
name = "get"
effect = "safe"
aim = "1s"
deadline = "2s"
`, f.agentName(i), f.service.addr, strings.Join(names, ", "), zones[i%len(zones)],
		strings.Join(known, ", "), f.label, f.n+f.realAgents)
}

// processUsage reads from /proc a process's processor time and its resident memory in kB.
func processUsage(pid int) (cpu time.Duration, rss float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("a stat of %d fields", len(fields))
	}
	const tick = 10 * time.Millisecond // USER_HZ is 100 on all of Linux
	for _, k := range []int{11, 12} {
		n, err := strconv.ParseInt(fields[k], 10, 64)
		if err != nil {
			return 0, 0, err
		}
		cpu += time.Duration(n) * tick
	}
	pages, err := strconv.ParseFloat(fields[21], 64)
	return cpu, pages * float64(os.Getpagesize()) / 1e3, err
}

// measureRealAmongSimulated compares real agents with the simulated ones of the same fleet while nothing changes: their
// processor time, and the bytes that one agent sends to one simulated agent.
func measureRealAmongSimulated(t *testing.T, program string, mode simagent.Mode, n, realAgents, run int) row {
	fleet := newTestFleet(t, mode, n, true)
	fleet.realAgents = realAgents
	r := row{Table: "real", Mode: string(mode), N: n + realAgents, Matrix: true, Run: run,
		Case: fmt.Sprintf("%d real among hollow ones", realAgents)}
	fleet.startAll(time.Duration(n) * *pace)
	processes := startRealAgents(t, fleet, program)
	if reason := fleet.awaitStart(); reason != "" {
		processes.logOutput()
		r.Void = reason
		return r
	}
	if !fleet.awaitServing() {
		r.Void = "not whole: a real agent has no list"
		return r
	}
	settle, measure := 100*time.Millisecond, time.Second
	if *full {
		settle, measure = *warm, 2**window // a real agent's time is counted in ticks of 10 ms
	}
	time.Sleep(settle) // the start's own work is not an idle agent's
	before, _ := processes.usage()
	m := fleet.startMeter(false)
	time.Sleep(measure) // the span that is measured
	s := m.end()
	after, rss := processes.usage()
	r.Void = s.void
	r.Values = s.compareRealAgents(t, n, realAgents, after-before)
	r.Values["resident kB, real"], r.Values["timers late ms p99"] = rss, s.late.Seconds()*1e3
	return r
}

// realProcesses are the real agents of a fleet, each a process of its own. They are killed at the test's end.
type realProcesses struct {
	t         *testing.T
	fleet     *testFleet
	dir       string // of their configuration files and logs
	processes []*exec.Cmd
}

// startRealAgents starts the fleet's real agents; their numbers follow those of the simulated ones.
func startRealAgents(t *testing.T, fleet *testFleet, program string) *realProcesses {
	t.Helper()
	a := &realProcesses{t: t, fleet: fleet, dir: t.TempDir()}
	for i := fleet.n; i < fleet.n+fleet.realAgents; i++ {
		file := filepath.Join(a.dir, fleet.agentName(i)+".toml")
		if err := os.WriteFile(file, []byte(fleet.realAgentConfig(i)), 0o644); err != nil {
			t.Fatal(err)
		}
		log, err := os.Create(filepath.Join(a.dir, fleet.agentName(i)+".log"))
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program, "agent", "--config", file)
		cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, a.dir
		err = cmd.Start()
		log.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cmd.Process.Kill() // ended already if it fails
			_ = cmd.Wait()         // killed
		})
		a.processes = append(a.processes, cmd)
	}
	return a
}

// logOutput logs the begin of each agent's log.
func (a *realProcesses) logOutput() {
	for i := a.fleet.n; i < a.fleet.n+a.fleet.realAgents; i++ {
		name := a.fleet.agentName(i)
		text, _ := os.ReadFile(filepath.Join(a.dir, name+".log")) // if it can't be read, its log is empty
		a.t.Logf("%s: %s", name, text[:min(len(text), 1000)])
	}
}

// usage returns the processor time that all of them have used, and the mean of their resident memory in kB.
func (a *realProcesses) usage() (cpu time.Duration, rss float64) {
	for _, p := range a.processes {
		one, mem, err := processUsage(p.Process.Pid)
		if err != nil {
			a.t.Fatal(err)
		}
		cpu, rss = cpu+one, rss+mem/float64(a.fleet.realAgents)
	}
	return cpu, rss
}

// awaitServing waits until all members that the first agent knows have an endpoint list; false: they don't in time.
func (f *testFleet) awaitServing() bool {
	serving := func() bool {
		for _, m := range f.agents[0].Members() {
			if m.Phase != member.Serving {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(convergenceTimeout); !serving(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// compareRealAgents returns how real agents, which used cpu together, compare with n simulated ones.
func (s *span) compareRealAgents(t *testing.T, n, realAgents int, cpu time.Duration) map[string]float64 {
	t.Helper()
	var received, sent int64 // datagrams and streams
	for p := range s.traffic.In {
		received, sent = received+s.traffic.In[p].Bytes, sent+s.traffic.Out[p].Bytes
	}
	took := s.duration.Seconds()
	// Agents draw their targets evenly: both kinds can be compared by what one agent sends to one other.
	fromReal := float64(s.traffic.FromRealAgents.Bytes) / float64(realAgents*n) / took
	fromSimulated := float64(received-s.traffic.FromRealAgents.Bytes) / float64(n*(n-1)) / took
	values := map[string]float64{
		"processor us/s, hollow":          s.cpu.Seconds() * 1e6 / float64(n) / took,
		"processor us/s, real":            cpu.Seconds() * 1e6 / float64(realAgents) / took,
		"bytes/s from one to one, hollow": fromSimulated,
		"bytes/s from one to one, real":   fromReal,
		"bytes/s out, hollow":             float64(sent) / float64(n) / took,
	}
	values["processor, real to hollow"] = values["processor us/s, real"] / values["processor us/s, hollow"]
	values["bytes, real to hollow"] = fromReal / fromSimulated
	for _, k := range []string{"processor, real to hollow", "bytes, real to hollow"} {
		if values[k] < 0.8 || values[k] > 1.2 {
			t.Logf("n=%d, %s: %.2f, beyond 20%%", n+realAgents, k, values[k])
		}
	}
	if fromReal <= 0 || fromSimulated <= 0 {
		t.Errorf("nothing was received from real agents (%v) or from simulated ones (%v)", fromReal, fromSimulated)
	}
	return values
}
