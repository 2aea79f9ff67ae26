package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["again"] = playAgain }

// The application keeps ten requests open, one on each connection, and there are ten backends that take 110 to 150 ms for a request.
// After 4 s three of the backends send one of their answers a second time each, 8 ms after the first. Each 200 must hold the body
// that a backend made for that request.
func playAgain(r *run) error {
	const backends, clients, mostSpoilt = 10, 10, 3
	var spoilt atomic.Int32
	var spoiltBy sync.Map // by backend
	spoilAt := time.Now().Add(4 * time.Second)
	handle := func(in received) answer {
		r.note("backend %s runs %s", in.backend.id, in.id)
		out := answer{work: 110*time.Millisecond + rand.N(40*time.Millisecond), body: "done " + in.id}
		if r.trouble && time.Now().After(spoilAt) {
			if _, done := spoiltBy.LoadOrStore(in.backend.id, true); !done && spoilt.Add(1) <= mostSpoilt {
				out.again = 8 * time.Millisecond
			}
		}
		return out
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
	end := time.Now().Add(10 * time.Second)
	var running sync.WaitGroup
	var answered atomic.Int32
	failures := make(chan error, clients)
	for n := range clients {
		running.Go(func() {
			c, err := dial(a.addr)
			if err != nil {
				failures <- err
				return
			}
			defer func() { c.Close() }()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				class := []string{"stop-update", "route-assign"}[i%2]
				timeout := []time.Duration{2 * time.Second, 3 * time.Second}[i%2]
				r.note("client %d sends %s %s", n, class, id)
				if _, err := c.Write([]byte(requestText(class, "state-post", id, fmt.Sprintf("stop%d", n), "x", timeout))); err != nil {
					failures <- err
					return
				}
				status, body, closes, err := c.readAnswer(5 * time.Second)
				r.note("client %d got %d %q for %s (error %v)", n, status, body, id, err)
				if status == 200 {
					answered.Add(1)
					if strings.TrimPrefix(body, "done ") != id {
						r.breakRule("request %s was answered with 200 and %q, which no backend made for it", id, body)
					}
				}
				if err != nil || closes {
					c.Close()
					if c, err = dial(a.addr); err != nil {
						failures <- err
						return
					}
				}
			}
		})
	}
	running.Wait()
	select {
	case err := <-failures:
		return err
	default:
	}
	if answered.Load() < 100 || r.trouble && spoilt.Load() == 0 {
		return fmt.Errorf("only %d requests were served", answered.Load())
	}
	return nil
}
