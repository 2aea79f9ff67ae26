// Package latency measures round trips between sites from inside the fleet, and combines the measurements of all members into
// a matrix that a few members with false measurements cannot change much.
//
// A site is a zone of the endpoint list. In each site a few members are observers. They are chosen by rendezvous hashing, so
// that all members choose the same ones, and each pair of sites is measured at a rate that does not grow with the fleet.
// An observer publishes a latency row every second: its round trips, jitter and loss to each site in the last 1.5 s.
//
// Each process owns one Prober, whose lock protects the measurements; Run is its only goroutine. Rows are stored in the
// process's gossip.Store with the age bound of gossip.LatencyRow. The caller of NewMatrix owns the Matrix; it is as old as
// the rows it was built from, and has to be rebuilt when one of them expires.
package latency

// This file probes other members, replies to their probes and publishes the latency row.

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
	observersPerSite = 5                       // enough to outvote two with false measurements
	pairRate         = 16.0                    // probes per second between two sites, from both sides together
	publishInterval  = time.Second             // between two latency rows
	sampleWindow     = 1500 * time.Millisecond // age up to which a sample counts
	probeTimeout     = 700 * time.Millisecond  // a probe without a reply by then is lost
	maxDwell         = 20 * time.Millisecond   // a peer that took longer was busy: the sample is not used
	medianQuantile   = 0.5                     // of three samples, one with a false dwell time cannot move the result beyond the other two
	jitterQuantile   = 0.75                    // jitter is the distance from the median to this quantile
	maxPending       = 1024                    // probes without a reply yet
)

// Config configures a Prober.
type Config struct {
	Name, Site, Label string                                                             // of this process; Label is the fleet's
	View              func() *member.View                                                // the current members
	Send              func(data []byte, to netip.AddrPort) (sentAt time.Time, err error) // sends a datagram; must not block
	Store             *gossip.Store                                                      // where the row is published
}

// Prober measures round trips to other members, replies to their probes, and publishes a latency row.
type Prober struct {
	cfg       Config
	labelHash uint64

	mu                sync.Mutex              // protects the next four
	pending           map[uint64]pendingProbe // by nonce
	samples           map[string][]sample     // by site, oldest first
	rejectedDatagrams int                     // datagrams that are malformed, from another fleet, or replies to no pending probe
	probesSent        int                     // since the start

	// The plan, used by Run alone.
	planView      *member.View     // the view for which it was made
	sites         []member.Members // the members to probe, by site; empty where this process is not an observer
	probeInterval time.Duration    // average time between two probes
}

// pendingProbe is a probe without a reply yet.
type pendingProbe struct {
	site   string
	to     netip.AddrPort
	sentAt time.Time
}

// sample is the result of a probe.
type sample struct {
	sentAt time.Time
	rtt    time.Duration // 0 if lost
	lost   bool
}

// New returns a prober. It replies to probes from the start, and sends its own while Run runs.
func New(cfg Config) *Prober {
	return &Prober{cfg: cfg, labelHash: xxhash.Sum64String(cfg.Label), pending: map[uint64]pendingProbe{},
		samples: map[string][]sample{}}
}

// HandleDatagram processes a datagram that was read at receivedAt. It replies to a request at once and records a reply as a
// sample, unless the peer's dwell time is too long. It counts and drops invalid datagrams. It does not retain data, and is
// called from the goroutine that reads the socket.
func (p *Prober) HandleDatagram(data []byte, from netip.AddrPort, receivedAt time.Time) {
	d, err := decodeDatagram(data)
	if err != nil || d.label != p.labelHash {
		p.mu.Lock()
		p.rejectedDatagrams++
		p.mu.Unlock()
		return
	}
	if d.kind == probeRequest {
		d.kind = probeReply
		d.dwell = uint32(min(time.Since(receivedAt).Microseconds(), 1<<32-1))
		_, _ = p.cfg.Send(d.encode(member.ProbeByte), from) // if sending fails, the probe counts as lost, as if the network had dropped the reply
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	probe, ok := p.pending[d.nonce]
	if !ok || probe.to != from {
		p.rejectedDatagrams++ // the reply is late, repeated or forged
		return
	}
	delete(p.pending, d.nonce)
	dwell := time.Duration(d.dwell) * time.Microsecond
	// A peer that reports most of the round trip as its own dwell time was busy, or would make the round trip appear shorter
	// than it is.
	if rtt := receivedAt.Sub(probe.sentAt); dwell <= maxDwell && 2*dwell < rtt {
		p.samples[probe.site] = append(p.samples[probe.site], sample{probe.sentAt, rtt - dwell, false})
	}
}

// Run sends probes and publishes the row until ctx ends. It may be called once.
func (p *Prober) Run(ctx context.Context) {
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for probeNumber := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-publish.C:
			p.publishRow()
		case <-next.C:
			sites, interval := p.plan()
			if len(sites) > 0 {
				p.sendProbe(sites[probeNumber%len(sites)])
				probeNumber++
			}
			next.Reset(time.Duration((0.5 + rand.Float64()) * float64(interval))) // members must not probe in lockstep
		}
	}
}

// plan returns the members to probe, by site, and the average time between two probes. A member that is not an observer gets
// no sites. The plan is recomputed when the view has changed.
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
	// Each side of a pair sends half of the probes, divided among its observers.
	probesPerSecond := pairRate / 2 / float64(len(observers)) * float64(max(1, len(p.sites)))
	p.probeInterval = time.Duration(float64(time.Second) / probesPerSecond)
	return p.sites, p.probeInterval
}

// Observers returns the names of the members of a site that measure latency: the first few in rendezvous order.
func Observers(site string, view *member.View) (names []string) {
	for m := range view.InSite(site).All() {
		names = append(names, m.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(member.RendezvousScore(site, a), member.RendezvousScore(site, b))
	})
	return names[:min(len(names), observersPerSite)]
}

// sendProbe probes one of the given members, chosen at random, unless maxPending probes are pending.
func (p *Prober) sendProbe(others member.Members) {
	m := others.At(rand.IntN(others.Len()))
	d := datagram{kind: probeRequest, label: p.labelHash, nonce: rand.Uint64()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	if len(p.pending) >= maxPending {
		return
	}
	// The lock is held while sending, since the reply may arrive before Send returns.
	sentAt, err := p.cfg.Send(d.encode(member.ProbeByte), m.Addr)
	if err != nil {
		sentAt = time.Now() // the probe will count as lost
	}
	p.probesSent++
	p.pending[d.nonce] = pendingProbe{m.Site, m.Addr, sentAt}
}

// expire records probes without a reply within probeTimeout as lost samples and removes samples older than sampleWindow. The
// caller holds the lock.
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

// publishRow publishes the samples of the last sampleWindow, if there are any.
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
		e := rowEntry{Site: site, LossPercent: uint8(100 * (len(list) - len(rtts)) / len(list)),
			Count: uint16(min(len(rtts), 1<<16-1))}
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
		panic(err) // a row consists of numbers and strings, which always encode
	}
	p.cfg.Store.Publish(gossip.LatencyRow, p.cfg.Site, body)
}

// quantile returns a quantile of a sorted list. The position is rounded down: of two values the median is the lower one.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}
