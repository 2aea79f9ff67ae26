package lab

// Faults of the processes of agents and hubs.

import (
	"syscall"
	"time"

	"martenbeam/internal/lab/scenario"
)

// applyProcessFault kills, ends or stops agents or hubs. The lock is held.
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

// pauseProcess stops a process for a while. Its kernel still takes connections. The lock is held.
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
		_ = cmd.Process.Signal(syscall.SIGCONT) // also one that was told to end meanwhile; ended already if it fails
		p.up = !p.endExpected
	})
}

// pauseSlack is the time in which a process that goes on answers what has come meanwhile.
const pauseSlack = 200 * time.Millisecond

// killDelay is how long the platform waits after SIGTERM at least, past the longest deadline, of which so much counts at most.
const killDelay, maxCountedDeadline = 700 * time.Millisecond, 3 * time.Second

// endProcess ends a process, and starts it anew if wanted. The lock is held.
func (l *Lab) endProcess(p *process, f *scenario.Fault, now time.Duration, signal syscall.Signal) {
	cmd, ended := p.cmd, p.ended
	p.endExpected, p.up = true, false
	if err := cmd.Process.Signal(signal); err != nil {
		l.fail(err)
		return
	}
	if signal == syscall.SIGTERM {
		l.scheduleAt(now+min(l.maxDeadline(), maxCountedDeadline)+killDelay, func(time.Duration) {
			_ = cmd.Process.Kill() // ended already if it fails
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
