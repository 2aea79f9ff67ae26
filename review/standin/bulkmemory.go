package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playBulkMemory: clients on a third of the agent's descriptors send bodies of 300 kB at 64 kB a second. The agent must stay
// within its memory limit; over it the platform kills the agent, and this play does the same.
func playBulkMemory(f *fleet, trouble bool) (broken bool, err error) {
	const (
		memoryMB, sockets = 48, 896
		clients           = sockets / 3
		rate              = 64_000 // bytes a second
		duration          = 20 * time.Second
		timeout           = 3 * time.Second
	)
	size := 20_000 // bytes
	if trouble {
		size = 300_000
	}
	backends, err := f.startBackends(10, backendConfig{Service: 100 * time.Millisecond})
	if err != nil {
		return false, err
	}
	agents, err := f.startAgents(1, memoryMB, sockets, entries(backends))
	if err != nil {
		return false, err
	}
	agent := agents[0]
	var mu sync.Mutex
	statuses := map[int]int{}
	var requests sync.WaitGroup
	for range clients {
		requests.Go(func() {
			c := &client{addr: agent.addr}
			time.Sleep(rand.N(time.Duration(size) * time.Second / rate)) // clients don't begin together
			for end := time.Now().Add(duration); time.Now().Before(end) && !agent.ended(); {
				r := c.upload("route-assign", randomHex(8), timeout, timeout+500*time.Millisecond, strings.Repeat("x", size), rate)
				f.record.printf("client: %s, %d bytes, taken %v in %v, answered %d after %v: %v", r.id, size, r.sent, r.sending, r.status,
					r.answered, r.err)
				mu.Lock()
				statuses[r.status]++
				mu.Unlock()
			}
		})
	}
	done := make(chan struct{})
	go func() {
		requests.Wait()
		close(done)
	}()
	peak, killed := 0, false
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		used, err := anonymousKB(agent.cmd.Process.Pid)
		if err != nil || killed {
			continue
		}
		if used > peak {
			peak = used
			f.record.printf("agent: %d kB of anonymous memory", used)
		}
		if used > memoryMB<<10 {
			killed = true
			f.record.printf("KILLED: the agent has %d kB of anonymous memory, its limit is %d MB", used, memoryMB)
			agent.signal(syscall.SIGKILL)
		}
	}
	if !killed {
		if err := firstEnded(agents); err != nil {
			return false, err
		}
	}
	f.record.printf("answers by status (0: none): %v; peak %d kB of %d MB", statuses, peak, memoryMB)
	fmt.Println("answers by status (0: none):", statuses, "peak:", peak, "kB, limit:", memoryMB<<10, "kB")
	return killed, nil
}

// anonymousKB returns the resident anonymous memory of a process in kB: the program's file is not counted.
func anonymousKB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return 0, fmt.Errorf("process %d has no RssAnon", pid)
}
