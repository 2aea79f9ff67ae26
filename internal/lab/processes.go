package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"martenbeam/internal/lab/faultinject"
	"martenbeam/internal/lab/rng"
)

// process is one process that the lab runs: an agent's or a hub's.
type process struct {
	lab       *Lab
	role      role
	kind      string // "agent", "hub"
	name, dir string

	// The lab's lock guards these.
	cmd          *exec.Cmd
	starts       int
	faultControl faultinject.Control // of a program that package inject has built
	faultPlan    faultinject.Plan    // in force there
	up           bool                // answers as ready
	readyAt      time.Duration       // up since
	endExpected  bool                // its end was asked for
	ended        chan struct{}       // closed once the present process has ended
	usage        Usage
}

// role is what a process is to the lab beyond its running. All but ready hold the lock.
type role interface {
	start(now time.Duration, keep bool) error
	awaitReady(ctx context.Context, ended <-chan struct{}) error // waits until it does its work
	onReady(now time.Duration)                                   // it is ready again
	onKilled(now time.Duration)                                  // it is gone without a word
	onPaused(from, to time.Duration)                             // it does not answer
	onExit(now time.Duration)                                    // its process has ended, for whatever cause
}

// agent is one agent's process, and its clients.
type agent struct {
	process
	number               int
	listenAddr, peerAddr string
	relay                *net.UDPConn // what others send to it comes here first

	// The lab's lock guards these.
	requests     map[string]*clientRequest
	openRequests int // requests of clients that have not ended

	// The arrivals alone use these.
	rate                         float64
	arrivalRandom, requestRandom *rand.Rand
	keys                         *rng.Zipf
	lastIndex                    int

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
}

// Usage is the most that processes of a kind have used.
type Usage struct {
	RSS  float64 `json:"rss_mb_max"`
	FDs  int     `json:"fds_max"`
	CPU  float64 `json:"cpu_s"`
	base float64 // of earlier processes
}

func newAgent(l *Lab, n int) *agent {
	name := "n" + strconv.Itoa(n)
	ip := l.block.agentAddr(n)
	a := &agent{number: n, requests: map[string]*clientRequest{}, listenAddr: net.JoinHostPort(ip, strconv.Itoa(clientPort)), peerAddr: net.JoinHostPort(ip, strconv.Itoa(peerPort))}
	a.process = process{lab: l, role: a, kind: "agent", name: name, dir: filepath.Join(l.Dir, name), readyAt: -1}
	a.faultControl.Path = filepath.Join(a.dir, "INJECT.json")
	return a
}

func (a *agent) onReady(now time.Duration)       { a.lab.check.Running(a.number, now) }
func (a *agent) onKilled(now time.Duration)      { a.lab.check.Down(a.number, now) }
func (a *agent) onPaused(from, to time.Duration) { a.lab.check.Excuse(a.number, from, to) }
func (a *agent) onExit(now time.Duration) {
	a.lab.processEnds = append(a.lab.processEnds, processEnd{now, a.number})
}

// Addr is where an agent's clients connect.
func (l *Lab) Addr(n int) string { return l.agents[n].listenAddr }

// startProcesses starts what is asked for, from one thread that lives as long as the lab: the kernel kills a
// child when the thread that started it ends, and so with the lab however that ends.
func (l *Lab) startProcesses() {
	runtime.LockOSThread()
	for {
		select {
		case do := <-l.startRequests:
			do()
		case <-l.ctx.Done():
			return // the thread, locked still, ends too
		}
	}
}

// start starts an agent's process. The lock is held.
func (a *agent) start(now time.Duration, keep bool) error {
	l := a.lab
	a.starts++
	tmp := filepath.Join(a.dir, "tmp")
	if !keep {
		if err := os.RemoveAll(tmp); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return err
	}
	l.check.ForgetEndpoints(a.number)
	config, err := l.agentConfig(a, l.discovery.cachedList(a, now))
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.configFile(), config, 0o644); err != nil {
		return err
	}
	return a.launch(l.Agent, append([]string{"TMPDIR=" + tmp, "PROXY_CONFIG=" + a.configFile(), "PROXY_NAME=" + a.name, "PROXY_LISTEN=" + a.listenAddr,
		"PROXY_DISCOVERY=" + l.discovery.addr(a.number), faultinject.ControlVariable + "=" + a.faultControl.Path}, l.Env...))
}

func (a *agent) configFile() string { return filepath.Join(a.dir, "config.json") }

// launch runs a command line as the process, with a bare environment and more. The lock is held.
func (p *process) launch(command, env []string) error {
	l := p.lab
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.dir, log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error, 1)
	select {
	case l.startRequests <- func() { started <- cmd.Start() }:
		err = <-started
	case <-l.ctx.Done():
		err = l.ctx.Err()
	}
	log.Close()
	if err != nil {
		return fmt.Errorf("%s: %w", command[0], err)
	}
	p.cmd, p.endExpected, p.ended = cmd, false, make(chan struct{})
	ended := p.ended
	l.running.Go(func() { p.awaitExit(cmd, ended) })
	return nil
}

// awaitExit waits for a process's end, and takes one that nobody asked for as a crash.
func (p *process) awaitExit(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	l := p.lab
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(ended)
	p.up = false
	p.role.onExit(l.now())
	p.usage.base += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
	p.usage.CPU = p.usage.base
	if p.endExpected || l.closing {
		return
	}
	now := l.now()
	l.crashes = append(l.crashes, fmt.Sprintf("%s %s ended by itself at %v (%v): %s", p.kind, p.name, now.Round(time.Millisecond), err, p.logTail()))
	p.role.onKilled(now)
	l.cancel()
}

// logTail is the end of the process's log.
func (p *process) logTail() string {
	text, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-2000):])
}

// kill kills the process for good. The lock is held.
func (p *process) kill() {
	p.endExpected = true
	if p.cmd != nil {
		_ = p.cmd.Process.Kill() // ended already if it fails
	}
}

func (a *agent) closeSockets() {
	if a.relay != nil {
		a.relay.Close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, c := range a.idle {
		c.Close()
	}
	a.idle = nil
}

const startTimeout = 30 * time.Second

// quietLog is for what the lab itself has to do with an agent's parts.
var quietLog = slog.New(slog.DiscardHandler)

// awaitReady waits until the agent takes clients.
func (a *agent) awaitReady(ctx context.Context, ended <-chan struct{}) error {
	return awaitOK(ctx, ended, "http://"+a.listenAddr+"/_health")
}

// awaitOK waits until an address answers a call as it should.
func awaitOK(ctx context.Context, ended <-chan struct{}, url string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	limit := time.Now().Add(startTimeout)
	for time.Now().Before(limit) {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
			return errors.New("it ended")
		case <-time.After(3 * time.Millisecond):
		}
	}
	return fmt.Errorf("not ready within %v", startTimeout)
}

// allProcesses is every process, hubs first.
func (l *Lab) allProcesses() []*process { return append(l.hubProcesses(), l.agentProcesses()...) }

func (l *Lab) agentProcesses() (list []*process) {
	for _, a := range l.agents {
		list = append(list, &a.process)
	}
	return list
}

// startAll starts processes and waits until all do their work.
func (l *Lab) startAll(ctx context.Context, list []*process) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(list))
	for _, p := range list {
		l.mu.Lock()
		err := p.role.start(l.now(), false)
		ended := p.ended
		l.mu.Unlock()
		if err != nil {
			return err
		}
		go func() {
			err := p.role.awaitReady(ctx, ended)
			l.mu.Lock()
			defer l.mu.Unlock()
			if p.up = err == nil; err != nil {
				err = fmt.Errorf("%w: %s %s: %w\n%s", ErrCrash, p.kind, p.name, err, p.logTail())
			}
			results <- err
		}()
	}
	var first error
	for range list {
		if err := <-results; err != nil && first == nil {
			first = err
			cancel()
		}
	}
	return first
}

// ErrCrash says that a process did not start.
var ErrCrash = errors.New("a process has crashed")

// restart starts a process that has ended, and has it count as up once it does its work. The lock is held.
func (p *process) restart(now time.Duration, keep bool) {
	l := p.lab
	if l.closing {
		return
	}
	if err := p.role.start(now, keep); err != nil {
		l.fail(err)
		return
	}
	cmd, ended, began := p.cmd, p.ended, l.now()
	l.running.Go(func() {
		err := p.role.awaitReady(l.ctx, ended)
		l.mu.Lock()
		defer l.mu.Unlock()
		if p.cmd != cmd || p.endExpected { // it was told to end as it started: whoever told it starts the next
			return
		}
		if err == nil {
			p.up, p.readyAt = true, l.now()
			if p.kind == "agent" {
				l.restartTimes = append(l.restartTimes, p.readyAt-began)
			}
			p.role.onReady(p.readyAt)
		} else if !l.closing && l.ctx.Err() == nil {
			l.crashes = append(l.crashes, fmt.Sprintf("%s %s did not come up again: %v", p.kind, p.name, err))
			l.cancel()
		}
	})
}

// sample follows what the processes use, twice a second.
func (l *Lab) sample() {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	all := l.allProcesses()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		for _, p := range all {
			l.mu.Lock()
			pid := 0
			if p.cmd != nil && !p.endExpected {
				pid = p.cmd.Process.Pid
			}
			l.mu.Unlock()
			if pid == 0 {
				continue
			}
			rss, fds, cpu, err := usage(pid)
			if err != nil {
				continue // it has ended
			}
			l.mu.Lock()
			u := &p.usage
			u.RSS, u.FDs, u.CPU = max(u.RSS, rss), max(u.FDs, fds), max(u.CPU, u.base+cpu)
			if limit := l.Scenario.Limits; p.kind == "agent" && (rss > float64(limit.MemoryMB) && limit.MemoryMB > 0 || fds > limit.Sockets) {
				l.crashes = append(l.crashes, fmt.Sprintf("agent %s is over its limits: %.0f of %d MB, %d of %d descriptors",
					p.name, rss, limit.MemoryMB, fds, limit.Sockets))
				l.cancel()
			}
			l.mu.Unlock()
		}
	}
}

// usage reads what a process uses now: resident memory in MB, descriptors, processor seconds.
func usage(pid int) (rss float64, fds int, cpu float64, err error) {
	proc := "/proc/" + strconv.Itoa(pid)
	entries, err := os.ReadDir(proc + "/fd")
	if err != nil {
		return 0, 0, 0, err
	}
	file, err := os.Open(proc + "/status")
	if err != nil {
		return 0, 0, 0, err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if f := strings.Fields(lines.Text()); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64) // the kernel writes numbers
			rss = kb / 1024
		}
	}
	text, err := os.ReadFile(proc + "/stat")
	if err != nil {
		return 0, 0, 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	const ticks = 100 // a second, on Linux
	if len(f) > 12 {
		user, _ := strconv.ParseFloat(f[11], 64)
		system, _ := strconv.ParseFloat(f[12], 64)
		cpu = (user + system) / ticks
	}
	return rss, len(entries), cpu, nil
}
