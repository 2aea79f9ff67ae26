package lab

import (
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"time"

	"martenbeam/internal/lab/faultinject"
	"martenbeam/internal/lab/scenario"
)

// signalEvery is how far apart signals in series are.
const signalEvery = 60 * time.Millisecond

// signalOn sends a process that was told to end further signals. The lock is held.
func (l *Lab) signalOn(cmd *exec.Cmd, now time.Duration, series int) {
	for n := range series {
		s := syscall.SIGHUP
		if n%2 == 1 {
			s = syscall.SIGTERM
		}
		l.at(now+time.Duration(n+1)*signalEvery, func(time.Duration) { _ = cmd.Process.Signal(s) }) // ended already if it fails
	}
}

// reload has discovery move for agents, and tells them. The lock is held.
func (l *Lab) reload(i int, f *scenario.Fault, now time.Duration) {
	list := l.pickAgents(i, f.Targets)
	for k, a := range list {
		l.at(now+stepOf(f, k, len(list)), func(now time.Duration) {
			if !a.up || a.expected || now-a.since < reloadSpared {
				return
			}
			if err := l.moveDiscovery(a, now); err != nil {
				l.fail(err)
			}
		})
	}
}

// moveDiscovery replaces an agent's configuration and says so. The lock is held.
func (l *Lab) moveDiscovery(a *agent, now time.Duration) error {
	if err := l.disc.move(a.n, now); err != nil {
		return err
	}
	version, _ := l.disc.visible(a.n, now)
	config, err := l.configure(a, l.disc.list(a.n, l.disc.base, version, true))
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.configFile(), config, 0o644); err != nil {
		return err
	}
	_ = a.cmd.Process.Signal(syscall.SIGHUP) // ended already if it fails
	starts := a.starts
	l.at(now+toldAfterReload, func(now time.Duration) {
		if a.starts == starts && a.up {
			l.disc.toldBy(a.n, version, now)
		}
	})
	return nil
}

// inject has agents suffer what a program that package inject has built can. The lock is held.
func (l *Lab) inject(i int, f *scenario.Fault, now time.Duration) {
	failure := faultinject.Failure{Call: f.Call, Errno: syscall.Errno(f.Errno), Path: f.Path, Times: f.Count}
	for _, a := range l.pickAgents(i, f.Targets) {
		if a.plan.Wall = a.plan.Wall + f.ClockStep.Duration(); f.Kind == scenario.SyscallFailure {
			a.plan.Failures = append(a.plan.Failures, failure)
		}
		l.follow(a)
		l.until(f, now, func(time.Duration) {
			a.plan.Wall -= f.ClockStep.Duration()
			a.plan.Failures = nil
			l.follow(a)
		})
	}
}

// follow puts an agent's plan in force. The lock is held.
func (l *Lab) follow(a *agent) {
	if err := a.control.Write(a.plan); err != nil {
		l.fail(err)
	}
}

// crowd has idle clients hold connections to agents. The lock is held.
func (l *Lab) crowd(i int, f *scenario.Fault, now time.Duration) {
	for _, a := range l.pickAgents(i, f.Targets) {
		for range int(f.Size) {
			l.running.Go(func() { l.idleClient(a.listen, now+f.Duration.Duration()) })
		}
	}
}

const idleClientAgain = 10 * time.Millisecond

// idleClient connects and says nothing, again and again, until a time.
func (l *Lab) idleClient(addr string, end time.Duration) {
	for l.ctx.Err() == nil && l.now() < end {
		c, err := net.DialTimeout("tcp4", addr, connectTimeout)
		if err == nil {
			_ = c.SetReadDeadline(time.Now().Add(end - l.now())) // a closed connection shows in the read
			_, _ = io.Copy(io.Discard, c)
			c.Close()
		}
		pause(l.ctx, idleClientAgain, nil)
	}
}
