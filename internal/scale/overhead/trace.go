package overhead

// An agent under the Go runtime's tracer and profiler.

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/pprof"
	"runtime/trace"
	"time"

	"martenbeam/internal/agent"
	"martenbeam/internal/config"
	"martenbeam/internal/membership"
)

// traceDirEnv is the environment variable with the directory for ServeTraced. If it is set, the test binary calls
// ServeTraced instead of running tests.
const traceDirEnv = "CALLWAY_TRACED"

// Trace runs one workload on an agent. The agent's process runs this executable with traceDirEnv set, and writes a trace and
// a profile into a subdirectory of dir that is named after the workload.
func (b *Bench) Trace(ctx context.Context, workload Workload, length time.Duration, dir string) (Row, error) {
	dir = filepath.Join(dir, fmt.Sprintf("%d-backends-%v-a-second-tick-%s", workload.ListSize, workload.Rate, workload.Tick))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Row{}, err
	}
	self, err := os.Executable()
	if err != nil {
		return Row{}, err
	}
	traced := &Bench{Dir: b.Dir, Command: []string{self}, Env: []string{traceDirEnv + "=" + dir}, Backends: b.Backends, Seed: b.Seed}
	rows, err := traced.Run(ctx, Window{Name: "trace", WarmUp: time.Second, Length: length, Workloads: []Workload{workload}})
	if err != nil {
		return Row{}, err
	}
	return rows[0], nil
}

// ServeTraced runs an agent with the given configuration file, as the program does, until it is terminated. It writes an
// execution trace (trace.out) and a CPU profile (cpu.pprof) into dir.
func ServeTraced(file, dir string) error {
	source := agent.Source{Name: file, Getenv: func(string) string { return "" }, Join: membership.JoinFromConfig,
		Read: func() ([]byte, error) {
			c, err := config.Read(file)
			if err != nil {
				return nil, err
			}
			return c.Platform()
		}}
	profile, err := os.Create(filepath.Join(dir, "cpu.pprof"))
	if err != nil {
		return err
	}
	defer profile.Close()
	events, err := os.Create(filepath.Join(dir, "trace.out"))
	if err != nil {
		return err
	}
	defer events.Close()
	if err := pprof.StartCPUProfile(profile); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	if err := trace.Start(events); err != nil {
		return err
	}
	defer trace.Stop()
	return agent.Serve(slog.New(slog.NewJSONHandler(os.Stderr, nil)), source)
}
