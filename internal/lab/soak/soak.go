// Package soak generates scenarios of the lab from seeds. Each scenario has a deployment, and faults of the network, of
// processes, of system calls and of the wall clock. The agents must be built by package faultinject.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"martenbeam/internal/lab/faultinject"
	"martenbeam/internal/lab/rng"
	"martenbeam/internal/lab/scenario"
	"martenbeam/internal/strictconfig"
)

const (
	runDuration   = 12 * time.Second
	earliestFault = 2 * time.Second // the platform sends no signal in a process's first second
	latestFault   = 9 * time.Second // the platform sends SIGKILL at most 3.7 s after a SIGTERM
	minFaults     = 4
	maxFaults     = 7
)

// faultGenerators are the generators of faults from which Draw picks. A change of their order changes the scenario of each seed.
var faultGenerators = []func(r *rand.Rand) scenario.Fault{
	func(r *rand.Rand) scenario.Fault {
		return scenario.Fault{Kind: scenario.Terminate, Targets: someAgents(r), Restart: pick(r, "empty", "kept"), ExtraSignals: r.IntN(5), Duration: randomDuration(r, 0, 1500)}
	},
	func(r *rand.Rand) scenario.Fault {
		return scenario.Fault{Kind: scenario.Kill, Targets: someAgents(r), Restart: "empty", RestartDelay: randomDuration(r, 0, 500)}
	},
	func(r *rand.Rand) scenario.Fault { return scenario.Fault{Kind: scenario.Reload, Targets: "agents"} },
	func(r *rand.Rand) scenario.Fault {
		return scenario.Fault{Kind: scenario.WallClock, Targets: someAgents(r), Duration: randomDuration(r, 200, 3000),
			ClockStep: strictconfig.Duration(pick(r, 2*time.Second, -2*time.Second, time.Hour, -time.Hour))}
	},
	syscallFailure(faultinject.Accept, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EPERM, syscall.ECONNABORTED, syscall.ENFILE),
	syscallFailure(faultinject.Connect, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EINTR),
	syscallFailure(faultinject.Socket, syscall.ENOBUFS, syscall.ENFILE, syscall.EMFILE),
	syscallFailure(faultinject.Write, syscall.ENOBUFS, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EINTR),
	syscallFailure(faultinject.Read, syscall.ENOBUFS, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EIO),
	func(r *rand.Rand) scenario.Fault { // reading the configuration fails during a reload by SIGHUP
		return scenario.Fault{Kind: scenario.SyscallFailure, Targets: "agents", Call: pick(r, faultinject.Open, faultinject.Read), Path: "config.json",
			Errno: int(pick(r, syscall.ENFILE, syscall.EIO, syscall.EINTR)), Count: 1 + r.IntN(3), Duration: randomDuration(r, 500, 2000)}
	},
	func(r *rand.Rand) scenario.Fault {
		return scenario.Fault{Kind: scenario.IdleClients, Targets: "agents n=0", Size: float64(50 + r.IntN(100)), Duration: randomDuration(r, 1000, 4000)}
	},
	func(r *rand.Rand) scenario.Fault {
		return scenario.Fault{Kind: pick(r, scenario.Drain, scenario.Replace), Targets: randomShare(r, "backends"), Duration: randomDuration(r, 0, 1500), Steps: 1 + r.IntN(3)}
	},
	func(r *rand.Rand) scenario.Fault {
		return scenario.Fault{Kind: pick(r, scenario.DiscoverySilent, scenario.DiscoveryDown), Duration: randomDuration(r, 500, 4000)}
	},
	func(r *rand.Rand) scenario.Fault {
		return scenario.Fault{Kind: scenario.FailingBackends, Targets: randomShare(r, "backends"), Size: 0.3 + 0.6*r.Float64(), Duration: randomDuration(r, 500, 3000)}
	},
	func(r *rand.Rand) scenario.Fault { // backends that hang
		return scenario.Fault{Kind: scenario.Link, From: randomShare(r, "backends"), To: "agents", Cut: true, Duration: randomDuration(r, 300, 2500)}
	},
	func(r *rand.Rand) scenario.Fault {
		return scenario.Fault{Kind: scenario.Link, From: "agents", To: randomShare(r, "backends"), Bidirectional: true, Reset: true, LossRate: 0.2, Duration: randomDuration(r, 300, 2000)}
	},
	func(r *rand.Rand) scenario.Fault {
		return scenario.Fault{Kind: scenario.Pause, Targets: someAgents(r), Duration: strictconfig.Duration(150 * time.Millisecond)}
	},
}

// syscallFailure returns a generator of failures of a system call: one call, three calls, or all calls for 20 to 80 ms.
func syscallFailure(call string, errnos ...syscall.Errno) func(r *rand.Rand) scenario.Fault {
	return func(r *rand.Rand) scenario.Fault {
		f := scenario.Fault{Kind: scenario.SyscallFailure, Targets: someAgents(r), Call: call, Errno: int(pick(r, errnos...)), Count: pick(r, 1, 3, 0), Duration: randomDuration(r, 1000, 4000)}
		switch {
		case f.Count == 0 && syscall.Errno(f.Errno) == syscall.EINTR: // callers retry the call at once, so endless failures would make them spin
			f.Count = 3
		case f.Count == 0:
			f.Duration = randomDuration(r, 20, 80)
		}
		return f
	}
}

// pick returns a random one of several values.
func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

// randomDuration returns a random duration between two bounds in milliseconds, both included.
func randomDuration(r *rand.Rand, minMs, maxMs int) strictconfig.Duration {
	return strictconfig.Duration(time.Duration(minMs+r.IntN(maxMs-minMs+1)) * time.Millisecond)
}

// someAgents returns a random set of agents.
func someAgents(r *rand.Rand) string { return pick(r, "agents", "agents n=0", "agents share=0.5") }

// randomShare returns a set with a random share, from 0.1 to 0.4, of the processes of one kind.
func randomShare(r *rand.Rand, kind string) string {
	return fmt.Sprintf("%s share=%.2f", kind, 0.1+0.3*r.Float64())
}

// Draw returns the scenario of a seed, and the error of the scenario's Check.
func Draw(seed uint64) (*scenario.Scenario, error) {
	r := rng.New(seed).Stream("soak")
	s := scenario.Default()
	s.Name, s.Duration, s.WarmUp = fmt.Sprintf("soak-%d", seed), strictconfig.Duration(runDuration), strictconfig.Duration(time.Second)
	s.Fleet.Agents, s.Fleet.Backends, s.Fleet.CellSize = 2+r.IntN(4), 6+r.IntN(5), 2+r.IntN(3)
	s.Load.Rate, s.Load.Utilization = float64(60+r.IntN(120)), 0.12+0.4*r.Float64() // both determine the work of requests, and so their deadlines
	s.Load.CancelShare, s.Load.Retries = 0.1*r.Float64(), r.IntN(3)
	s.Discovery.Polled, s.Discovery.Indented = r.IntN(3) == 0, r.IntN(2) == 0
	s.Discovery.SilentDelaySeconds = scenario.Range{1, 3}
	s.Limits.Sockets, s.Limits.Cores, s.Limits.MaxLabLatenessMs = pick(r, 128, 256, 768), pick(r, 0.5, 1.0), 60
	for range minFaults + r.IntN(maxFaults-minFaults+1) {
		f := pick(r, faultGenerators...)(r)
		f.At = strictconfig.Duration(earliestFault + time.Duration(r.Int64N(int64(latestFault-earliestFault))))
		s.Faults = append(s.Faults, f)
		if f.Kind == scenario.SyscallFailure && f.Path != "" || f.Kind == scenario.Reload && r.IntN(2) == 0 { // a reload follows after 50 ms
			second := scenario.Fault{Kind: scenario.Reload, Targets: "agents", At: f.At + strictconfig.Duration(50*time.Millisecond)}
			s.Faults = append(s.Faults, second)
		}
	}
	return &s, s.Check()
}

// Faults returns a description of the faults of a scenario in one line.
func Faults(s *scenario.Scenario) string {
	var list []string
	for i := range s.Faults {
		f := &s.Faults[i]
		text := f.Kind
		switch f.Kind {
		case scenario.SyscallFailure:
			text = fmt.Sprintf("%s %v x%d", f.Call, syscall.Errno(f.Errno), f.Count)
		case scenario.WallClock:
			text = fmt.Sprintf("wall %v", f.ClockStep.Duration())
		case scenario.Terminate:
			text = fmt.Sprintf("term+%d", f.ExtraSignals)
		}
		list = append(list, fmt.Sprintf("%s @%.1f", text, f.At.Duration().Seconds()))
	}
	return strings.Join(list, ", ")
}
