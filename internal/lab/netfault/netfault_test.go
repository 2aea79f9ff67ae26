package netfault

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"martenbeam/internal/lab/rng"
)

var a, b, c = Endpoint{Agent, 0}, Endpoint{Agent, 1}, Endpoint{Backend, 0}

func network() *Network {
	return New(func(_, _ Endpoint) time.Duration { return time.Millisecond }, 0.2, rng.New(1))
}

func anyOf(list ...Endpoint) func(Endpoint) bool {
	return func(p Endpoint) bool { return slices.Contains(list, p) }
}

// A rule acts on its own links, direction and protocol, and has no effect after its removal.
func TestRulesApplyToTheirLinks(t *testing.T) {
	n := network()
	cutRule := n.Add(Rule{From: anyOf(a), To: anyOf(c), Protocols: TCP, Fault: Fault{Cut: true}})
	delayRule := n.Add(Rule{From: anyOf(a), To: anyOf(c), Protocols: TCP | UDP, Fault: Fault{Delay: time.Second, LossRate: 0.1}})
	for _, x := range []struct {
		from, to Endpoint
		p        Protocol
		want     Fault
	}{
		{a, c, TCP, Fault{Cut: true, Delay: time.Second, LossRate: 0.1}},
		{a, c, UDP, Fault{Delay: time.Second, LossRate: 0.1}},
		{c, a, TCP, Fault{}},
		{b, c, TCP, Fault{}},
	} {
		if got := n.Fault(x.from, x.to, x.p); got != x.want {
			t.Errorf("fault from %v to %v: %+v, want only the rules of this direction and protocol", x.from, x.to, got)
		}
	}
	if !n.Unreachable(a, c) || !n.Unreachable(c, a) || n.Unreachable(b, c) {
		t.Error("the cut from a to c must make TCP connections impossible between a and c, and only there")
	}
	if n.Arrivals(a, c, TCP, "x") != nil {
		t.Error("a message arrived in a cut direction")
	}
	n.Remove(cutRule)
	n.Remove(delayRule)
	if n.Unreachable(a, c) || n.Fault(a, c, TCP) != (Fault{}) {
		t.Error("removed rules still have an effect")
	}
}

// The shares of lost, duplicated, reordered and retransmitted messages match the rates of the rule. The arrivals of a message
// do not depend on messages before it.
func TestRatesAreMet(t *testing.T) {
	n := network()
	n.Add(Rule{From: anyOf(a), To: anyOf(b), Protocols: UDP | TCP, Fault: Fault{LossRate: 0.3, DuplicateRate: 0.2, ReorderRate: 0.1}})
	const messages = 20000
	lost, duplicated, reordered, retransmitted := 0, 0, 0, 0
	for i := range messages {
		id := fmt.Sprint(i)
		delays := n.Arrivals(a, b, UDP, id)
		if !slices.Equal(delays, n.Arrivals(a, b, UDP, id)) {
			t.Fatal("a second call with the same message returned other arrivals")
		}
		switch {
		case len(delays) == 0:
			lost++
		case delays[0] > 2*time.Millisecond:
			reordered++
		}
		if len(delays) == 2 {
			duplicated++
		}
		if tcp := n.Arrivals(a, b, TCP, id); len(tcp) != 1 {
			t.Fatalf("%d copies arrive over TCP, want one", len(tcp))
		} else if tcp[0] >= 200*time.Millisecond {
			retransmitted++
		}
	}
	// Lost datagrams, a share of 0.3, are neither duplicated nor reordered. The reordering of a datagram is visible if its
	// additional delay, up to 20 ms, exceeds about 1 ms: in 0.95 of the cases.
	for name, x := range map[string][2]float64{"lost": {float64(lost), 0.3}, "duplicated": {float64(duplicated), 0.7 * 0.2}, "reordered": {float64(reordered), 0.7 * 0.1 * 0.95},
		"retransmitted": {float64(retransmitted), 0.3}} {
		if share := x[0] / messages; share < x[1]*0.9 || share > x[1]*1.1 {
			t.Errorf("share %s: %v, want %v within 10%%", name, share, x[1])
		}
	}
}
