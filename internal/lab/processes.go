package lab

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"martenbeam/internal/lab/faultinject"
)

// process is a process that the lab runs: an agent or a hub.
type process struct {
	lab       *Lab
	role      role
	kind      string // "agent", "hub"
	name, dir string

	// Guarded by Lab.mu.
	cmd          *exec.Cmd
	starts       int
	faultControl faultinject.Control // for a program built by package faultinject
	faultPlan    faultinject.Plan    // the plan in force
	up           bool                // the process is ready
	readyAt      time.Duration       // when the process last became ready
	endExpected  bool                // the lab has signalled the process to end
	ended        chan struct{}       // closed once the process has ended
	usage        Usage
}

// role is the behaviour that differs between agents and hubs. The caller of each method except awaitReady holds Lab.mu.
type role interface {
	start(now time.Duration, keep bool) error                    // starts the process; without keep, deletes its previous state first
	awaitReady(ctx context.Context, ended <-chan struct{}) error // waits until the process is ready
	onReady(now time.Duration)                                   // the process is ready again
	onKilled(now time.Duration)                                  // the process was killed
	onPaused(from, to time.Duration)                             // the process is paused between two times
	onExit(now time.Duration)                                    // the process has ended, for any reason
}

// startProcesses starts processes on request, from one thread that ends with the lab. The kernel kills a child when the thread
// that started it ends (Pdeathsig), so no child outlives the lab, even if the lab is killed.
func (l *Lab) startProcesses() {
	runtime.LockOSThread()
	for {
		select {
		case startProcess := <-l.startRequests:
			startProcess()
		case <-l.ctx.Done():
			return // a locked thread ends with its goroutine
		}
	}
}

// launch starts the process with a command line. Its environment is PATH, HOME and env. Lab.mu is held.
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

// awaitExit waits for the end of the process. An end that the lab did not request is a crash.
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

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	text, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-2000):])
}

// kill kills the process; it is not restarted. Lab.mu is held.
func (p *process) kill() {
	p.endExpected = true
	if p.cmd != nil {
		_ = p.cmd.Process.Kill() // fails only if the process has ended
	}
}

const startTimeout = 30 * time.Second

// awaitOK waits until a GET of url returns status 200, for at most startTimeout.
func awaitOK(ctx context.Context, ended <-chan struct{}, url string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
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
			return errors.New("the process ended before it was ready")
		case <-time.After(3 * time.Millisecond):
		}
	}
	return fmt.Errorf("not ready within %v", startTimeout)
}

// allProcesses returns all processes, hubs first.
func (l *Lab) allProcesses() []*process { return append(l.hubProcesses(), l.agentProcesses()...) }

// startAll starts processes and waits until all are ready. It returns the first error, which wraps ErrCrash if a process did not
// become ready.
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

// ErrCrash is wrapped by the error of a process that did not become ready.
var ErrCrash = errors.New("a process has crashed")

// restart starts a process that has ended, and marks the process as up once it is ready. Lab.mu is held.
func (p *process) restart(now time.Duration, keep bool) {
	l := p.lab
	if l.closing {
		return
	}
	if err := p.role.start(now, keep); err != nil {
		l.fail(err)
		return
	}
	cmd, ended, restartedAt := p.cmd, p.ended, l.now()
	l.running.Go(func() {
		err := p.role.awaitReady(l.ctx, ended)
		l.mu.Lock()
		defer l.mu.Unlock()
		if p.cmd != cmd || p.endExpected { // another fault ended the process before it was ready, and restarts it
			return
		}
		if err == nil {
			p.up, p.readyAt = true, l.now()
			if p.kind == "agent" {
				l.restartTimes = append(l.restartTimes, p.readyAt-restartedAt)
			}
			p.role.onReady(p.readyAt)
		} else if !l.closing && l.ctx.Err() == nil {
			l.crashes = append(l.crashes, fmt.Sprintf("%s %s did not come up again: %v", p.kind, p.name, err))
			l.cancel()
		}
	})
}
