package main

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["chunked"] = playChunked }

// chunkedText returns a request whose body is one chunk.
func chunkedText(class, tenant, id, key, body string, timeout time.Duration) string {
	text := requestText(class, tenant, id, key, "", timeout)
	return strings.Replace(text, "Content-Length: 0\r\n\r\n", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), 1)
}

// A client sends two small commands at once, the first with a chunked body. Both are owed a whole answer.
func playChunked(r *run) error {
	const backends, rounds = 3, 20
	handle := func(in received) answer {
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
		ids := []string{fmt.Sprintf("%08x%08x", round, 0), fmt.Sprintf("%08x%08x", round, 1)}
		texts := []string{chunkedText("stop-update", "state-post", ids[0], "stop1", "moved", 2*time.Second),
			requestText("stop-update", "state-post", ids[1], "stop2", "done", 2*time.Second)}
		if r.trouble {
			texts = []string{texts[0] + texts[1], ""}
		}
		sentAt := time.Now()
		for i, id := range ids {
			if texts[i] != "" {
				if _, err := c.Write([]byte(texts[i])); err != nil {
					return err
				}
				r.note("round %d: sent %d bytes", round, len(texts[i]))
			}
			status, body, closes, err := c.readAnswer(6 * time.Second)
			r.note("round %d: got %d %q for %s, closes=%v (error %v)", round, status, body, id, closes, err)
			if err != nil {
				r.breakRule("round %d: command %s got no answer: the agent ended the connection (%v, reset=%v) %v after its last byte was written",
					round, id, err, errors.Is(err, syscall.ECONNRESET), time.Since(sentAt).Round(time.Millisecond))
				break
			}
			answered++
			if closes && !r.trouble { // one by one: the client has read it, and sends the next command on a new connection
				c.Close()
				if c, err = dial(a.addr); err != nil {
					return err
				}
			}
		}
		c.Close()
	}
	if answered < rounds {
		return errors.New("not even the first commands were answered")
	}
	return nil
}
