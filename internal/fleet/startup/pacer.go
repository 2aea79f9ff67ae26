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
	gather     = 300 * time.Millisecond // until others can have been met; nobody calls before
	lookEvery  = 50 * time.Millisecond  // at what others tell, while a turn is waited for
	alone      = time.Second            // the window of one who met nobody
	longest    = 10 * time.Second       // of any window
	waitAimed  = 500 * time.Millisecond // an answer that took longer says that the service is behind
	growth     = 1.25                   // of the rate, for an answer that came well
	cut        = 0.5                    // for a call that was refused or failed
	slowCut    = 0.9                    // for one that waited
	rateLeast  = 0.5                    // calls a second
	rateMost   = 1000.0
	holdBack   = 2.0 // windows for which a refusal that others tell of holds back
	subject    = "lists"
	doublings  = 5
	settledFor = 3 * time.Second // a rate that was told is not told again so soon unless it changed much
)

// Config is what a Pacer needs.
type Config struct {
	Rate  float64       // calls a second that the service is taken to bear at first, from all
	Met   func() bool   // anyone has been met
	Facts *gossip.Store // nil: there are no others
}

// load is what one caller saw of the service, as a fact's body.
type load struct {
	Rate    float64 `cbor:"1,keyasint"` // calls a second that it seems to bear
	Refused bool    `cbor:"2,keyasint"` // the call was refused, or failed
	Version int64   `cbor:"3,keyasint"` // of the list that came
}

func readLoad(body []byte) (l load, err error) {
	err = cbor.Unmarshal(body, &l)
	return l, err
}

// Pacer says when this process may call.
type Pacer struct {
	cfg  Config
	born time.Time

	mu     sync.Mutex
	fails  int
	rate   float64
	toldAt time.Time
	told   load
}

// New returns the pacer of a process that has just started.
func New(cfg Config) *Pacer { return &Pacer{cfg: cfg, born: time.Now(), rate: cfg.Rate} }

// seen is what is known of the service now: the rate that it bears, as the middle of what those who called lately found,
// and when it last refused anyone.
func (p *Pacer) seen() (rate float64, refused time.Duration, version int64) {
	p.mu.Lock()
	rate, refused = p.rate, -1
	p.mu.Unlock()
	if p.cfg.Facts == nil {
		return rate, refused, 0
	}
	var rates []float64
	for _, f := range p.cfg.Facts.Now(gossip.Service) {
		l, err := gossip.Read(f, readLoad)
		if err != nil || !(l.Rate > 0) {
			continue
		}
		rates = append(rates, min(max(l.Rate, rateLeast), rateMost))
		version = max(version, l.Version)
		if l.Refused && (refused < 0 || f.Age < refused) {
			refused = f.Age
		}
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		rate = rates[len(rates)/2]
	}
	return rate, refused, version
}

// Version is the highest version of the list that anyone has told of lately.
func (p *Pacer) Version() int64 { _, _, v := p.seen(); return v }

// window is the span in which so many have their turns at a rate.
func (p *Pacer) window(starters int, rate float64) time.Duration {
	p.mu.Lock()
	back := math.Exp2(float64(min(p.fails, doublings)))
	p.mu.Unlock()
	w := time.Duration(float64(starters) / rate * back * float64(time.Second))
	if !p.cfg.Met() {
		w = max(w, time.Duration(float64(alone)*back))
	}
	return min(w, longest)
}

// Turn waits for this process's turn among so many that are seen to start, and reports false once ctx ends. What others tell meanwhile counts: where more
// start or the service is behind the turn moves on in step, and a refusal that is news holds everyone back.
func (p *Pacer) Turn(ctx context.Context, seen func() int) bool {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	began, place := time.Now(), rand.Float64() // full jitter: the place in the window, however wide it becomes
	starters := 1
	for {
		// Who has had a turn does not move the others' on: all would come at once.
		starters = max(starters, seen())
		rate, refused, _ := p.seen()
		now := time.Now()
		due := began.Add(time.Duration(place * float64(p.window(starters, rate))))
		if early := p.born.Add(gather); due.Before(early) {
			due = early.Add(time.Duration(place * float64(lookEvery)))
		}
		hold := time.Duration(holdBack / rate * float64(time.Second))
		if !now.Before(due) && (refused < 0 || refused > hold) {
			return true
		}
		if refused >= 0 && refused <= hold && !now.Before(due) { // behind those who were refused
			began = now
		}
		select {
		case <-ctx.Done():
			return false
		case <-look.C:
		}
	}
}

// Answered takes how a call went: what it waited for its first byte, or that it failed.
func (p *Pacer) Answered(waited time.Duration, failed bool, version int64) {
	rate, _, _ := p.seen()
	p.mu.Lock()
	switch {
	case failed:
		p.fails++
		rate *= cut
	case waited > waitAimed:
		p.fails = 0
		rate *= slowCut
	default:
		p.fails = 0
		rate *= growth
	}
	p.rate = min(max(rate, rateLeast), rateMost)
	l := load{Rate: p.rate, Refused: failed, Version: version}
	// Where all goes well the same words from everyone help nobody.
	news := failed || waited > waitAimed || version != p.told.Version || time.Since(p.toldAt) > settledFor
	if news {
		p.told, p.toldAt = l, time.Now()
	}
	p.mu.Unlock()
	if p.cfg.Facts == nil || !news {
		return
	}
	body, err := cbor.Marshal(l)
	if err != nil {
		panic(err) // it holds numbers alone
	}
	p.cfg.Facts.Tell(gossip.Service, subject, body)
}
