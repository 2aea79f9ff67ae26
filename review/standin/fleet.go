package main

// A small deployment: backends and agents as processes of their own, and discovery.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes the case's record.
type recorder struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// fleet holds the processes of a case.
type fleet struct {
	record *recorder
	dir    string

	mu    sync.Mutex
	procs []*process
}

// process is a started process.
type process struct {
	name string
	cmd  *exec.Cmd
	addr string // where it listens
	log  *os.File
	done chan struct{} // closed when it has ended
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // fails if the process has ended

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// newFleet creates the folder for configurations and logs.
func newFleet(record *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	return &fleet{record: record, dir: dir}, err
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		if p.log != nil {
			p.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept:", f.dir)
	}
}

func (f *fleet) add(p *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs = append(f.procs, p)
}

// start starts a process that is killed when this one ends.
func (f *fleet) start(name string, cmd *exec.Cmd) (*process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	f.add(p)
	go func() {
		err := cmd.Wait()
		f.record.printf("process %s ended: %v", name, err)
		close(p.done)
	}()
	return p, nil
}

// startBackends starts n backends that differ in their names.
func (f *fleet) startBackends(n int, config backendConfig) (backends []*process, err error) {
	for i := range n {
		config.Name = fmt.Sprintf("b%d", i+1)
		b, err := f.startBackend(config)
		if err != nil {
			return nil, err
		}
		backends = append(backends, b)
	}
	return backends, nil
}

// startBackend starts a backend and records what it runs.
func (f *fleet) startBackend(config backendConfig) (*process, error) {
	name := config.Name
	encoded, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "backend", string(encoded))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	f.add(p)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		_ = cmd.Wait()
		close(p.done)
		return nil, fmt.Errorf("backend %s printed no address", name)
	}
	p.addr = strings.TrimPrefix(lines.Text(), "LISTEN ")
	go func() {
		for lines.Scan() {
			f.record.printf("%s: %s", name, lines.Text())
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// freeAddrs returns n loopback addresses that are free for TCP and UDP now.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// entries returns the list of the backends as discovery has it.
func entries(backends []*process) (servers []server) {
	zones := zoneNames()
	for i, b := range backends {
		servers = append(servers, server{ID: "s-" + b.name, Addr: b.addr, Zone: zones[i%len(zones)], Kind: "std-4core",
			Cell: i / 6, State: "ready", Weight: 1})
	}
	return servers
}

// firstEnded returns an error if one of the processes has ended.
func firstEnded(processes []*process) error {
	for _, p := range processes {
		if p.ended() {
			return fmt.Errorf("%s ended", p.name)
		}
	}
	return nil
}

func zoneNames() []string { return []string{"riga-ziepniekkalns", "riga-purvciems", "marupe"} }

// settings returns the example of the wire page, with the number of agents and this agent's number.
func settings(agents, me int) map[string]any {
	return map[string]any{
		"Balancers":  agents,
		"Clients":    map[string]any{"MarksRetry": true},
		"Contract":   map[string]any{"AskWithinMs": 10000.0, "ColdFrom": 0.12, "DrainGraceMs": 500.0, "FallMs": 2000.0, "FallMultiple": 3.0, "GraceToAnswerMs": 20.0, "RampTimeMs": 24000.0},
		"CountedBy":  "request",
		"Dcs":        zoneNames(),
		"FamilyInfo": map[string]any{"WarmKeys": true},
		"Goal":       map[string]any{"Whole": 0.5, "WorstClass": 0.1, "WorstTenant": 0.1, "WorstWindow": 0.3}, "KindOfService": "mesh",
		"Kinds": []string{"fast-4core", "std-4core"}, "Me": me, "MembershipMode": "automatic", "OverShareWorth": 0.2,
		"PolicyLimits": map[string]any{"Cancel": true, "ConnectTimeoutMs": 250.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 9982, "IdleCloseMs": 30000.0, "MaxOpen": 24956, "MaxRetryAfterMs": 2000.0, "MayProbe": true, "Peers": agents > 1, "RetryAfter": true, "SecondCopies": true, "StreamsPerConn": 1, "TryLimit": 5},
		"Prices":       map[string]any{"Connection": 0.023, "CrossZone": 0.03, "Handshake": 0.0, "LateFail": 0.08, "MembershipMode": 0.0, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0073, "Probe": 0.004, "Waste": 0.04},
		"Profiles": []any{
			map[string]any{"AimMs": 600.0, "DeadlineMs": 2000.0, "Group": "cell", "LateValue": 0.0, "Name": "stop-update", "Semantics": "by_key", "Stream": false, "WindowMs": 10000.0, "Worth": 5.0},
			map[string]any{"AimMs": 800.0, "DeadlineMs": 3000.0, "Group": "all", "LateValue": 0.0, "Name": "route-assign", "Semantics": "once", "Stream": false, "WindowMs": 5000.0, "Worth": 8.0}},
		"Report":  map[string]any{"Fields": []string{"outstanding", "utilization", "recent_ms"}, "Source": "on_probe"},
		"Tenants": []any{map[string]any{"Name": "state-post", "Portion": 0.52, "QuotaPerS": 181.0}, map[string]any{"Name": "city-couriers", "Portion": 0.48, "QuotaPerS": 167.0}},
		"TickMs":  5.0, "Tier": 0, "Tiers": []string{"dispatch-servers"}, "Weights": "rough", "Zone": me % 3}
}

// startAgents starts n agents, with the run command of the deploy file and the given limits, and waits until each is ready.
func (f *fleet) startAgents(n, memoryMB, sockets int, list []server) ([]*process, error) {
	discovery, err := startDiscovery(list)
	if err != nil {
		return nil, err
	}
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	addrs, err := freeAddrs(2 * n)
	if err != nil {
		return nil, err
	}
	listen, peers := addrs[:n], addrs[n:]
	var agents []*process
	for i := range n {
		name := fmt.Sprintf("n%d", i+1)
		config, err := json.Marshal(map[string]any{"name": name, "listen": listen[i], "discovery": discovery,
			"seed": randomHex(8), "limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
			"peer_listen": peers[i], "peers": peers, "known": serverList{Version: 41, Full: true, Servers: list}, "settings": settings(n, i)})
		if err != nil {
			return nil, err
		}
		path, tmp := filepath.Join(f.dir, name+".json"), filepath.Join(f.dir, name+".tmp")
		if err := os.WriteFile(path, config, 0o600); err != nil {
			return nil, err
		}
		if err := os.Mkdir(tmp, 0o700); err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(f.dir, name+".log"))
		if err != nil {
			return nil, err
		}
		cmd := exec.Command("/bin/sh", "-c", run)
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_NAME="+name, "PROXY_LISTEN="+listen[i], "PROXY_DISCOVERY="+discovery, "TMPDIR="+tmp)
		cmd.Stdout, cmd.Stderr = log, log
		p, err := f.start(name, cmd)
		if err != nil {
			return nil, err
		}
		p.log, p.addr = log, listen[i]
		agents = append(agents, p)
	}
	for _, a := range agents {
		if err := awaitReady(a.addr); err != nil {
			return nil, err
		}
	}
	return agents, nil
}

// awaitReady waits until an agent's health check says yes.
func awaitReady(addr string) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + addr + "/_health")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("agent at %s is not ready", addr)
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), key+` = "`); ok {
			return strings.TrimSuffix(value, `"`), nil
		}
	}
	return "", fmt.Errorf("deploy file has no command %q", key)
}
