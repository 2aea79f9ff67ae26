// The program of a hub process, which the test binary runs in place of the tests.

package hubclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
)

// hubSpecVariable names the environment variable that holds the hubSpec of a hub process.
const hubSpecVariable = "MARTENBEAM_TEST_HUB_SPEC"

// TestMain runs a hub instead of the tests if the environment holds a hubSpec.
func TestMain(m *testing.M) {
	if spec := os.Getenv(hubSpecVariable); spec != "" {
		if err := runHubProcess(spec); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// lockedWriter serializes writes from several goroutines, so that lines are not interleaved.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// writeLine writes a value as a line of JSON.
func (l *lockedWriter) writeLine(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	_, _ = l.Write(append(data, '\n'))
}

// hubProgram is the hub of this process, with the state that commands change.
type hubProgram struct {
	spec     hubSpec
	output   *lockedWriter
	network  *cuttableNetwork
	settings *settings.Holder
	policy   *residency.Holder
}

// runHubProcess runs a hub with the hubSpec that text encodes as JSON, and executes commands from stdin until stdin
// closes. The hub's goroutines end with the process.
func runHubProcess(text string) error {
	var spec hubSpec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return err
	}
	p := &hubProgram{spec: spec, output: &lockedWriter{w: os.Stdout}}
	addr, err := p.start()
	if err != nil {
		return err
	}
	p.output.writeLine(hubOutput{Addr: addr})
	for commands := json.NewDecoder(os.Stdin); ; {
		var command hubCommand
		if commands.Decode(&command) != nil {
			return nil
		}
		p.output.writeLine(p.execute(command))
	}
}

// start runs the hub and its member of the fleet, and returns its address.
func (p *hubProgram) start() (addr string, err error) {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	zones := []string{"a", "b", "c", "d"}
	p.settings = settings.NewHolder(settings.Config{Log: log})
	p.policy = residency.NewHolder(zones, time.Minute, p.spec.Source, log, nil)
	p.network = &cuttableNetwork{report: p.output.writeLine, sendBuffer: p.spec.SendBuffer, cut: map[string]uint8{}}
	settingsDocument := settings.Document(p.settings)
	var trace io.Writer = p.output
	if p.spec.Untraced {
		trace = nil
	}
	server := hub.New(hub.Config{Name: p.spec.Name, Label: p.spec.Label, ProgramVersion: "test",
		Incarnation: uint64(time.Now().UnixMilli()), MaxAgents: p.spec.MaxAgents, Settings: settingsDocument,
		Policy: fleet.PolicyDocument(p.policy), PolicyAge: p.policy.ConfirmedAge, Log: log, Trace: trace})
	cfg := fleet.Config{Name: p.spec.Name, Site: p.spec.Site, Version: "test", Listen: p.spec.Listen, Seeds: p.spec.Seeds,
		Label: p.spec.Label, MaxMembers: p.spec.MaxAgents, ListRate: 50, MeasureLatency: true, Log: log, Trace: trace,
		Residency: p.policy, PolicySource: p.spec.Source, Settings: settingsDocument, Hub: true, HTTPHandler: server, Wire: p.network}
	node, err := fleet.New(cfg, zones, fleet.Callbacks{})
	for n := 0; err != nil && n < 50; n++ { // another process uses the UDP port, or the hub's previous process has not ended yet
		time.Sleep(20 * time.Millisecond)
		node, err = fleet.New(cfg, zones, fleet.Callbacks{})
	}
	if err != nil {
		return "", err
	}
	go func() { server.Run(context.Background(), node) }()
	go func() { _ = node.Run(context.Background()) }()
	return node.Addr(), nil
}

// execute executes a command and returns the reply.
func (p *hubProgram) execute(command hubCommand) hubOutput {
	reply := hubOutput{ID: command.ID}
	p.network.set(command.Cut)
	var err error
	if command.Settings != "" {
		err = applyText(command.Settings, p.settings.Apply)
	}
	if command.Policy != "" {
		err = applyText(command.Policy, p.policy.Apply)
	}
	if err != nil {
		reply.Error = err.Error()
	}
	if command.Heap {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		reply.Heap = m.HeapAlloc + m.StackInuse
	}
	return reply
}

// applyText passes a text, and the version in its first line, to apply.
func applyText(text string, apply func(int64, string) error) error {
	var version int64
	if _, err := fmt.Sscanf(text, "version = %d", &version); err != nil {
		return err
	}
	return apply(version, text)
}
