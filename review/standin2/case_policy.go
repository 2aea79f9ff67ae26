package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["policy"] = playPolicy }

// policyText is a residency policy under which state-post may be served in the given regions.
func policyText(version int, regions string) string {
	return fmt.Sprintf(`version = %d
when_stale = "serve"
[regions]
riga = ["riga-ziepniekkalns", "riga-purvciems"]
pieriga = ["marupe"]
[others]
permitted = ["*"]
[tenant.state-post]
permitted = [%s]
`, version, regions)
}

// fleetAgentConfig is the file of an agent of the product's own command. Its arguments are the name, the addresses for clients, of
// discovery and of the fleet, the seeds, the operators' policy file and the state folder.
const fleetAgentConfig = `name = %q
listen = %q
discovery = %q
zones = ["riga-ziepniekkalns", "riga-purvciems", "marupe"]
zone = "marupe"
kinds = ["fast-4core"]
[fleet]
listen = %q
seeds = [%s]
most = 2
[residency]
on = true
policy = %q
bound = "10s"
state = %q
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

// writeByRename replaces a file as the pages ask of operators.
func writeByRename(file, text string) error {
	return errors.Join(os.WriteFile(file+".tmp", []byte(text), 0o600), os.Rename(file+".tmp", file))
}

// playPolicy plays two agents that share a residency policy: n0 is its source, n1 keeps it in a state folder. Version 1 permits
// state-post all zones, version 2 those of Riga alone. While version 2 arrives, the state folder of n1 has no space; then it has space
// again. 5 s later n1 is killed and started again. A request of state-post that n1 gets after it has obeyed version 2 must not be sent
// to marupe.
func playPolicy(r *run) error {
	var mu sync.Mutex
	tightened := false
	ranIn := map[string]int{} // requests of state-post since the tightening, by zone
	handle := func(in received) answer {
		mu.Lock()
		defer mu.Unlock()
		if tenant := in.header.Get("X-Customer"); tenant == "state-post" {
			r.note("backend %s in %s runs %s of %s", in.backend.id, in.backend.zone, in.id, tenant)
			if tightened {
				ranIn[in.backend.zone]++
				if in.backend.zone == "marupe" {
					r.breakRule("request %s of state-post was sent to %s in marupe under version 2, which permits Riga alone", in.id, in.backend.id)
				}
			}
		}
		return answer{work: 20 * time.Millisecond, body: "done " + in.id}
	}
	var entries []entry
	for i := range 6 {
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
	var addrs [4]string // of n0 and n1: for clients, and of the fleet
	for i := range addrs {
		if addrs[i], err = freeAddr(i / 2); err != nil {
			return err
		}
	}
	policyFile, state := filepath.Join(r.dir, "policy.toml"), filepath.Join(r.dir, "state")
	if err := errors.Join(writeByRename(policyFile, policyText(1, `"riga", "pieriga"`)), os.Mkdir(state, 0o700)); err != nil {
		return err
	}
	startAgent := func(n int, policy, state, seeds string) (*process, error) {
		name := fmt.Sprintf("n%d", n)
		file := filepath.Join(r.dir, name+".toml")
		text := fmt.Sprintf(fleetAgentConfig, name, addrs[2*n], d.addr(), addrs[2*n+1], seeds, policy, state)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		p, err := r.start(name, "exec bin/martenbeam agent --config "+file, []string{"TMPDIR=" + r.dir})
		if err != nil {
			return nil, err
		}
		return p, awaitHealthy(p, addrs[2*n])
	}
	if _, err := startAgent(0, policyFile, "", ""); err != nil {
		return err
	}
	n1, err := startAgent(1, "", state, fmt.Sprintf("%q", addrs[1]))
	if err != nil {
		return err
	}
	sent := 0
	// send sends requests of state-post to n1 for some time, and returns how many were served.
	send := func(span time.Duration) (served int, err error) {
		c, err := dial(addrs[2])
		if err != nil {
			return 0, err
		}
		defer func() { c.Close() }()
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			sent++
			id := fmt.Sprintf("%016x", sent)
			if _, err := c.Write([]byte(requestText("route-assign", "state-post", id, "stop1", "x", 3*time.Second))); err != nil {
				return served, err
			}
			status, body, closes, err := c.readAnswer(5 * time.Second)
			r.note("client got %d %q for %s (error %v)", status, body, id, err)
			if status == 200 {
				served++
			}
			if closes {
				c.Close()
				if c, err = dial(addrs[2]); err != nil {
					return served, err
				}
			}
		}
		return served, nil
	}
	time.Sleep(2 * time.Second) // n1 gets version 1
	if served, err := send(time.Second); err != nil || served == 0 {
		return fmt.Errorf("%d requests were served under version 1, error %w", served, err)
	}
	pending := filepath.Join(state, "policy.json.new") // the file that the agent writes before it renames it
	if r.trouble {
		if err := os.Symlink("/dev/full", pending); err != nil {
			return err
		}
		r.note("the state folder of n1 has no space")
	}
	if err := writeByRename(policyFile, policyText(2, `"riga"`)); err != nil {
		return err
	}
	r.note("version 2 is given to n0")
	time.Sleep(5 * time.Second)
	if r.trouble {
		if err := os.Remove(pending); err != nil {
			return err
		}
		r.note("the state folder of n1 has space again")
	}
	mu.Lock()
	tightened = true
	mu.Unlock()
	if served, err := send(5 * time.Second); err != nil || served == 0 {
		return fmt.Errorf("%d requests were served under version 2, error %w", served, err)
	}
	mu.Lock()
	obeyed := ranIn["marupe"] == 0
	mu.Unlock()
	if !obeyed {
		return errors.New("n1 did not obey version 2 before its restart")
	}
	r.note("n1 has obeyed version 2 for 5 s")
	n1.kill()
	if _, err = startAgent(1, "", state, fmt.Sprintf("%q", addrs[1])); err != nil {
		return err
	}
	served, err := send(5 * time.Second)
	if err != nil || served == 0 {
		return fmt.Errorf("%d requests were served after the restart, error %w", served, err)
	}
	mu.Lock()
	defer mu.Unlock()
	r.note("requests of state-post since the tightening, by zone: %v", ranIn)
	return nil
}
