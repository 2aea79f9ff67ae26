package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

// A client sends commands at once on one connection, and reads the answers, which come in order. Each command whose last byte the
// agent's machine has accepted is owed a whole answer: the agent must not end the connection before.
func playPipeline(r *run) error {
	const backends, rounds, commands, bodyBytes = 3, 5, 10, 3000
	var ran atomic.Int32
	handle := func(in received) answer {
		ran.Add(1)
		r.note("backend %s runs %s", in.backend.id, in.id)
		return answer{work: 40 * time.Millisecond, body: "done " + in.id}
	}
	var entries []entry
	for i := range backends {
		b, err := r.startBackend(fmt.Sprintf("s-%02d", i), zones[i%3], handle)
		if err != nil {
			return err
		}
		entries = append(entries, entry{ID: b.id, Addr: b.addr(), Zone: b.zone, Kind: "fast-4core", State: "ready", Weight: 1})
	}
	d, err := r.startDiscovery(entries)
	if err != nil {
		return err
	}
	a, err := r.startAgent(d.addr(), entries)
	if err != nil {
		return err
	}
	answered := 0
	for round := range rounds {
		c, err := dial(a.addr)
		if err != nil {
			return err
		}
		var all strings.Builder
		var ids []string
		next := 0 // the next command to write, if they are sent one by one
		texts := make([]string, commands)
		for i := range commands {
			ids = append(ids, fmt.Sprintf("%08x%08x", round, i))
			texts[i] = requestText("stop-update", "state-post", ids[i], "stop1", strings.Repeat("b", bodyBytes), 2*time.Second)
			all.WriteString(texts[i])
		}
		if r.trouble {
			if _, err := io.WriteString(c, all.String()); err != nil {
				return err
			}
			r.note("round %d: %d commands sent at once, %d bytes", round, commands, all.Len())
		}
		sentAt := time.Now()
		for i, id := range ids {
			if !r.trouble {
				if _, err := io.WriteString(c, texts[next]); err != nil {
					return err
				}
				r.note("round %d: sent %s", round, id)
				next++
			}
			status, body, closes, err := c.readAnswer(6 * time.Second)
			r.note("round %d: got %d %q for %s, closes=%v (error %v)", round, status, body, id, closes, err)
			if err != nil {
				r.breakRule("round %d: commands %d to %d of %d got no answer: the agent ended the connection (%v, reset=%v) %v after their last byte was written",
					round, i+1, commands, commands, err, errors.Is(err, syscall.ECONNRESET), time.Since(sentAt).Round(time.Millisecond))
				break
			}
			answered++
		}
		c.Close()
	}
	if answered < rounds || int(ran.Load()) < rounds {
		return errors.New("no commands were answered")
	}
	return nil
}
