package balancer

// Endpoint updates: when the agent polls for them, and how they change the list of backends.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// endpointPoll schedules this agent's polls, jittered so that agents don't poll all at once.
type endpointPoll struct {
	interval time.Duration // longest time between polls, from the settings
	failures int           // consecutive failures
	timer    int64         // token of the timer of the next poll; 0: none
}

// startDelay returns the wait before the first poll: jittered, since all agents may start at once. draw is a random
// number in [0, 1).
func (p *endpointPoll) startDelay(draw float64) time.Duration {
	return time.Duration(draw * float64(p.interval) / 64)
}

// retryDelay counts a failure and returns the wait before the next poll: exponential backoff with full jitter.
func (p *endpointPoll) retryDelay(draw float64) time.Duration {
	p.failures++
	unit := float64(p.interval) / 64
	return time.Duration(draw * unit * math.Exp2(float64(min(p.failures, 4))))
}

// schedule sets the token of the timer of the next poll.
func (p *endpointPoll) schedule(token int64) { p.timer = token }

// timerFired reports whether a token is that of the poll timer. If so, timerFired clears the timer.
func (p *endpointPoll) timerFired(token int64) bool {
	if token != p.timer {
		return false
	}
	p.timer = 0
	return true
}

// succeed resets the backoff after a successful poll.
func (p *endpointPoll) succeed() { p.failures = 0 }

// onEndpointUpdate applies an endpoint update, or polls again after a failure. A cached list is followed by a poll.
func (b *Balancer) onEndpointUpdate(event EndpointUpdate) {
	switch {
	case event.Kind == UpdateFailed && b.settings.Subscribe:
		b.poll.schedule(b.setTimer(b.poll.retryDelay(b.rng.Float64())))
		return
	case event.Kind == UpdateFailed:
		return
	case event.Kind == UpdateCached && b.settings.Subscribe:
		b.poll.schedule(b.setTimer(b.poll.startDelay(b.rng.Float64())))
	default:
		b.poll.succeed()
	}
	b.mergeEndpoints(event)
}

// mergeEndpoints applies an endpoint update to the records of backends: it adds, updates and removes them.
func (b *Balancer) mergeEndpoints(update EndpointUpdate) {
	listed := map[string]bool{}
	for _, entry := range b.overrides.apply(update.Backends, b.now, b.settings.SlowStartWindow) {
		listed[entry.ID] = true
		backend := b.byID[entry.ID]
		if backend == nil {
			backend = &backendState{Backend: entry, gossipKey: gossipKey(entry.ID),
				subsetRank: gossipKey(fmt.Sprint(entry.ID, b.settings.Self))}
			backend.resetLatency()
			b.byID[entry.ID], b.byGossipKey[backend.gossipKey] = backend, backend
			b.backends, b.unstable = append(b.backends, backend), append(b.unstable, backend)
			if entry.Started > 0 {
				b.beginSlowStart(backend, entry.Started)
			}
			continue
		}
		b.markUnstable(backend)
		if entry.Started > backend.Started {
			b.beginSlowStart(backend, max(entry.Started, backend.slowStartAt))
			backend.resetForRestart()
		}
		backend.Backend = entry
	}
	slices.SortStableFunc(b.backends, func(x, y *backendState) int { return cmp.Compare(x.subsetRank, y.subsetRank) })
	// The record of a removed backend stays only while attempts are outstanding there. Otherwise the records would
	// grow with each replacement of the fleet.
	b.backends = slices.DeleteFunc(b.backends, func(backend *backendState) bool {
		if update.Kind != UpdateDelta && !listed[backend.ID] {
			b.markUnstable(backend)
			backend.State = Removed
		}
		remove := backend.State == Removed && len(backend.outstanding) == 0
		if remove {
			delete(b.byID, backend.ID)
			delete(b.byGossipKey, backend.gossipKey)
		}
		return remove
	})
	b.unstable = slices.DeleteFunc(b.unstable, func(backend *backendState) bool { return b.byID[backend.ID] != backend })
}
