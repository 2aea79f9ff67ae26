package lab

// Faults of the processes of agents and hubs.

import (
	"syscall"
	"time"

	"martenbeam/internal/lab/scenario"
)

// applyProcessFault kills, terminates or pauses agents or hubs. Lab.mu is held.
func (l *Lab) applyProcessFault(i int, f *scenario.Fault, now time.Duration) {
	list := l.pickProcesses(i, f.Targets)
	for k, p := range list {
		l.scheduleAt(now+stepDelay(f, k, len(list)), func(now time.Duration) {
			if p.cmd == nil || p.endExpected {
				return
			}
			switch f.Kind {
			case scenario.Pause:
				l.pauseProcess(p, f, now)
			case scenario.Kill:
				p.role.onKilled(now)
				l.endProcess(p, f, now, syscall.SIGKILL)
			case scenario.Terminate:
				l.endProcess(p, f, now, syscall.SIGTERM)
			}
		})
	}
}

// pauseProcess stops a process for the duration of a fault. The kernel still accepts connections for it. Lab.mu is held.
func (l *Lab) pauseProcess(p *process, f *scenario.Fault, now time.Duration) {
	cmd := p.cmd
	p.role.onPaused(now, now+f.Duration.Duration()+pauseSlack)
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		l.fail(err)
		return
	}
	p.up = false
	l.scheduleEnd(f, now, func(now time.Duration) {
		if p.cmd != cmd {
			return
		}
		_ = cmd.Process.Signal(syscall.SIGCONT) // also to a process that was sent SIGTERM; fails only if it has ended
		p.up = !p.endExpected
	})
}

// pauseSlack is the time that a process needs after a pause to answer the requests that arrived during the pause.
const pauseSlack = 200 * time.Millisecond

// The platform sends SIGKILL after SIGTERM. The time between the two signals is the longest deadline, limited to
// maxCountedDeadline, plus killDelay.
const killDelay, maxCountedDeadline = 700 * time.Millisecond, 3 * time.Second

// endProcess sends a signal that ends a process, and restarts the process unless the fault's restart is "never". Lab.mu is held.
func (l *Lab) endProcess(p *process, f *scenario.Fault, now time.Duration, signal syscall.Signal) {
	cmd, ended := p.cmd, p.ended
	p.endExpected, p.up = true, false
	if err := cmd.Process.Signal(signal); err != nil {
		l.fail(err)
		return
	}
	if signal == syscall.SIGTERM {
		l.scheduleAt(now+min(l.maxDeadline(), maxCountedDeadline)+killDelay, func(time.Duration) {
			_ = cmd.Process.Kill() // fails only if the process has ended
		})
		l.scheduleSignals(cmd, now, f.ExtraSignals)
	}
	l.running.Go(func() {
		select {
		case <-ended:
		case <-l.ctx.Done():
			return
		}
		if f.Restart == "never" {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.scheduleAt(l.now()+f.RestartDelay.Duration(), func(now time.Duration) { p.restart(now, f.Restart == "kept") })
	})
}
