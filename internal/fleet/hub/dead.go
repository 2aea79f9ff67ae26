package hub

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

const (
	lookEvery  = time.Second
	lookWithin = 600 * time.Millisecond
	mostLooks  = 256 // at once
	mostGone   = 64  // names in a fact
	goneBytes  = 600 // of names in a fact: a packet between members holds it
)

// seeToTheDead finds out which of the lost agents' processes are dead for certain, and tells the other hubs.
func (s *Server) seeToTheDead(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for told := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.look(ctx)
		told = s.tellGone(told)
	}
}

// look calls the lost agents, and the hubs that are missing.
func (s *Server) look(ctx context.Context) {
	began := time.Now()
	var calls sync.WaitGroup
	for _, l := range s.roll.due(mostLooks, began) {
		calls.Go(func() { s.roll.looked(l, s.fleet.Dead(ctx, member.Member{Addr: l.addr}, lookWithin), began) })
	}
	var mu sync.Mutex
	dead := map[string]bool{}
	for _, m := range s.fleet.Missing() {
		calls.Go(func() {
			if s.fleet.Dead(ctx, m, lookWithin) {
				mu.Lock()
				defer mu.Unlock()
				dead[m.Addr.String()] = true
			}
		})
	}
	calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr := range s.refuse {
		if !dead[addr] {
			delete(s.refuse, addr)
		}
	}
	for addr := range dead {
		if _, known := s.refuse[addr]; !known {
			s.refuse[addr] = began
		}
	}
}

// tellGone tells who is dead, as old as the looks at them, and takes back facts that are not needed any more. It returns how
// many facts it took.
func (s *Server) tellGone(told int) (n int) {
	now := time.Now()
	for list := s.roll.certain(s.fresh(gossip.Gone), now); len(list) > 0; n++ {
		names, size, oldest := []string{}, 0, now
		for len(list) > 0 && len(names) < mostGone && size+len(list[0].name) <= goneBytes {
			if list[0].seen.Before(oldest) {
				oldest = list[0].seen
			}
			names, size, list = append(names, list[0].name), size+2+len(list[0].name), list[1:]
		}
		s.tellNames(n, names, now.Sub(oldest))
	}
	for i := n; i < told; i++ {
		s.tellNames(i, []string{}, 0)
	}
	return n
}

func (s *Server) tellNames(i int, names []string, age time.Duration) {
	body, err := cbor.Marshal(names)
	if err != nil {
		panic(err) // they are names alone
	}
	s.fleet.Facts().TellAged(gossip.Gone, "agents "+strconv.Itoa(i), body, age)
}
