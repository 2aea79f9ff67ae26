package member

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

// memberlistConfig scale with the fleet: a larger one probes no more for each member, and gives doubts more time.
func (l *List) memberlistConfig() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Label, c.Delegate, c.Events, c.Conflict = l.cfg.Name, l.transport, l.cfg.Label, (*delegate)(l), (*delegate)(l), (*delegate)(l)
	c.Ping = (*delegate)(l)
	c.BindPort, c.AdvertisePort = int(l.transport.advertise.Port()), int(l.transport.advertise.Port())
	c.Logger = log.New(logWriter{l.cfg.Log}, "", 0)
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = 500*time.Millisecond, 250*time.Millisecond, 3
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = 200*time.Millisecond, 3, 10*time.Second
	c.TCPTimeout, c.PushPullInterval = 2*time.Second, 15*time.Second
	c.DeadNodeReclaimTime = time.Millisecond // a restarted process may come back at another address
	c.EnableCompression = false              // packets are small
	if l.cfg.MaxMembers > 100 {
		c.PushPullInterval = 30 * time.Second
	}
	return c
}

// Run joins the fleet and stays in it until ctx ends, and then says goodbye. Without anyone to be found it is alone,
// and goes on asking.
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
	retryBackoff := &backoff.ExponentialBackOff{InitialInterval: 100 * time.Millisecond, RandomizationFactor: 1, Multiplier: 2, MaxInterval: 4 * time.Second}
	retryBackoff.Reset()
	for leaving := false; !leaving; {
		if targets := l.joinTargets(); len(targets) > 0 {
			// An answer does not begin the waits anew: each is an exchange of all that both know, and while some are taken
			// for dead since all are late, more of them made everyone later.
			if n, err := list.Join(targets); n == 0 && err != nil {
				l.cfg.Log.Debug("nobody was found", "asked", targets, "error", err)
			}
		}
		select {
		case <-ctx.Done():
			leaving = true
		case <-l.leave:
			l.cfg.Log.Error("another process has this one's name: it leaves the fleet and serves alone", "name", l.cfg.Name)
			leaving = true
		case <-time.After(max(50*time.Millisecond, retryBackoff.NextBackOff())):
		}
	}
	err = list.Leave(500 * time.Millisecond)
	return errors.Join(err, list.Shutdown())
}

// joinTargets is whom to ask now: a few seeds, or members that failed, who are not there. After a cut both sides have
// forgotten each other, and a seed stands for the other side.
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

// logWriter has memberlist's log go where ours goes. What it warns of is its daily work.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Debug("memberlist", "line", string(bytes.TrimSpace(p)))
	return len(p), nil
}
