package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["told"] = playTold }

// askedAgentConfig is the file of an agent of the product's own command, which asks for its lists. Its arguments are the name, the
// addresses for clients, of discovery and of the fleet, the seeds, and the number of agents.
const askedAgentConfig = `name = %q
listen = %q
discovery = %q
lists = "asked"
zones = ["riga-ziepniekkalns", "riga-purvciems", "marupe"]
zone = "marupe"
kinds = ["fast-4core"]
[fleet]
listen = %q
seeds = [%s]
most = %d
[[class]]
name = "stop-update"
effect = "keyed"
group = "all"
window = "10s"
aim = "600ms"
deadline = "2s"
worth = 5.0
[[class]]
name = "route-assign"
effect = "once"
aim = "800ms"
deadline = "3s"
worth = 8.0
`

// playTold plays thirty-two agents of a fleet whose lists are asked for. Discovery's process dies, and is back 20 s later with a list in
// which one backend drains. That counts as told 6 s after the return; 0.55 s later no request may begin at that backend.
func playTold(r *run) error {
	const agents, outage = 32, 20 * time.Second
	const toldAfter, grace = 6 * time.Second, 550 * time.Millisecond
	var forbiddenFrom atomic.Int64 // nanoseconds since the start of the run; 0: not yet
	var toDrained, served atomic.Int32
	handle := func(in received) answer {
		r.note("backend %s runs %s", in.backend.id, in.id)
		served.Add(1)
		if in.backend.id == "s-00" {
			toDrained.Add(1)
			if from, at := time.Duration(forbiddenFrom.Load()), in.at.Sub(r.startedAt); from > 0 && at > from {
				r.breakRule("request %s was sent to the draining backend %s %.2f s after the change counts as told and the grace", in.id, in.backend.id,
					(at - from).Seconds())
			}
		}
		return answer{work: 30 * time.Millisecond, body: "done " + in.id}
	}
	var entries []entry
	for i := range 4 {
		b, err := r.startBackend(fmt.Sprintf("s-%02d", i), zones[i%3], handle)
		if err != nil {
			return err
		}
		entries = append(entries, entry{ID: b.id, Addr: b.addr(), Zone: "marupe", Kind: "fast-4core", State: "ready", Weight: 1})
	}
	d, err := r.startDiscovery(entries)
	if err != nil {
		return err
	}
	var clients, fleet [agents]string
	for i := range agents {
		var errs [2]error
		clients[i], errs[0] = freeAddr(i)
		fleet[i], errs[1] = freeAddr(i)
		if err := errors.Join(errs[:]...); err != nil {
			return err
		}
	}
	for i := range agents {
		name := fmt.Sprintf("n%d", i)
		file, seeds := filepath.Join(r.dir, name+".toml"), ""
		if i > 0 {
			seeds = fmt.Sprintf("%q", fleet[0])
		}
		text := fmt.Sprintf(askedAgentConfig, name, clients[i], d.addr(), fleet[i], seeds, agents)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		p, err := r.start(name, "exec bin/martenbeam agent --config "+file, []string{"TMPDIR=" + r.dir})
		if err != nil {
			return err
		}
		if err := awaitHealthy(p, clients[i]); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range agents {
		running.Go(func() {
			c, err := dial(clients[n])
			for i := 0; err == nil; i++ {
				select {
				case <-stop:
					c.Close()
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("%04x%012x", n, i)
				var closes bool
				if _, err = c.Write([]byte(requestText("route-assign", "state-post", id, fmt.Sprintf("stop%d", i), "x", 3*time.Second))); err == nil {
					_, _, closes, err = c.readAnswer(5 * time.Second)
				}
				if err != nil || closes {
					c.Close()
					c, err = dial(clients[n])
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	before := toDrained.Load()
	if r.trouble {
		d.stop()
		r.note("discovery is down")
	}
	d.change(func(entries []entry) { entries[0].State = "draining" })
	if r.trouble {
		time.Sleep(outage)
		if err := d.restart(); err != nil {
			return err
		}
		r.note("discovery is back")
	}
	forbiddenFrom.Store(int64(time.Since(r.startedAt) + toldAfter + grace))
	time.Sleep(toldAfter + grace + 12*time.Second)
	close(stop)
	running.Wait()
	if before < 20 || served.Load() < 500 {
		return fmt.Errorf("%d requests were served, %d at the backend that drains", served.Load(), before)
	}
	return nil
}
