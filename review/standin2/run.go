package main

// The state of a run: its record, its processes and its verdict.

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case.
type run struct {
	trouble   bool // the disruption is played
	dir       string
	startedAt time.Time

	mu        sync.Mutex
	out       *bufio.Writer
	file      *os.File
	processes []*process
	broken    []string
	closed    bool
}

// newRun opens the record and a temporary folder.
func newRun(record string, trouble bool) (*run, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, dir: dir, startedAt: time.Now(), file: file, out: bufio.NewWriter(file)}
	r.note("trouble=%v", trouble)
	return r, nil
}

// note writes a line to the record, with the time since the start in milliseconds.
func (r *run) note(format string, args ...any) {
	at := time.Since(r.startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		_, _ = fmt.Fprintf(r.out, "%9.1f %s\n", at.Seconds()*1e3, fmt.Sprintf(format, args...)) // finish reports errors of the record
	}
}

// breakRule notes that the rule was broken.
func (r *run) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// finish ends all processes, and returns the exit code of the run.
func (r *run) finish(err error) int {
	code := 0
	for _, p := range r.snapshotProcesses() {
		p.kill()
	}
	switch {
	case err != nil:
		r.note("NOT RUN %v", err)
		fmt.Println("not run:", err)
		code = 2
	case len(r.broken) > 0:
		fmt.Printf("broken, %d times; first: %s\n", len(r.broken), r.broken[0])
		code = 1
	default:
		r.note("HELD")
		fmt.Println("held")
	}
	for _, p := range r.snapshotProcesses() {
		r.noteLog(p)
	}
	r.mu.Lock()
	r.closed = true
	err = errors.Join(r.out.Flush(), r.file.Close(), os.RemoveAll(r.dir))
	r.mu.Unlock()
	if err != nil {
		fmt.Println("record:", err)
		return 2
	}
	return code
}

func (r *run) snapshotProcesses() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*process(nil), r.processes...)
}

// noteLog appends the log of a process to the record.
func (r *run) noteLog(p *process) {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return
	}
	const most = 20000
	if len(text) > most {
		text = text[:most]
	}
	r.note("log of %s:\n%s", p.name, text)
}

// process is a program that the run started.
type process struct {
	name    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

// start starts a shell command with extra environment variables and files.
func (r *run) start(name, command string, env []string, files ...*os.File) (*process, error) {
	r.mu.Lock()
	number := len(r.processes)
	r.mu.Unlock()
	p := &process{name: name, logPath: filepath.Join(r.dir, fmt.Sprintf("log-%d-%s", number, name)), done: make(chan struct{})}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.ExtraFiles = log, log, files
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.note("started %s, process %d", name, p.cmd.Process.Pid)
	go func() {
		state := p.cmd.Wait()
		r.note("ended %s, process %d: %v", name, p.cmd.Process.Pid, state)
		close(p.done)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // an ended process needs none

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// deployCommand returns the command of a key in the deploy file.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no %s", key)
	}
	return string(match[1]), nil
}

// freeAddr returns an address with a free port for the agent with a number. Each agent has a loopback address of its own, so that no
// outgoing connection of another process takes the port before the agent listens there.
func freeAddr(agent int) (string, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", agent+1))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
