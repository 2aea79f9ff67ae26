package scale

// Comparison of real agents, in separate processes, with the simulated agents of the same fleet.

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

// realAgentConfig returns a real agent's configuration file, with the same fleet options as a simulated agent.
func (f *testFleet) realAgentConfig(i int) string {
	var seeds []string
	for _, a := range f.agents[:min(numSeeds, f.n)] {
		seeds = append(seeds, strconv.Quote(a.Addr()))
	}
	var zoneNames []string
	for _, z := range zones {
		zoneNames = append(zoneNames, strconv.Quote(z))
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
`, f.agentName(i), f.service.addr, strings.Join(zoneNames, ", "), zones[i%len(zones)],
		strings.Join(seeds, ", "), f.label, f.n+f.realAgents)
}

// processUsage reads a process's processor time and its resident memory in kB from /proc.
func processUsage(pid int) (cpu time.Duration, rss float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("process stat has only %d fields after the command, want at least 22", len(fields))
	}
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
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

// measureRealAmongSimulated compares real agents with the simulated agents of the same fleet while nothing changes, by
// processor time and by the bytes that one agent sends to one simulated agent.
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
		settle, measure = *warm, 2**window // longer, since a real agent's processor time has a resolution of 10 ms
	}
	time.Sleep(settle) // so that the work of the start is not measured
	before, _ := processes.usage()
	m := fleet.startMeter(false)
	time.Sleep(measure) // the measured span
	s := m.end()
	after, rss := processes.usage()
	r.Void = s.void
	r.Values = s.compareRealAgents(t, n, realAgents, after-before)
	r.Values["resident kB, real"], r.Values["timers late ms p99"] = rss, s.late.Seconds()*1e3
	return r
}

// realProcesses holds the real agents of a fleet, each in a separate process. The test's cleanup kills them.
type realProcesses struct {
	t         *testing.T
	fleet     *testFleet
	dir       string // directory of the configuration files and logs
	processes []*exec.Cmd
}

// startRealAgents starts the fleet's real agents. Their numbers follow the numbers of the simulated agents.
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
			_ = cmd.Process.Kill() // fails only if the process has already ended
			_ = cmd.Wait()         // the error reports the kill
		})
		a.processes = append(a.processes, cmd)
	}
	return a
}

// logOutput writes the first 1,000 bytes of each agent's log to the test's log.
func (a *realProcesses) logOutput() {
	for i := a.fleet.n; i < a.fleet.n+a.fleet.realAgents; i++ {
		name := a.fleet.agentName(i)
		text, _ := os.ReadFile(filepath.Join(a.dir, name+".log")) // an unreadable log counts as empty
		a.t.Logf("%s: %s", name, text[:min(len(text), 1000)])
	}
}

// usage returns the total processor time of all real agents, and the mean of their resident memory in kB.
func (a *realProcesses) usage() (cpu time.Duration, rss float64) {
	for _, p := range a.processes {
		agentCPU, mem, err := processUsage(p.Process.Pid)
		if err != nil {
			a.t.Fatal(err)
		}
		cpu, rss = cpu+agentCPU, rss+mem/float64(a.fleet.realAgents)
	}
	return cpu, rss
}

// awaitServing waits until all members in the first agent's member list have an endpoint list. It returns false after
// convergenceTimeout.
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

// compareRealAgents compares real agents with n simulated agents, and returns a row's values. cpu is the processor time of all
// real agents together. The test logs ratios that differ from 1 by more than 20%, and fails if no bytes were received.
func (s *span) compareRealAgents(t *testing.T, n, realAgents int, cpu time.Duration) map[string]float64 {
	t.Helper()
	var received, sent int64 // datagrams and streams
	for p := range s.traffic.In {
		received, sent = received+s.traffic.In[p].Bytes, sent+s.traffic.Out[p].Bytes
	}
	took := s.duration.Seconds()
	// Agents choose their targets uniformly, so the bytes from one agent to one other are comparable for both kinds of agent.
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
			t.Logf("n=%d, %s: %.2f differs from 1 by more than 20%%", n+realAgents, k, values[k])
		}
	}
	if fromReal <= 0 || fromSimulated <= 0 {
		t.Errorf("bytes/s received: %v from a real agent, %v from a simulated agent; want both positive", fromReal, fromSimulated)
	}
	return values
}
