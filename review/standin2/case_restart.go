package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = playRestart }

// Ten clients send five small commands at once, read the five answers, and begin again. A planned restart begins with SIGTERM; SIGKILL
// would come 3.7 s later. Each command that was sent at least 0.1 s before SIGTERM is owed a whole answer.
func playRestart(r *run) error {
	const backends, clients, commands = 10, 10, 5
	const beforeSignal, untilKill = 100 * time.Millisecond, 3700 * time.Millisecond
	handle := func(in received) answer {
		r.note("backend %s runs %s", in.backend.id, in.id)
		return answer{work: 84*time.Millisecond + rand.N(66*time.Millisecond), body: "done " + in.id}
	}
	var entries []entry
	for i := range backends {
		b, err := r.startBackend(fmt.Sprintf("s-%02d", i), zones[i%3], handle)
		if err != nil {
			return err
		}
		entries = append(entries, entry{ID: b.id, Addr: b.addr(), Zone: b.zone, Kind: "fast-4core", Cell: i / 5, State: "ready", Weight: 1})
	}
	d, err := r.startDiscovery(entries)
	if err != nil {
		return err
	}
	a, err := r.startAgent(d.addr(), entries)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	sentAt, answered := map[string]time.Time{}, map[string]bool{}
	ended := map[string]string{} // how the connection of a command ended that got no answer
	stopAt := time.Now().Add(4 * time.Second)
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() {
			c, err := dial(a.addr)
			if err != nil {
				return
			}
			defer c.Close()
			for round := 0; time.Now().Before(stopAt); round++ {
				var all strings.Builder
				var ids []string
				for i := range commands {
					id := fmt.Sprintf("%04x%08x%04x", n, round, i)
					ids = append(ids, id)
					all.WriteString(requestText("stop-update", "state-post", id, fmt.Sprintf("stop%d", n), "x", 2*time.Second))
				}
				if _, err := io.WriteString(c, all.String()); err != nil {
					return
				}
				now := time.Now()
				r.note("client %d sends %d commands at once, %s to %s", n, commands, ids[0], ids[commands-1])
				mu.Lock()
				for _, id := range ids {
					sentAt[id] = now
				}
				mu.Unlock()
				for i, id := range ids {
					status, body, closes, err := c.readAnswer(6 * time.Second)
					r.note("client %d got %d %q for %s, closes=%v (error %v)", n, status, body, id, closes, err)
					mu.Lock()
					if err != nil {
						for _, unanswered := range ids[i:] {
							ended[unanswered] = err.Error()
						}
						mu.Unlock()
						return
					}
					answered[id] = true
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	signalledAt := time.Now()
	if r.trouble {
		r.note("SIGTERM to the agent")
		a.signal(syscall.SIGTERM)
	}
	select {
	case <-a.done:
	case <-time.After(untilKill):
		r.note("SIGKILL to the agent")
		a.kill()
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	owed, lost, first := 0, 0, ""
	for id, at := range sentAt {
		if at.After(signalledAt.Add(-beforeSignal)) {
			continue
		}
		owed++
		if !answered[id] {
			lost++
			first = fmt.Sprintf("%s, sent %v before SIGTERM: %s", id, signalledAt.Sub(at).Round(time.Millisecond), ended[id])
		}
	}
	r.note("%d commands were sent at least %v before the signal, %d of them got no answer", owed, beforeSignal, lost)
	if owed < 100 {
		return fmt.Errorf("only %d commands were sent", owed)
	}
	if lost > 0 {
		r.breakRule("%d of %d commands that the agent had taken got no answer, such as %s", lost, owed, first)
	}
	return nil
}
