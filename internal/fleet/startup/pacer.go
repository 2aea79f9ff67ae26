// Package startup limits the rate at which processes that start at the same time call the list service.
//
// No process assigns turns. Each process draws a random position in a time window whose length is the number of starting
// processes divided by the estimated rate that the service sustains. Processes that called the service publish that rate by
// gossip (gossip.ListServiceLoad), and lower it when calls fail or are slow. Without gossip a process applies the same rule
// to its own observations.
//
// Each process owns one Pacer, whose lock protects its state; the package starts no goroutines. Published loads are used up
// to the age bound of gossip.ListServiceLoad.
package startup

// This file determines when a process may call the list service.

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
	minStartDelay       = 300 * time.Millisecond // a process waits this long after its start before it calls the service, so that other members can join first
	checkInterval       = 50 * time.Millisecond  // between two checks of the published loads while a process awaits its turn
	isolatedWindow      = time.Second            // shortest window while no other member has joined
	maxWindow           = 10 * time.Second       // longest window
	slowResponse        = 500 * time.Millisecond // a longer delay until the first byte shows that the service is overloaded
	rateIncrease        = 1.25                   // factor on the rate after a fast response
	failureDecrease     = 0.5                    // factor on the rate after a failed call
	slowDecrease        = 0.9                    // factor on the rate after a slow response
	minRate             = 0.5                    // calls per second
	maxRate             = 1000.0                 // calls per second
	failurePauseWindows = 2.0                    // a failure pauses all processes for this many times 1/rate
	subject             = "lists"                // see Subject
	maxDoublings        = 5                      // of the window, one for each consecutive failure
	republishInterval   = 3 * time.Second        // after which a load is published again even if nothing has changed
)

// Config configures a Pacer.
type Config struct {
	Rate     float64       // calls per second that the service is assumed to sustain at first, from all processes together
	HasPeers func() bool   // whether another member has joined since the start
	Store    *gossip.Store // nil: no loads are exchanged
}

// Pacer determines when this process may call the list service. Its methods may be called from any goroutine.
type Pacer struct {
	cfg       Config
	startedAt time.Time

	mu                  sync.Mutex // protects all below
	consecutiveFailures int
	rate                float64     // calls per second, as estimated by this process
	published           serviceLoad // the load that was published last
	publishedAt         time.Time
}

// New returns a pacer for a process that starts now.
func New(cfg Config) *Pacer { return &Pacer{cfg: cfg, startedAt: time.Now(), rate: cfg.Rate} }

// serviceState returns the current state of the service: the sustainable rate, as the median of the published loads or else
// this process's own estimate; how long ago a call last failed, or -1; and the highest published list version.
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

// LatestVersion returns the highest list version among the published loads, or 0.
func (p *Pacer) LatestVersion() int64 { _, _, v := p.serviceState(); return v }

// window returns the time over which the turns of the given number of processes are spread, at a rate in calls per second.
func (p *Pacer) window(processes int, rate float64) time.Duration {
	p.mu.Lock()
	backoff := math.Exp2(float64(min(p.consecutiveFailures, maxDoublings)))
	p.mu.Unlock()
	window := time.Duration(float64(processes) / rate * backoff * float64(time.Second))
	if !p.cfg.HasPeers() {
		window = max(window, time.Duration(float64(isolatedWindow)*backoff))
	}
	return min(window, maxWindow)
}

// AwaitTurn waits for this process's turn among the starting processes, which countStarting counts, this one included. It
// reports false if ctx ends first. While it waits it checks the published loads: if more processes start or the rate falls,
// the turn is postponed in proportion, and a recent failure pauses every process.
func (p *Pacer) AwaitTurn(ctx context.Context, countStarting func() int) bool {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	windowStart, position := time.Now(), rand.Float64() // full jitter: the relative position stays when the window changes
	processes := 1
	for {
		// The count never falls: if each process that had its turn shortened the window, the others would all call at once.
		processes = max(processes, countStarting())
		rate, lastFailure, _ := p.serviceState()
		now := time.Now()
		due := windowStart.Add(time.Duration(position * float64(p.window(processes, rate))))
		if earliest := p.startedAt.Add(minStartDelay); due.Before(earliest) {
			due = earliest.Add(time.Duration(position * float64(checkInterval)))
		}
		pause := time.Duration(failurePauseWindows / rate * float64(time.Second))
		if !now.Before(due) && (lastFailure < 0 || lastFailure > pause) {
			return true
		}
		if lastFailure >= 0 && lastFailure <= pause && !now.Before(due) { // the turn came during the pause: start the window again
			windowStart = now
		}
		select {
		case <-ctx.Done():
			return false
		case <-check.C:
		}
	}
}

// RecordAttempt records the result of a call: the delay until the first byte of the response, or that the call failed, and
// the list version in the response. It publishes the load after a failed or slow call, when the version has changed, and
// after republishInterval.
func (p *Pacer) RecordAttempt(delay time.Duration, failed bool, version int64) {
	rate, _, _ := p.serviceState()
	p.mu.Lock()
	switch {
	case failed:
		p.consecutiveFailures++
		rate *= failureDecrease
	case delay > slowResponse:
		p.consecutiveFailures = 0
		rate *= slowDecrease
	default:
		p.consecutiveFailures = 0
		rate *= rateIncrease
	}
	p.rate = min(max(rate, minRate), maxRate)
	load := serviceLoad{Rate: p.rate, Failed: failed, Version: version}
	// While the service is healthy, an unchanged load from every process would add no information.
	shouldPublish := failed || delay > slowResponse || version != p.published.Version ||
		time.Since(p.publishedAt) > republishInterval
	if shouldPublish {
		p.published, p.publishedAt = load, time.Now()
	}
	p.mu.Unlock()
	if p.cfg.Store == nil || !shouldPublish {
		return
	}
	body, err := cbor.Marshal(load)
	if err != nil {
		panic(err) // a load consists of numbers and a bool, which always encode
	}
	p.cfg.Store.Publish(gossip.ListServiceLoad, subject, body)
}
