package lab

// The process of an agent.

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"martenbeam/internal/lab/faultinject"
	"martenbeam/internal/lab/rng"
)

// agent is the process of an agent, with the clients that use it.
type agent struct {
	process
	number               int
	listenAddr, peerAddr string
	relay                *net.UDPConn // receives the datagrams that other agents send to it

	// Guarded by Lab.mu.
	requests     map[string]*clientRequest
	openRequests int // client requests that have no final answer yet

	// Used only by runArrivals.
	rate                         float64
	arrivalRandom, requestRandom *rand.Rand
	keys                         *rng.Zipf
	nextIndex                    int

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
}

func newAgent(l *Lab, n int) *agent {
	name := "n" + strconv.Itoa(n)
	ip := l.block.agentAddr(n)
	a := &agent{number: n, requests: map[string]*clientRequest{}, listenAddr: net.JoinHostPort(ip, strconv.Itoa(clientPort)), peerAddr: net.JoinHostPort(ip, strconv.Itoa(peerPort))}
	a.process = process{lab: l, role: a, kind: "agent", name: name, dir: filepath.Join(l.Dir, name), readyAt: -1}
	a.faultControl.Path = filepath.Join(a.dir, "INJECT.json")
	return a
}

func (a *agent) onReady(now time.Duration) { a.lab.check.Running(a.number, now) }

func (a *agent) onKilled(now time.Duration) { a.lab.check.Down(a.number, now) }

func (a *agent) onPaused(from, to time.Duration) { a.lab.check.Excuse(a.number, from, to) }

func (a *agent) onExit(now time.Duration) {
	a.lab.processEnds = append(a.lab.processEnds, processEnd{now, a.number})
}

// Addr returns the address at which clients connect to agent n.
func (l *Lab) Addr(n int) string { return l.agents[n].listenAddr }

// start writes the configuration and starts the process. Without keep, it first deletes the agent's temporary directory. Lab.mu
// is held.
func (a *agent) start(now time.Duration, keep bool) error {
	l := a.lab
	a.starts++
	tmp := filepath.Join(a.dir, "tmp")
	if !keep {
		if err := os.RemoveAll(tmp); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return err
	}
	l.check.ForgetEndpoints(a.number)
	config, err := l.agentConfig(a, l.discovery.cachedList(a, now))
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.configFile(), config, 0o644); err != nil {
		return err
	}
	return a.launch(l.Agent, append([]string{"TMPDIR=" + tmp, "PROXY_CONFIG=" + a.configFile(), "PROXY_NAME=" + a.name, "PROXY_LISTEN=" + a.listenAddr,
		"PROXY_DISCOVERY=" + l.discovery.addr(a.number), faultinject.ControlVariable + "=" + a.faultControl.Path}, l.Env...))
}

func (a *agent) configFile() string { return filepath.Join(a.dir, "config.json") }

func (a *agent) closeSockets() {
	if a.relay != nil {
		a.relay.Close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, c := range a.idle {
		c.Close()
	}
	a.idle = nil
}

// awaitReady waits until the agent accepts clients.
func (a *agent) awaitReady(ctx context.Context, ended <-chan struct{}) error {
	return awaitOK(ctx, ended, "http://"+a.listenAddr+"/_health")
}

func (l *Lab) agentProcesses() (list []*process) {
	for _, a := range l.agents {
		list = append(list, &a.process)
	}
	return list
}
