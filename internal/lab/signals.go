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

// signalInterval is the time between two signals of a series.
const signalInterval = 60 * time.Millisecond

// scheduleSignals schedules further signals, SIGHUP and SIGTERM alternately, to a process that was sent SIGTERM. Lab.mu is held.
func (l *Lab) scheduleSignals(cmd *exec.Cmd, now time.Duration, series int) {
	for n := range series {
		s := syscall.SIGHUP
		if n%2 == 1 {
			s = syscall.SIGTERM
		}
		l.scheduleAt(now+time.Duration(n+1)*signalInterval, func(time.Duration) { _ = cmd.Process.Signal(s) }) // fails only if the process has ended
	}
}

// applyReload moves the discovery address of agents and makes them reload their configuration. Lab.mu is held.
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

// moveDiscovery moves the discovery address of an agent, replaces its configuration and sends SIGHUP. Lab.mu is held.
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
	_ = a.cmd.Process.Signal(syscall.SIGHUP) // fails only if the process has ended
	starts := a.starts
	l.scheduleAt(now+reloadDeadline, func(now time.Duration) {
		if a.starts == starts && a.up {
			l.discovery.notifyAfterReload(a.number, version, now)
		}
	})
	return nil
}

// applyInjection injects clock steps or failing system calls into agents. Lab.mu is held.
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

// writePlan writes the fault plan of an agent to its control file. Lab.mu is held.
func (l *Lab) writePlan(a *agent) {
	if err := a.faultControl.Write(a.faultPlan); err != nil {
		l.fail(err)
	}
}

// openIdleClients opens idle connections to agents. Lab.mu is held.
func (l *Lab) openIdleClients(i int, f *scenario.Fault, now time.Duration) {
	for _, a := range l.pickAgents(i, f.Targets) {
		for range int(f.Size) {
			l.running.Go(func() { l.idleClient(a.listenAddr, now+f.Duration.Duration()) })
		}
	}
}

const idleClientInterval = 10 * time.Millisecond // before an idle client reconnects

// idleClient keeps a connection open without a request until a time, and reconnects if the agent closes the connection.
func (l *Lab) idleClient(addr string, end time.Duration) {
	for l.ctx.Err() == nil && l.now() < end {
		c, err := net.DialTimeout("tcp4", addr, connectTimeout)
		if err == nil {
			_ = c.SetReadDeadline(time.Now().Add(end - l.now())) // fails only on a closed connection, which the read reports
			_, _ = io.Copy(io.Discard, c)
			c.Close()
		}
		waitFor(l.ctx, idleClientInterval, nil)
	}
}
