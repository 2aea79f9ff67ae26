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
		if err := beHub(spec); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// spec is what a hub's process is told of itself.
type spec struct {
	Name, Site, Listen, Label string
	Seeds                     []string
	Most                      int
	SendBuffer                int  // of streams, bytes; 0: as the system has it, and the ways can be cut
	Source                    bool // of the residency policy
	Quiet                     bool // it writes no trace
}

// order is what a hub's process is told to do. It answers with the same number.
type task struct {
	Do       int
	Cut      map[string]uint8 // the ways to these addresses, in whole
	Settings string
	Policy   string
	Heap     bool
}

// word is a line of a hub's process: an answer, a hello that came, or a line of its trace.
type word struct {
	Addr  string
	Do    int
	Error string
	Heap  uint64
	Hello int64 // when, us
	line
}

const (
	in  = 1 << iota // from them to the hub nothing comes
	out             // from the hub to them nothing goes
)

type locked struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

func (l *locked) say(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	_, _ = l.Write(append(data, '\n'))
}

func beHub(text string) error {
	var sp spec
	if err := json.Unmarshal([]byte(text), &sp); err != nil {
		return err
	}
	stdout := &locked{w: os.Stdout}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	zones := []string{"a", "b", "c", "d"}
	set, policy := settings.NewHolder(settings.Config{Log: log}), residency.NewHolder(zones, time.Minute, sp.Source, log, nil)
	wire := &wire{say: stdout.say, sendBuffer: sp.SendBuffer, cut: map[string]uint8{}}
	kind := settings.Kind(set)
	var trace io.Writer = stdout
	if sp.Quiet {
		trace = nil
	}
	s := hub.New(hub.Config{Name: sp.Name, Label: sp.Label, Program: "test", Incarnation: uint64(time.Now().UnixMilli()), Most: sp.Most, Settings: kind, Policy: fleet.Policy(policy),
		PolicyAge: policy.Confirmed, Log: log, Trace: trace})
	fc := fleet.Config{Name: sp.Name, Site: sp.Site, Version: "test", Listen: sp.Listen, Seeds: sp.Seeds, Label: sp.Label, Most: sp.Most, ListRate: 50, Matrix: true, Log: log,
		Trace: trace, Residency: policy, Source: sp.Source, Settings: kind, Hub: true, Calls: s, Wire: wire}
	f, err := fleet.New(fc, zones, fleet.Told{})
	for n := 0; err != nil && n < 50; n++ { // another has the UDP port, or the process before still ends
		time.Sleep(20 * time.Millisecond)
		f, err = fleet.New(fc, zones, fleet.Told{})
	}
	if err != nil {
		return err
	}
	go func() { s.Run(context.Background(), f) }()
	go func() { _ = f.Run(context.Background()) }()
	stdout.say(word{Addr: f.Addr()})
	for orders := json.NewDecoder(os.Stdin); ; {
		var o task
		if orders.Decode(&o) != nil {
			return nil
		}
		answer := word{Do: o.Do}
		wire.set(o.Cut)
		var err error
		if o.Settings != "" {
			err = give(o.Settings, set.Take)
		}
		if o.Policy != "" {
			err = give(o.Policy, policy.Take)
		}
		if err != nil {
			answer.Error = err.Error()
		}
		if o.Heap {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			answer.Heap = m.HeapAlloc + m.StackInuse
		}
		stdout.say(answer)
	}
}

func give(text string, take func(int64, string) error) error {
	var version int64
	if _, err := fmt.Sscanf(text, "version = %d", &version); err != nil {
		return err
	}
	return take(version, text)
}

// wire is a hub's way to everyone. A way that is cut holds what is sent by stream, and loses what is sent by packet.
type wire struct {
	say        func(any)
	sendBuffer int
	mu         sync.Mutex
	cut        map[string]uint8 // by IP address
}

func (w *wire) set(cut map[string]uint8) {
	if cut == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func (w *wire) is(peer netip.Addr) uint8 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[peer.Unmap().String()]
}

func (w *wire) Packet(_ []byte, peer netip.AddrPort, goes bool) bool {
	if goes {
		return w.is(peer.Addr())&out == 0
	}
	return w.is(peer.Addr())&in == 0
}

func (w *wire) Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if w.is(to.Addr()) != 0 {
		if d.Timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, d.Timeout)
			defer cancel()
		}
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return w.wrap(c), nil
}

func (w *wire) Accepted(c net.Conn) net.Conn {
	if w.sendBuffer > 0 {
		_ = c.(*net.TCPConn).SetWriteBuffer(w.sendBuffer)
		return c
	}
	return w.wrap(c)
}

type wired struct {
	net.Conn
	far net.Conn
}

func (w *wired) RemoteAddr() net.Addr { return w.far.RemoteAddr() }
func (w *wired) LocalAddr() net.Addr  { return w.far.LocalAddr() }

func (w *wire) wrap(c net.Conn) net.Conn {
	near, far := net.Pipe()
	peer := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	go w.carry(far, c, peer, in)
	go w.carry(c, far, peer, out)
	return &wired{near, c}
}

// carry passes on what comes, and the end, and holds both while the way is cut.
func (w *wire) carry(to, from net.Conn, peer netip.Addr, way uint8) {
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for first := true; ; first = false {
			buf := make([]byte, 4096)
			n, err := from.Read(buf)
			if first && way == in && bytes.HasPrefix(buf[:n], []byte("GET /hub HTTP")) {
				w.say(word{Hello: time.Now().UnixMicro()})
			}
			if n > 0 {
				chunks <- buf[:n]
			}
			if err != nil {
				return
			}
		}
	}()
	hold := func() {
		for w.is(peer)&way != 0 {
			time.Sleep(2 * time.Millisecond)
		}
	}
	for b := range chunks { // of those that can't be written any more, too
		hold()
		_, _ = to.Write(b)
	}
	hold()
	to.Close()
}

// proc is a hub's process.
type proc struct {
	spec
	addr  string
	cmd   *exec.Cmd
	stdin io.WriteCloser
	ended chan struct{}

	mu      sync.Mutex
	sent    int
	answers map[int]word
	hellos  []int64
	first   chan string
}

func newProc(t *testing.T, w *watch, sp spec) *proc {
	t.Helper()
	sp.Label = t.Name()
	text, err := json.Marshal(sp)
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &proc{spec: sp, cmd: exec.Command(self), ended: make(chan struct{}), answers: map[int]word{}, first: make(chan string, 1)}
	p.cmd.Env = append(os.Environ(), "HARD_HUB="+string(text))
	p.cmd.Stderr = &logLines{t: t, name: sp.Name}
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
		defer close(p.ended)
		defer p.cmd.Wait() //nolint:errcheck // it was killed
		for r := bufio.NewReader(stdout); ; {
			data, err := r.ReadBytes('\n')
			if err != nil {
				return
			}
			var x word
			if json.Unmarshal(data, &x) == nil {
				p.heard(w, x)
			}
		}
	}()
	t.Cleanup(p.kill)
	select {
	case p.addr = <-p.first:
	case <-time.After(patience):
		t.Fatalf("the hub %s does not start", sp.Name)
	}
	return p
}

type logLines struct {
	t    *testing.T
	name string
}

func (l *logLines) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("DATA RACE")) || bytes.Contains(p, []byte("panic")) {
		l.t.Errorf("the hub %s: %s", l.name, p)
	}
	return len(p), nil
}

func (p *proc) heard(w *watch, x word) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case x.Addr != "":
		p.first <- x.Addr
	case x.Do > 0:
		p.answers[x.Do] = x
	case x.Hello > 0:
		p.hellos = append(p.hellos, x.Hello)
	default:
		w.traced(x.line)
	}
}

func (p *proc) do(t *testing.T, o task) (answer word) {
	t.Helper()
	p.mu.Lock()
	p.sent++
	o.Do = p.sent
	p.mu.Unlock()
	if err := json.NewEncoder(p.stdin).Encode(&o); err != nil {
		t.Fatal(err)
	}
	await(t, "a hub's answer", func() (there bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		answer, there = p.answers[o.Do]
		return there
	})
	return answer
}

// kill ends it without a word.
func (p *proc) kill() {
	_ = p.cmd.Process.Kill() // it has ended already if it fails
	<-p.ended
}

func (p *proc) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// worst is the most hellos that came in a second from a time on, and how many came in all.
func (p *proc) worst(from time.Time) (second, all int) {
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
		second = max(second, j-i+1)
	}
	return second, len(list)
}
