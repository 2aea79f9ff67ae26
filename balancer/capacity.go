package balancer

// Capacity totals: the usable backends and their outstanding attempts, updated in each step. Nothing is decided here.

// capacityTotals are the usable backends and the attempts outstanding there. In a large fleet most backends are warm,
// up and in use from one step to the next. These are stable and counted once, by zone; each step counts only the
// others again.
type capacityTotals struct {
	inFlight             int             // attempts that occupy a backend
	up                   int             // backends in state Up
	capacity             float64         // number of usable backends, weighted by warmth and by their zone's share of traffic
	warmCapacity         float64         // part of capacity that is at warm backends
	warmOutstanding      int             // attempts outstanding at warm backends
	uncountedOutstanding int             // attempts outstanding at backends that don't count in capacity
	unstable             []*backendState // backends that each step counts again, in the order in which they became unstable
}

// reset sets the totals that each step computes to 0. It keeps inFlight and unstable.
func (t *capacityTotals) reset() {
	t.up, t.capacity, t.uncountedOutstanding, t.warmCapacity, t.warmOutstanding = 0, 0, 0, 0, 0
}

// addCapacity adds a number of backends of equal warmth, with their outstanding attempts, in a zone that gets the given
// share of its usual traffic. A share of 0 also stands for backends that get no ordinary traffic. warm is true for
// backends that are not in slow start.
func (t *capacityTotals) addCapacity(backends, outstanding int, warmth, share float64, warm bool) {
	if share == 0 {
		t.uncountedOutstanding += outstanding
		return
	}
	t.capacity += float64(backends) * warmth * share
	if warm {
		t.warmCapacity += float64(backends) * share
		t.warmOutstanding += outstanding
	}
}

// inUse returns the number of attempts that count against the concurrency limit: the attempts at backends that
// count in capacity.
func (t *capacityTotals) inUse() int { return t.inFlight - t.uncountedOutstanding }

// stableTotals counts the stable backends of one zone and their attempts.
type stableTotals struct {
	stableBackends    int // backends that steps don't count again
	stableOutstanding int // attempts outstanding at these backends
}

// addStable adds backends with their outstanding attempts; negative numbers subtract.
func (t *stableTotals) addStable(backends, outstanding int) {
	t.stableBackends += backends
	t.stableOutstanding += outstanding
}

// recomputeCapacity updates the capacity totals and the number of backends that are up in each zone. Ejected and dead
// backends are up but have no capacity.
func (b *Balancer) recomputeCapacity() {
	b.capacityTotals.reset()
	b.allZonesOpen = true
	for _, z := range b.zones {
		share := b.trafficShare(z)
		z.up = z.stableBackends
		b.allZonesOpen = b.allZonesOpen && share == 1
		b.up += z.stableBackends
		b.addCapacity(z.stableBackends, z.stableOutstanding, 1, share, true)
	}
	unstable := b.unstable[:0]
	for _, backend := range b.unstable {
		if !b.countUnstable(backend) {
			unstable = append(unstable, backend)
		}
	}
	clear(b.unstable[len(unstable):])
	b.unstable = unstable
	b.throughput.track(b.now, b.up)
}

// countUnstable adds an unstable backend to the totals, and reports whether the backend is stable from now on.
func (b *Balancer) countUnstable(backend *backendState) (stable bool) {
	warmth, z := b.warmth(backend), b.zone(backend)
	used := backend.State == Up && backend.usable(b.now)
	if backend.State == Up {
		b.up++
		z.up++
	}
	share := 0.0
	if used {
		share = b.trafficShare(z)
	}
	b.addCapacity(1, len(backend.outstanding), warmth, share, !backend.warmingUp)
	if !used || backend.warmingUp {
		return false
	}
	backend.stable = true
	z.addStable(1, len(backend.outstanding))
	return true
}

// markUnstable makes each step count a backend again. Call it before the state or zone of the backend changes.
func (b *Balancer) markUnstable(backend *backendState) {
	if !backend.stable {
		return
	}
	backend.stable = false
	b.zone(backend).addStable(-1, -len(backend.outstanding))
	b.unstable = append(b.unstable, backend)
}

// setOutstanding adds an attempt to the outstanding ones of its backend, or removes it.
func (b *Balancer) setOutstanding(a *attempt, add bool) {
	backend, delta := a.backend, 1
	if a.occupying = add; add {
		backend.outstanding = append(backend.outstanding, a)
	} else {
		backend.outstanding = removeElement(backend.outstanding, a)
		delta = -1
	}
	b.inFlight += delta
	if backend.stable {
		b.zone(backend).addStable(0, delta)
	}
}
