// Package latency measures round trips between sites from inside the fleet, and makes a matrix of what all of them
// measured that no few false ones can move.
//
// A site is a zone of the list. Of each, a few members observe: chosen by rendezvous, the same at every member, so that
// every pair of sites is measured at a rate that does not grow with the fleet.
package latency

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

const (
	observersPerSite = 5                       // of each site: two false ones are outvoted
	pairRate         = 16.0                    // round trips a second between two sites, from either side
	publishInterval  = time.Second             // a row
	sampleWindow     = 1500 * time.Millisecond // for which a round trip counts
	probeTimeout     = 700 * time.Millisecond  // an ask without an answer by then is lost
	maxDwell         = 20 * time.Millisecond   // a far side that took longer was busy: it tells nothing of the way
	medianQuantile   = 0.5                     // the quantile that stands for a pair: of three, one that asked a false member is left out
	jitterQuantile   = 0.75
	maxPending       = 1024 // asks out at once
)

// Config is what a Prober needs.
type Config struct {
	Name, Site, Label string
	View              func() *member.View
	Send              func(data []byte, to netip.AddrPort) (time.Time, error)
	Store             *gossip.Store
}

// Prober asks others for round trips, answers them, and tells what it measured.
type Prober struct {
	cfg       Config
	labelHash uint64

	mu        sync.Mutex
	pending   map[uint64]pendingProbe
	samples   map[string][]sample // by site, oldest first
	malformed int                 // datagrams that made no sense
	sent      int

	planView      *member.View // what the plan follows from; of Run alone, as the plan is
	sites         []member.Members
	probeInterval time.Duration
}

type pendingProbe struct {
	site   string
	to     netip.AddrPort
	sentAt time.Time
}

type sample struct {
	sentAt time.Time // when it was asked
	rtt    time.Duration
	lost   bool
}

// New returns a prober that is to Run.
func New(cfg Config) *Prober {
	return &Prober{cfg: cfg, labelHash: xxhash.Sum64String(cfg.Label), pending: map[uint64]pendingProbe{}, samples: map[string][]sample{}}
}

// HandleDatagram takes a datagram on the task that read it, and answers an ask at once.
func (p *Prober) HandleDatagram(data []byte, from netip.AddrPort, receivedAt time.Time) {
	d, err := decodeDatagram(data)
	if err != nil || d.label != p.labelHash {
		p.mu.Lock()
		p.malformed++
		p.mu.Unlock()
		return
	}
	if d.kind == probeRequest {
		d.kind = probeReply
		d.dwell = uint32(min(time.Since(receivedAt).Microseconds(), 1<<32-1))
		_, _ = p.cfg.Send(d.encode(member.ProbeByte), from) // lost, as on any way
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	probe, ok := p.pending[d.nonce]
	if !ok || probe.to != from {
		p.malformed++ // too late, or made up
		return
	}
	delete(p.pending, d.nonce)
	dwell := time.Duration(d.dwell) * time.Microsecond
	if rtt := receivedAt.Sub(probe.sentAt); dwell <= maxDwell && 2*dwell < rtt { // who claims most of it was busy, or makes the way short
		p.samples[probe.site] = append(p.samples[probe.site], sample{probe.sentAt, rtt - dwell, false})
	}
}

// Run asks and tells until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for turn := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-publish.C:
			p.publishRow()
		case <-next.C:
			sites, interval := p.plan()
			if len(sites) > 0 {
				p.sendProbe(sites[turn%len(sites)])
				turn++
			}
			next.Reset(time.Duration((0.5 + rand.Float64()) * float64(interval))) // no lockstep
		}
	}
}

// plan says whom of which site to ask, and how long to wait between two asks. Who does not observe waits. It is made anew
// where who is there has changed.
func (p *Prober) plan() ([]member.Members, time.Duration) {
	view := p.cfg.View()
	if view == p.planView {
		return p.sites, p.probeInterval
	}
	p.planView, p.sites, p.probeInterval = view, nil, time.Second
	observers := Observers(p.cfg.Site, view)
	if !slices.Contains(observers, p.cfg.Name) {
		return p.sites, p.probeInterval
	}
	for site, members := range view.Sites() {
		if site == p.cfg.Site {
			members = members.Without(p.cfg.Name)
		}
		if site != "" && members.Len() > 0 {
			p.sites = append(p.sites, members)
		}
	}
	// Either side of a pair asks at half its rate, its observers in turn.
	probesPerSecond := pairRate / 2 / float64(len(observers)) * float64(max(1, len(p.sites)))
	p.probeInterval = time.Duration(float64(time.Second) / probesPerSecond)
	return p.sites, p.probeInterval
}

// Observers are the members of a site that measure, of those that are there.
func Observers(site string, view *member.View) (names []string) {
	for m := range view.InSite(site).All() {
		names = append(names, m.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(member.RendezvousScore(site, a), member.RendezvousScore(site, b))
	})
	return names[:min(len(names), observersPerSite)]
}

func (p *Prober) sendProbe(others member.Members) {
	m := others.At(rand.IntN(others.Len()))
	d := datagram{kind: probeRequest, label: p.labelHash, nonce: rand.Uint64()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	if len(p.pending) >= maxPending {
		return
	}
	// Under the lock: the answer may be here before the write returns.
	sentAt, err := p.cfg.Send(d.encode(member.ProbeByte), m.Addr)
	if err != nil {
		sentAt = time.Now() // it counts as lost
	}
	p.sent++
	p.pending[d.nonce] = pendingProbe{m.Site, m.Addr, sentAt}
}

// expire takes what was not answered as lost, and forgets what no longer counts. The lock is held.
func (p *Prober) expire(now time.Time) {
	for nonce, probe := range p.pending {
		if now.Sub(probe.sentAt) > probeTimeout {
			delete(p.pending, nonce)
			p.samples[probe.site] = append(p.samples[probe.site], sample{probe.sentAt, 0, true})
		}
	}
	for site, list := range p.samples {
		list = slices.DeleteFunc(list, func(s sample) bool { return now.Sub(s.sentAt) > sampleWindow })
		if len(list) == 0 {
			delete(p.samples, site)
		} else {
			p.samples[site] = list
		}
	}
}

// publishRow tells what was measured of late, if anything was.
func (p *Prober) publishRow() {
	p.mu.Lock()
	p.expire(time.Now())
	var r row
	for site, list := range p.samples {
		var rtts []time.Duration
		for _, s := range list {
			if !s.lost {
				rtts = append(rtts, s.rtt)
			}
		}
		e := rowEntry{Site: site, LossPercent: uint8(100 * (len(list) - len(rtts)) / len(list)), Count: uint16(min(len(rtts), 1<<16-1))}
		if slices.Sort(rtts); len(rtts) > 0 {
			low, high := quantile(rtts, medianQuantile), quantile(rtts, jitterQuantile)
			e.RTTMicros, e.JitterMicros = uint32(max(1, low.Microseconds())), uint32((high - low).Microseconds())
		}
		r.Entries = append(r.Entries, e)
	}
	p.mu.Unlock()
	if len(r.Entries) == 0 {
		return
	}
	slices.SortFunc(r.Entries, func(a, b rowEntry) int {
		if a.Site < b.Site {
			return -1
		}
		return 1
	})
	body, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // it holds numbers and names alone
	}
	p.cfg.Store.Publish(gossip.LatencyRow, p.cfg.Site, body)
}

// quantile is rounded down: of two the lower.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}
