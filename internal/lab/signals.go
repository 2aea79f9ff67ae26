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

// signalInterval is how far apart signals in series are.
const signalInterval = 60 * time.Millisecond

// scheduleSignals sends a process that was told to end further signals. The lock is held.
func (l *Lab) scheduleSignals(cmd *exec.Cmd, now time.Duration, series int) {
	for n := range series {
		s := syscall.SIGHUP
		if n%2 == 1 {
			s = syscall.SIGTERM
		}
		l.scheduleAt(now+time.Duration(n+1)*signalInterval, func(time.Duration) { _ = cmd.Process.Signal(s) }) // ended already if it fails
	}
}

// applyReload has discovery move for agents, and tells them. The lock is held.
func (l *Lab) applyReload(i int, f *scenario.Fault, now time.Duration) {
	list := l.pickAgents(i, f.Targets)
	for k, a := range list {
		l.scheduleAt(now+stepDelay(f, k, len(list)), func(now time.Duration) {
			if !a.up || a.endExpected || now-a.readyAt < minReloadAge {
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
	if err := l.discovery.moveAgent(a.number, now); err != nil {
		return err
	}
	version, _ := l.discovery.visible(a.number, now)
	config, err := l.agentConfig(a, l.discovery.list(a.number, l.discovery.baseVersion, version, true))
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.configFile(), config, 0o644); err != nil {
		return err
	}
	_ = a.cmd.Process.Signal(syscall.SIGHUP) // ended already if it fails
	starts := a.starts
	l.scheduleAt(now+reloadDeadline, func(now time.Duration) {
		if a.starts == starts && a.up {
			l.discovery.notifyAfterReload(a.number, version, now)
		}
	})
	return nil
}

// applyInjection has agents suffer what a program that package inject has built can. The lock is held.
func (l *Lab) applyInjection(i int, f *scenario.Fault, now time.Duration) {
	failure := faultinject.Failure{Call: f.Call, Errno: syscall.Errno(f.Errno), Path: f.Path, Times: f.Count}
	for _, a := range l.pickAgents(i, f.Targets) {
		if a.faultPlan.Wall = a.faultPlan.Wall + f.ClockStep.Duration(); f.Kind == scenario.SyscallFailure {
			a.faultPlan.Failures = append(a.faultPlan.Failures, failure)
		}
		l.writePlan(a)
		l.scheduleEnd(f, now, func(time.Duration) {
			a.faultPlan.Wall -= f.ClockStep.Duration()
			a.faultPlan.Failures = nil
			l.writePlan(a)
		})
	}
}

// writePlan puts an agent's plan in force. The lock is held.
func (l *Lab) writePlan(a *agent) {
	if err := a.faultControl.Write(a.faultPlan); err != nil {
		l.fail(err)
	}
}

// openIdleClients has idle clients hold connections to agents. The lock is held.
func (l *Lab) openIdleClients(i int, f *scenario.Fault, now time.Duration) {
	for _, a := range l.pickAgents(i, f.Targets) {
		for range int(f.Size) {
			l.running.Go(func() { l.idleClient(a.listenAddr, now+f.Duration.Duration()) })
		}
	}
}

const idleClientInterval = 10 * time.Millisecond

// idleClient connects and says nothing, again and again, until a time.
func (l *Lab) idleClient(addr string, end time.Duration) {
	for l.ctx.Err() == nil && l.now() < end {
		c, err := net.DialTimeout("tcp4", addr, connectTimeout)
		if err == nil {
			_ = c.SetReadDeadline(time.Now().Add(end - l.now())) // a closed connection shows in the read
			_, _ = io.Copy(io.Discard, c)
			c.Close()
		}
		waitFor(l.ctx, idleClientInterval, nil)
	}
}
