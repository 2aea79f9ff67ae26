// The test's side of a hub process: start, commands, signals, and output.

package hubclient

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hubSpec is the configuration of a hub process.
type hubSpec struct {
	Name, Site, Listen, Label string
	Seeds                     []string
	MaxAgents                 int
	SendBuffer                int  // send buffer of accepted connections in bytes; if set, these connections can't be cut; 0: the system's default
	Source                    bool // the hub is a source of the residency policy
	Untraced                  bool // the hub writes no trace
}

// hubCommand is a command to a hub process, which sends a reply with the same ID.
type hubCommand struct {
	ID       int
	Cut      map[string]uint8 // replaces all cuts of the cuttableNetwork; nil: no change
	Settings string
	Policy   string
	Heap     bool // report the size of heap and stacks
}

// hubOutput is a line of a hub process's output: its address, a reply, an agent's Hello, or a line of its trace.
type hubOutput struct {
	Addr  string
	ID    int
	Error string
	Heap  uint64 // bytes
	Hello int64  // when the Hello arrived, in microseconds since 1970
	traceLine
}

// hubProcess is a running hub process. One goroutine reads its output until it ends.
type hubProcess struct {
	hubSpec
	addr  string
	cmd   *exec.Cmd
	stdin io.WriteCloser
	done  chan struct{} // closed when the process has ended and readOutput has read its output

	mu           sync.Mutex
	lastID       int
	replies      map[int]hubOutput
	hellos       []int64 // arrival times of Hellos in microseconds since 1970
	reportedAddr chan string
}

// startHubProcess starts a hub process and waits until it listens. The process ends with the test at the latest. The
// monitor receives its trace.
func startHubProcess(t *testing.T, m *monitor, spec hubSpec) *hubProcess {
	t.Helper()
	spec.Label = t.Name()
	text, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &hubProcess{hubSpec: spec, cmd: exec.Command(executable), done: make(chan struct{}),
		replies: map[int]hubOutput{}, reportedAddr: make(chan string, 1)}
	p.cmd.Env = append(os.Environ(), hubSpecVariable+"="+string(text))
	p.cmd.Stderr = &processLog{t: t, name: spec.Name}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.readOutput(m, stdout)
	t.Cleanup(p.kill)
	select {
	case p.addr = <-p.reportedAddr:
	case <-time.After(waitTimeout):
		t.Fatalf("hub %s did not report its address within waitTimeout (30 s)", spec.Name)
	}
	return p
}

// processLog fails the test if a hub process logs a data race or a panic.
type processLog struct {
	t    *testing.T
	name string
}

func (l *processLog) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("DATA RACE")) || bytes.Contains(p, []byte("panic")) {
		l.t.Errorf("hub %s: %s", l.name, p)
	}
	return len(p), nil
}

// readOutput handles the process's output until the process ends, and then closes done.
func (p *hubProcess) readOutput(m *monitor, stdout io.Reader) {
	defer close(p.done)
	defer func() { _ = p.cmd.Wait() }() // the error reports that the process was killed
	for r := bufio.NewReader(stdout); ; {
		data, err := r.ReadBytes('\n')
		if err != nil {
			return
		}
		var output hubOutput
		if json.Unmarshal(data, &output) == nil {
			p.handleOutput(m, output)
		}
	}
}

// handleOutput stores a line of output, or passes it to the monitor.
func (p *hubProcess) handleOutput(m *monitor, output hubOutput) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case output.Addr != "":
		p.reportedAddr <- output.Addr
	case output.ID > 0:
		p.replies[output.ID] = output
	case output.Hello > 0:
		p.hellos = append(p.hellos, output.Hello)
	default:
		m.checkTraceLine(output.traceLine)
	}
}

// execute sends a command and returns the reply.
func (p *hubProcess) execute(t *testing.T, command hubCommand) (reply hubOutput) {
	t.Helper()
	p.mu.Lock()
	p.lastID++
	command.ID = p.lastID
	p.mu.Unlock()
	if err := json.NewEncoder(p.stdin).Encode(&command); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a hub's reply", func() (received bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		reply, received = p.replies[command.ID]
		return received
	})
	return reply
}

// kill ends the process with SIGKILL, and waits until readOutput has read its output.
func (p *hubProcess) kill() {
	_ = p.cmd.Process.Kill() // fails only when the process has ended
	<-p.done
}

// signal sends a signal to the process.
func (p *hubProcess) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// helloRate returns the number of Hellos since from: the maximum within one second, and the total.
func (p *hubProcess) helloRate(from time.Time) (peak, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var arrivals []int64
	for _, at := range p.hellos {
		if at >= from.UnixMicro() {
			arrivals = append(arrivals, at)
		}
	}
	for i, j := 0, 0; j < len(arrivals); j++ {
		for arrivals[j]-arrivals[i] >= 1e6 {
			i++
		}
		peak = max(peak, j-i+1)
	}
	return peak, len(arrivals)
}
