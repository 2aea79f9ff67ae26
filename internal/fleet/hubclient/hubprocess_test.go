package hubclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
)

// TestMain lets the test binary stand in for a hub's process.
func TestMain(m *testing.M) {
	if spec := os.Getenv("HARD_HUB"); spec != "" {
		if err := runHubProcess(spec); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// hubSpec is what a hub's process is told of itself.
type hubSpec struct {
	Name, Site, Listen, Label string
	Seeds                     []string
	MaxAgents                 int
	SendBuffer                int  // of streams, bytes; 0: as the system has it, and the ways can be cut
	Source                    bool // of the residency policy
	Untraced                  bool // it writes no trace
}

// order is what a hub's process is told to do. It answers with the same number.
type hubCommand struct {
	ID       int
	Cut      map[string]uint8 // the ways to these addresses, in whole
	Settings string
	Policy   string
	Heap     bool
}

// hubOutput is a line of a hub's process: an answer, a hello that came, or a line of its trace.
type hubOutput struct {
	Addr  string
	ID    int
	Error string
	Heap  uint64
	Hello int64 // when, us
	traceLine
}

const (
	in  = 1 << iota // from them to the hub nothing comes
	out             // from the hub to them nothing goes
)

type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

func (l *lockedWriter) writeLine(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	_, _ = l.Write(append(data, '\n'))
}

func runHubProcess(text string) error {
	var spec hubSpec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return err
	}
	stdout := &lockedWriter{w: os.Stdout}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	zones := []string{"a", "b", "c", "d"}
	settingsHolder, policyHolder := settings.NewHolder(settings.Config{Log: log}), residency.NewHolder(zones, time.Minute, spec.Source, log, nil)
	network := &cuttableNetwork{report: stdout.writeLine, sendBuffer: spec.SendBuffer, cut: map[string]uint8{}}
	kind := settings.DocumentKind(settingsHolder)
	var trace io.Writer = stdout
	if spec.Untraced {
		trace = nil
	}
	server := hub.New(hub.Config{Name: spec.Name, Label: spec.Label, ProgramVersion: "test", Incarnation: uint64(time.Now().UnixMilli()), MaxAgents: spec.MaxAgents, Settings: kind, Policy: fleet.PolicyReplicator(policyHolder),
		PolicyAge: policyHolder.ConfirmedAge, Log: log, Trace: trace})
	cfg := fleet.Config{Name: spec.Name, Site: spec.Site, Version: "test", Listen: spec.Listen, Seeds: spec.Seeds, Label: spec.Label, MaxMembers: spec.MaxAgents, ListRate: 50, MeasureLatency: true, Log: log,
		Trace: trace, Residency: policyHolder, PolicySource: spec.Source, Settings: kind, Hub: true, HTTPHandler: server, Wire: network}
	node, err := fleet.New(cfg, zones, fleet.Callbacks{})
	for n := 0; err != nil && n < 50; n++ { // another has the UDP port, or the process before still ends
		time.Sleep(20 * time.Millisecond)
		node, err = fleet.New(cfg, zones, fleet.Callbacks{})
	}
	if err != nil {
		return err
	}
	go func() { server.Run(context.Background(), node) }()
	go func() { _ = node.Run(context.Background()) }()
	stdout.writeLine(hubOutput{Addr: node.Addr()})
	for commands := json.NewDecoder(os.Stdin); ; {
		var command hubCommand
		if commands.Decode(&command) != nil {
			return nil
		}
		answer := hubOutput{ID: command.ID}
		network.set(command.Cut)
		var err error
		if command.Settings != "" {
			err = applyText(command.Settings, settingsHolder.Apply)
		}
		if command.Policy != "" {
			err = applyText(command.Policy, policyHolder.Apply)
		}
		if err != nil {
			answer.Error = err.Error()
		}
		if command.Heap {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			answer.Heap = m.HeapAlloc + m.StackInuse
		}
		stdout.writeLine(answer)
	}
}

func applyText(text string, apply func(int64, string) error) error {
	var version int64
	if _, err := fmt.Sscanf(text, "version = %d", &version); err != nil {
		return err
	}
	return apply(version, text)
}

// cuttableNetwork is a hub's way to everyone. A way that is cut holds what is sent by stream, and loses what is sent by packet.
type cuttableNetwork struct {
	report     func(any)
	sendBuffer int
	mu         sync.Mutex
	cut        map[string]uint8 // by IP address
}

func (n *cuttableNetwork) set(cut map[string]uint8) {
	if cut == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *cuttableNetwork) cutTo(peer netip.Addr) uint8 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[peer.Unmap().String()]
}

func (n *cuttableNetwork) Packet(_ []byte, peer netip.AddrPort, outgoing bool) bool {
	if outgoing {
		return n.cutTo(peer.Addr())&out == 0
	}
	return n.cutTo(peer.Addr())&in == 0
}

func (n *cuttableNetwork) Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if n.cutTo(to.Addr()) != 0 {
		if d.Timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, d.Timeout)
			defer cancel()
		}
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return n.wrap(conn), nil
}

func (n *cuttableNetwork) Accepted(conn net.Conn) net.Conn {
	if n.sendBuffer > 0 {
		_ = conn.(*net.TCPConn).SetWriteBuffer(n.sendBuffer)
		return conn
	}
	return n.wrap(conn)
}

type pipedConn struct {
	net.Conn
	real net.Conn
}

func (c *pipedConn) RemoteAddr() net.Addr { return c.real.RemoteAddr() }
func (c *pipedConn) LocalAddr() net.Addr  { return c.real.LocalAddr() }

func (n *cuttableNetwork) wrap(conn net.Conn) net.Conn {
	near, far := net.Pipe()
	peer := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	go n.forward(far, conn, peer, in)
	go n.forward(conn, far, peer, out)
	return &pipedConn{near, conn}
}

// forward passes on what comes, and the end, and holds both while the way is cut.
func (n *cuttableNetwork) forward(to, from net.Conn, peer netip.Addr, direction uint8) {
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for first := true; ; first = false {
			buf := make([]byte, 4096)
			size, err := from.Read(buf)
			if first && direction == in && bytes.HasPrefix(buf[:size], []byte("GET /hub HTTP")) {
				n.report(hubOutput{Hello: time.Now().UnixMicro()})
			}
			if size > 0 {
				chunks <- buf[:size]
			}
			if err != nil {
				return
			}
		}
	}()
	waitWhileCut := func() {
		for n.cutTo(peer)&direction != 0 {
			time.Sleep(2 * time.Millisecond)
		}
	}
	for b := range chunks { // of those that can't be written any more, too
		waitWhileCut()
		_, _ = to.Write(b)
	}
	waitWhileCut()
	to.Close()
}

// hubProcess is a hub's process.
type hubProcess struct {
	hubSpec
	addr  string
	cmd   *exec.Cmd
	stdin io.WriteCloser
	done  chan struct{}

	mu           sync.Mutex
	lastID       int
	answers      map[int]hubOutput
	hellos       []int64
	reportedAddr chan string
}

func startHubProcess(t *testing.T, m *monitor, spec hubSpec) *hubProcess {
	t.Helper()
	spec.Label = t.Name()
	text, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &hubProcess{hubSpec: spec, cmd: exec.Command(self), done: make(chan struct{}), answers: map[int]hubOutput{}, reportedAddr: make(chan string, 1)}
	p.cmd.Env = append(os.Environ(), "HARD_HUB="+string(text))
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
	go func() {
		defer close(p.done)
		defer p.cmd.Wait() //nolint:errcheck // it was killed
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
	}()
	t.Cleanup(p.kill)
	select {
	case p.addr = <-p.reportedAddr:
	case <-time.After(waitTimeout):
		t.Fatalf("the hub %s does not start", spec.Name)
	}
	return p
}

type processLog struct {
	t    *testing.T
	name string
}

func (l *processLog) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("DATA RACE")) || bytes.Contains(p, []byte("panic")) {
		l.t.Errorf("the hub %s: %s", l.name, p)
	}
	return len(p), nil
}

func (p *hubProcess) handleOutput(m *monitor, output hubOutput) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case output.Addr != "":
		p.reportedAddr <- output.Addr
	case output.ID > 0:
		p.answers[output.ID] = output
	case output.Hello > 0:
		p.hellos = append(p.hellos, output.Hello)
	default:
		m.checkTraceLine(output.traceLine)
	}
}

func (p *hubProcess) execute(t *testing.T, command hubCommand) (answer hubOutput) {
	t.Helper()
	p.mu.Lock()
	p.lastID++
	command.ID = p.lastID
	p.mu.Unlock()
	if err := json.NewEncoder(p.stdin).Encode(&command); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a hub's answer", func() (known bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		answer, known = p.answers[command.ID]
		return known
	})
	return answer
}

// kill ends it without a word.
func (p *hubProcess) kill() {
	_ = p.cmd.Process.Kill() // it has ended already if it fails
	<-p.done
}

func (p *hubProcess) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// helloRate is the most hellos that came in a second from a time on, and how many came in all.
func (p *hubProcess) helloRate(from time.Time) (peak, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []int64
	for _, at := range p.hellos {
		if at >= from.UnixMicro() {
			list = append(list, at)
		}
	}
	for i, j := 0, 0; j < len(list); j++ {
		for list[j]-list[i] >= 1e6 {
			i++
		}
		peak = max(peak, j-i+1)
	}
	return peak, len(list)
}
