package member

// This file joins the fleet with memberlist and stays in it.

import (
	"bytes"
	"context"
	"errors"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/memberlist"
)

// memberlistConfig returns the configuration of memberlist. The rate at which a member probes others does not depend on the
// size of the fleet. In a larger fleet memberlist waits longer before it removes a suspected member, and members exchange
// state less often.
func (l *List) memberlistConfig() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Label = l.cfg.Name, l.transport, l.cfg.Label
	c.Delegate, c.Events, c.Conflict, c.Ping = (*delegate)(l), (*delegate)(l), (*delegate)(l), (*delegate)(l)
	c.BindPort, c.AdvertisePort = int(l.transport.advertise.Port()), int(l.transport.advertise.Port())
	c.Logger = log.New(logWriter{l.cfg.Log}, "", 0)
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = 500*time.Millisecond, 250*time.Millisecond, 3
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = 200*time.Millisecond, 3, 10*time.Second
	c.TCPTimeout, c.PushPullInterval = 2*time.Second, 15*time.Second
	c.DeadNodeReclaimTime = time.Millisecond // a restarted process may have another address
	c.EnableCompression = false              // packets are small
	if l.cfg.MaxMembers > 100 {
		c.PushPullInterval = 30 * time.Second
	}
	return c
}

// Run joins the fleet and stays in it until ctx ends, and then leaves it. While no other member responds, this process is
// the only member and repeats its attempts to join. Run also leaves, without an error, if another process has the same
// name. It may be called once, and returns after the transport's goroutines have ended.
func (l *List) Run(ctx context.Context) error {
	if !l.transport.awaitAddress(ctx) {
		return l.transport.Shutdown()
	}
	l.transport.run()
	list, err := memberlist.Create(l.memberlistConfig())
	if err != nil {
		return errors.Join(err, l.transport.Shutdown())
	}
	l.mu.Lock()
	l.memberlist = list
	l.mu.Unlock()
	retryBackoff := &backoff.ExponentialBackOff{InitialInterval: 100 * time.Millisecond, RandomizationFactor: 1, Multiplier: 2,
		MaxInterval: 4 * time.Second}
	retryBackoff.Reset()
	for leaving := false; !leaving; {
		if targets := l.joinTargets(); len(targets) > 0 {
			// A successful join does not reset the backoff. Each join exchanges the complete state of both sides. When all
			// members are slow and therefore suspected, additional joins make them even slower.
			if n, err := list.Join(targets); n == 0 && err != nil {
				l.cfg.Log.Debug("join failed", "asked", targets, "error", err)
			}
		}
		select {
		case <-ctx.Done():
			leaving = true
		case <-l.leave:
			l.cfg.Log.Error("name conflict: this process leaves the fleet", "name", l.cfg.Name)
			leaving = true
		case <-time.After(max(50*time.Millisecond, retryBackoff.NextBackOff())):
		}
	}
	err = list.Leave(500 * time.Millisecond)
	return errors.Join(err, list.Shutdown())
}

// joinTargets returns up to three addresses to join now, at random: seeds and failed members that are not in the list. After
// a network partition the two sides have removed each other, and a seed or a failed member leads to the other side.
func (l *List) joinTargets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates := map[string]bool{}
	for _, s := range l.cfg.Seeds {
		candidates[s] = true
	}
	for _, m := range l.failed {
		candidates[m.Addr.String()] = true
	}
	delete(candidates, l.transport.advertise.String())
	if len(candidates) > 0 {
		for _, m := range l.members {
			delete(candidates, m.Addr.String())
		}
	}
	list := slices.Collect(maps.Keys(candidates))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), 3)]
}

// logWriter passes memberlist's log lines on at debug level: most of its warnings are part of normal operation.
type logWriter struct{ log *slog.Logger }

// Write logs one line.
func (w logWriter) Write(p []byte) (int, error) {
	w.log.Debug("memberlist", "line", string(bytes.TrimSpace(p)))
	return len(p), nil
}
