package lab

// The setup of a run, without its processes.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"martenbeam/internal/bootclock"
	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/rng"
	"martenbeam/internal/lab/scenario"
)

// New prepares a run: it checks the machine's limit on descriptors, claims a block of addresses and opens the sockets of the lab.
// It starts no process.
func New(o Options) (*Lab, error) {
	s := o.Scenario
	if err := checkDescriptors(s); err != nil {
		return nil, err
	}
	dir, err := filepath.Abs(o.Dir)
	if err != nil {
		return nil, err
	}
	o.Dir = dir
	b, err := claimBlock()
	if err != nil {
		return nil, err
	}
	l := &Lab{Options: o, block: b, rng: rng.New(o.Seed), scheduleChanged: make(chan struct{}, 1), loadFactor: 1,
		lateness: hdrhistogram.New(1, maxLateness, 3), attempts: map[uint64]*attempt{}, servedKeys: map[cellKey]bool{}, startRequests: make(chan func()),
		tally: check.NewTally(s.WarmUp.Duration()), recorder: newRecorder(o.Events)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.network = netfault.New(l.baseLatency, s.Model.Jitter, l.rng)
	if err := l.setUp(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// checkDescriptors returns an error if the scenario needs more file descriptors than the limit.
func checkDescriptors(s *scenario.Scenario) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("reading the limit on descriptors: %w", err)
	}
	hosts := s.Fleet.Backends
	for _, f := range s.Faults {
		if f.Kind == scenario.Replace {
			if set, err := scenario.ParseSet(f.Targets); err == nil {
				hosts += int(set.Share * float64(s.Fleet.Backends))
			}
		}
	}
	// Each agent needs a listener and a connection at each backend, connections of clients, and a few other descriptors.
	perAgent := 2*hosts + 40
	if need := uint64(100 + s.Fleet.Agents*perAgent); need > limit.Max {
		return fmt.Errorf("%d agents and %d backends need about %d file descriptors, but the limit (ulimit -n) is %d, which allows at most %d agents",
			s.Fleet.Agents, hosts, need, limit.Max, max(0, (int(limit.Max)-100)/perAgent))
	}
	return nil
}

// setUp creates everything except the processes of agents and hubs.
func (l *Lab) setUp() error {
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return err
	}
	l.createdAt, l.createdSinceBoot = time.Now(), bootclock.SinceBoot()
	l.addInitialHosts()
	l.scaleClasses()
	l.check = check.New(check.Rules{Classes: l.checkClasses(), DrainGrace: drainGrace, AnswerGrace: answerGrace, Slack: socketSlack,
		AcceptsUnknown: l.AcceptUnknown, MaxClosedNewShare: maxClosedNewShare}, l.recorder.request)
	for n := range l.Scenario.Fleet.Agents {
		l.agents = append(l.agents, newAgent(l, n))
	}
	for n := range l.Scenario.Shared.Hubs {
		l.hubs = append(l.hubs, newHub(l, n))
	}
	if len(l.hubs) > 0 && len(l.Hub) == 0 {
		return errors.New("the scenario has hubs, but no command line for hubs is configured")
	}
	l.distributeLoad()
	if err := l.openNetwork(); err != nil {
		return err
	}
	if err := l.publishInitialPolicy(); err != nil {
		return err
	}
	if err := l.publishInitialSettings(); err != nil {
		return err
	}
	for _, h := range l.hosts {
		if err := h.listen(); err != nil {
			return err
		}
	}
	return nil
}

// openNetwork opens discovery and the links between processes.
func (l *Lab) openNetwork() (err error) {
	if l.discovery, err = newDiscovery(l); err != nil {
		return err
	}
	if err := l.openRelays(); err != nil {
		return err
	}
	if l.Scenario.Shared.Enabled {
		l.fleet, err = newFleetLinks(l)
	}
	return err
}
