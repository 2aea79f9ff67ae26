package fleet

// This file tests complete fleets over loopback sockets.

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

// waitTimeout is how long a test waits for a condition. Even on a slow machine every condition holds much earlier.
const waitTimeout = 30 * time.Second

var zones = []string{"a", "b"}

// testProcess is a Fleet that runs in the test's process, with its log and the quotas it received.
type testProcess struct {
	*Fleet
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	quotas []float64
	log    bytes.Buffer
}

// Write appends to the process's log.
func (p *testProcess) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

// startProcess runs a process with the given seeds until the test ends.
func startProcess(t *testing.T, cfg Config, seeds ...*testProcess) *testProcess {
	t.Helper()
	process := &testProcess{done: make(chan struct{})}
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Label == "" {
		cfg.Label = t.Name()
	}
	for _, s := range seeds {
		cfg.Seeds = append(cfg.Seeds, s.Addr())
	}
	cfg.Log, cfg.ListRate = slog.New(slog.NewTextHandler(process, nil)), 50
	var err error
	if process.Fleet, err = New(cfg, zones, Callbacks{Quota: func(quota float64) {
		process.mu.Lock()
		defer process.mu.Unlock()
		process.quotas = append(process.quotas, quota)
	}}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	process.cancel = cancel
	go func() {
		defer close(process.done)
		if err := process.Run(ctx); err != nil {
			t.Log(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-process.done })
	return process
}

// lastQuota returns the quota that the process received last, or -1.
func (p *testProcess) lastQuota() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.quotas) == 0 {
		return -1
	}
	return p.quotas[len(p.quotas)-1]
}

// waitFor waits until a condition holds, and fails the test after waitTimeout.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting for %s", condition)
		}
	}
}

// startFleet starts a fleet of n processes, alternately in two sites, and waits until each lists all others. configure may
// change their configuration.
func startFleet(t *testing.T, n, maxMembers int, configure func(i int, cfg *Config)) (list []*testProcess) {
	for i := range n {
		cfg := Config{Name: fmt.Sprint("n", i), Site: zones[i%2], MaxMembers: maxMembers, MeasureLatency: true}
		if configure != nil {
			configure(i, &cfg)
		}
		list = append(list, startProcess(t, cfg, list[:min(i, 1)]...))
	}
	waitFor(t, "all processes to list each other", func() bool {
		for _, process := range list {
			if process.members.View().Len() != n {
				return false
			}
		}
		return true
	})
	return list
}

// Members join, share measured latencies, and each receives an even quota. The quota of a killed member is divided among the
// others until that member restarts.
func TestQuotaFollowsMembership(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 4, 4, nil)
	for _, process := range list {
		waitFor(t, "an even quota", func() bool { return process.lastQuota() == 0.25 })
	}
	waitFor(t, "a round trip from a to b below 100 ms", func() bool {
		f := list[0].Fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		e, known := f.matrix.Between("a", "b")
		return known && e.RTT > 0 && e.RTT < 100*time.Millisecond
	})
	dead := list[3]
	addr := dead.Addr()
	// Abort acts as a kill: the sockets close, and the member does not leave the fleet.
	if err := dead.members.Abort(); err != nil {
		t.Fatal(err)
	}
	for _, process := range list[:3] {
		waitFor(t, "a third of the limit after a member died", func() bool { return process.lastQuota() == 1./3 })
	}
	restarted := startProcess(t, Config{Name: "n3", Site: "b", MaxMembers: 4, Listen: addr}, list[0])
	waitFor(t, "the quota of the restarted member", func() bool { return restarted.lastQuota() == 0.25 })
	for _, process := range list[:3] {
		waitFor(t, "an even quota after the restart", func() bool { return process.lastQuota() == 0.25 })
	}
	if first := restarted.quotas[0]; first != startupQuota/4 {
		t.Errorf("the first quota of the restarted member is %v, want %v", first, startupQuota/4)
	}
}

// A process without other members receives its even quota once no other process can be using it. Fleets with different
// labels do not mix.
func TestLoneProcessGetsItsEvenQuota(t *testing.T) {
	t.Parallel()
	a := startProcess(t, Config{Name: "x", Site: "a", MaxMembers: 5, Label: "one"})
	b := startProcess(t, Config{Name: "y", Site: "a", MaxMembers: 5, Label: "two"}, a)
	for _, process := range []*testProcess{a, b} {
		waitFor(t, "an even quota", func() bool { return process.lastQuota() == 0.2 })
		if process.members.View().Len() != 1 {
			t.Error("processes with different labels joined each other, want one member in each fleet")
		}
	}
}

// Of two processes with the same name, one leaves the fleet and logs the conflict. Members with other names stay.
func TestOneOfTwoProcessesWithTheSameNameLeaves(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 2, 3, nil)
	duplicate := startProcess(t, Config{Name: "n1", Site: "a", MaxMembers: 3}, list[0])
	hasLeft := func(process *testProcess) bool {
		process.mu.Lock()
		defer process.mu.Unlock()
		return bytes.Contains(process.log.Bytes(), []byte("leaves the fleet"))
	}
	waitFor(t, "one of the two processes with the same name to leave", func() bool { return hasLeft(duplicate) || hasLeft(list[1]) })
	if hasLeft(list[0]) {
		t.Error("the member with another name left, want only one of the two with the same name to leave")
	}
}

// During a hot restart the successor waits until its predecessor releases the fleet address.
func TestSuccessorTakesOverTheAddress(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 2, 2, nil)
	addr := list[1].Addr()
	if _, err := New(Config{Name: "n1", Listen: addr, MaxMembers: 2, Log: slog.New(slog.DiscardHandler)}, zones, Callbacks{}); err == nil {
		t.Error("New returned no error for an address that is in use")
	}
	successor := startProcess(t, Config{Name: "n1", Site: "b", MaxMembers: 2, Listen: addr, AwaitAddress: true}, list[0])
	if _, err := successor.members.SendProbe([]byte("x"), list[0].members.Addr()); err == nil {
		t.Error("the successor sent a probe before it had the address")
	}
	list[1].cancel()
	<-list[1].done
	waitFor(t, "the successor to join", func() bool { return successor.members.View().Len() == 2 && list[0].members.View().Len() == 2 })
}

// Malformed datagrams and connections do not disturb the fleet.
func TestMalformedInputIsHarmless(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 2, 2, nil)
	c, err := net.Dial("udp", list[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	malformed := []string{"x", "\xd7", "\xd7\x02aaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "\xf4\xff", "\x08garbage", string(make([]byte, 9000))}
	for _, text := range malformed {
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if s, err := net.Dial("tcp", list[0].Addr()); err == nil {
			_, _ = s.Write([]byte(text)) // it may be closed already
			s.Close()
		}
	}
	list[0].store.Publish(gossip.ListServiceLoad, "x", nil)
	waitFor(t, "an entry at the other member", func() bool { return len(list[1].store.Entries(gossip.ListServiceLoad)) > 0 })
	if list[1].members.View().Len() != 2 || list[0].members.View().At(0).Phase != member.Starting {
		t.Error("malformed input removed a member or changed its phase, want both members, the first in phase Starting")
	}
}
