// Package startup has hundreds of processes that start at once ask a list service in turns.
//
// Nobody hands out turns: each draws its own from a window that follows from how many are seen to start and from what
// the service bears, which whoever called tells the others. Without any word from them the same code spares the service
// by a window of its own.
package startup

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

const (
	gatherPeriod        = 300 * time.Millisecond // until others can have been met; nobody calls before
	checkInterval       = 50 * time.Millisecond  // at what others tell, while a turn is waited for
	isolatedWindow      = time.Second            // the window of one who met nobody
	maxWindow           = 10 * time.Second       // of any window
	slowAnswer          = 500 * time.Millisecond // an answer that took longer says that the service is behind
	rateIncrease        = 1.25                   // of the rate, for an answer that came well
	failureDecrease     = 0.5                    // for a call that was refused or failed
	slowDecrease        = 0.9                    // for one that waited
	minRate             = 0.5                    // calls a second
	maxRate             = 1000.0
	failurePauseWindows = 2.0 // windows for which a refusal that others tell of holds back
	subject             = "lists"
	maxDoublings        = 5
	republishInterval   = 3 * time.Second // a rate that was told is not told again so soon unless it changed much
)

// Config is what a Pacer needs.
type Config struct {
	Rate     float64       // calls a second that the service is taken to bear at first, from all
	HasPeers func() bool   // anyone has been met
	Store    *gossip.Store // nil: there are no others
}

// Pacer says when this process may call.
type Pacer struct {
	cfg       Config
	startedAt time.Time

	mu                  sync.Mutex
	consecutiveFailures int
	rate                float64
	publishedAt         time.Time
	published           serviceLoad
}

// New returns the pacer of a process that has just started.
func New(cfg Config) *Pacer { return &Pacer{cfg: cfg, startedAt: time.Now(), rate: cfg.Rate} }

// serviceState is what is known of the service now: the rate that it bears, as the middle of what those who called lately found,
// and when it last refused anyone.
func (p *Pacer) serviceState() (rate float64, lastFailure time.Duration, version int64) {
	p.mu.Lock()
	rate, lastFailure = p.rate, -1
	p.mu.Unlock()
	if p.cfg.Store == nil {
		return rate, lastFailure, 0
	}
	var rates []float64
	for _, entry := range p.cfg.Store.Entries(gossip.ListServiceLoad) {
		load, err := gossip.DecodeBody(entry, decodeLoad)
		if err != nil || !(load.Rate > 0) {
			continue
		}
		rates = append(rates, min(max(load.Rate, minRate), maxRate))
		version = max(version, load.Version)
		if load.Failed && (lastFailure < 0 || entry.Age < lastFailure) {
			lastFailure = entry.Age
		}
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		rate = rates[len(rates)/2]
	}
	return rate, lastFailure, version
}

// LatestVersion is the highest version of the list that anyone has told of lately.
func (p *Pacer) LatestVersion() int64 { _, _, v := p.serviceState(); return v }

// window is the span in which so many have their turns at a rate.
func (p *Pacer) window(starters int, rate float64) time.Duration {
	p.mu.Lock()
	backoff := math.Exp2(float64(min(p.consecutiveFailures, maxDoublings)))
	p.mu.Unlock()
	window := time.Duration(float64(starters) / rate * backoff * float64(time.Second))
	if !p.cfg.HasPeers() {
		window = max(window, time.Duration(float64(isolatedWindow)*backoff))
	}
	return min(window, maxWindow)
}

// AwaitTurn waits for this process's turn among so many that are seen to start, and reports false once ctx ends. What others tell meanwhile counts: where more
// start or the service is behind the turn moves on in step, and a refusal that is news holds everyone back.
func (p *Pacer) AwaitTurn(ctx context.Context, countStarting func() int) bool {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	windowStart, place := time.Now(), rand.Float64() // full jitter: the place in the window, however wide it becomes
	starters := 1
	for {
		// Who has had a turn does not move the others' on: all would come at once.
		starters = max(starters, countStarting())
		rate, lastFailure, _ := p.serviceState()
		now := time.Now()
		due := windowStart.Add(time.Duration(place * float64(p.window(starters, rate))))
		if earliest := p.startedAt.Add(gatherPeriod); due.Before(earliest) {
			due = earliest.Add(time.Duration(place * float64(checkInterval)))
		}
		hold := time.Duration(failurePauseWindows / rate * float64(time.Second))
		if !now.Before(due) && (lastFailure < 0 || lastFailure > hold) {
			return true
		}
		if lastFailure >= 0 && lastFailure <= hold && !now.Before(due) { // behind those who were refused
			windowStart = now
		}
		select {
		case <-ctx.Done():
			return false
		case <-check.C:
		}
	}
}

// RecordAttempt takes how a call went: what it waited for its first byte, or that it failed.
func (p *Pacer) RecordAttempt(waited time.Duration, failed bool, version int64) {
	rate, _, _ := p.serviceState()
	p.mu.Lock()
	switch {
	case failed:
		p.consecutiveFailures++
		rate *= failureDecrease
	case waited > slowAnswer:
		p.consecutiveFailures = 0
		rate *= slowDecrease
	default:
		p.consecutiveFailures = 0
		rate *= rateIncrease
	}
	p.rate = min(max(rate, minRate), maxRate)
	load := serviceLoad{Rate: p.rate, Failed: failed, Version: version}
	// Where all goes well the same words from everyone help nobody.
	worthPublishing := failed || waited > slowAnswer || version != p.published.Version || time.Since(p.publishedAt) > republishInterval
	if worthPublishing {
		p.published, p.publishedAt = load, time.Now()
	}
	p.mu.Unlock()
	if p.cfg.Store == nil || !worthPublishing {
		return
	}
	body, err := cbor.Marshal(load)
	if err != nil {
		panic(err) // it holds numbers alone
	}
	p.cfg.Store.Publish(gossip.ListServiceLoad, subject, body)
}
