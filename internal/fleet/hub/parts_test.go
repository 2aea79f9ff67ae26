package hub

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
)

// world is hubs and agents on told time: real servers and stores, and ways between them that can be cut.
type world struct {
	t      *testing.T
	most   int
	rand   *rand.Rand
	tasks  sync.WaitGroup
	mu     sync.Mutex
	hubs   []*place
	agents []*proc // the last process of each name; nil: none yet
	alive  []*proc // processes that live
	count  uint64  // of processes
	halves bool    // hubs are apart by their number's last bit, and from the agents of the other half
	apart  time.Time
}

// place is a hub's, with the process that is there now.
type place struct {
	w     *world
	n     int
	srv   *Server // nil: none
	facts *gossip.Store
	conns chan net.Conn
	end   func()
	begun uint64
}

// proc is an agent's process.
type proc struct {
	w       *world
	n       int
	inc     uint64
	born    time.Time
	facts   *gossip.Store
	sure    bool
	dead    bool
	streams []net.Conn
	at      *place
}

func (w *world) cut(a, b int) bool { return w.halves && a%2 != b%2 }

func (p *place) member() member.Member {
	return member.Member{Name: fmt.Sprint("hub", p.n), Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1000+p.n)), Meta: member.Meta{Started: p.begun, Hub: true}}
}

func (p *place) others(there bool) (list []member.Member) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	for _, o := range p.w.hubs {
		// That others are not there any more is seen late.
		seen := o.srv != nil && (!p.w.cut(o.n, p.n) || time.Since(p.w.apart) < 3*time.Second)
		if o != p && seen == there {
			list = append(list, o.member())
		}
	}
	return list
}

func (p *place) Facts() *gossip.Store     { return p.facts }
func (p *place) Hubs() []member.Member    { return p.others(true) }
func (p *place) Missing() []member.Member { return p.others(false) }
func (p *place) Flat() map[string]bool    { return nil }
func (p *place) Matrix() latency.Matrix   { return nil }

func (p *place) Dead(_ context.Context, m member.Member, _ time.Duration) bool {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	n := int(m.Addr.Port())
	if n >= 1000 {
		return !p.w.cut(n-1000, p.n) && p.w.hubs[n-1000].srv == nil
	}
	return !p.w.cut(n, p.n) && (p.w.agents[n] == nil || p.w.agents[n].dead)
}

var errCut = errors.New("cut")

func (p *place) Dial(_ context.Context, _, addr string) (net.Conn, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock() // up to the end: what takes connections is closed once the hub is not there any more
	o := p.w.hubs[int(at.Port())-1000]
	if o.srv == nil || p.w.cut(o.n, p.n) {
		return nil, errCut
	}
	near, far := net.Pipe()
	select {
	case o.conns <- far:
		return near, nil
	default: // its queue is full
		return nil, errCut
	}
}

func (p *place) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p *place) Close() error   { return nil }
func (p *place) Addr() net.Addr { return &net.TCPAddr{} }

// start has a hub begin, knowing nothing.
func (p *place) start() {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.begun++
	name := fmt.Sprint("hub", p.n)
	ctx, cancel := context.WithCancel(context.Background())
	p.facts = gossip.New(name, p.begun, gossip.DefaultBounds, nil)
	p.conns = make(chan net.Conn, 64)
	srv := New(Config{Name: name, Incarnation: p.begun, Most: p.w.most, AdmitRate: 1000, Log: slog.New(slog.DiscardHandler)})
	server := &http.Server{Handler: srv}
	var tasks sync.WaitGroup
	tasks.Go(func() { srv.Run(ctx, p) })
	tasks.Go(func() { _ = server.Serve(p) })
	conns := p.conns
	p.end = func() { cancel(); close(conns); server.Close(); tasks.Wait() }
	p.srv = srv
}

func (p *place) stop() {
	p.w.mu.Lock()
	end := p.end
	p.srv = nil
	p.w.mu.Unlock()
	end()
}

// gossip has hubs tell each other, as members do.
func (w *world) gossip() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.hubs {
		if a.srv == nil {
			continue
		}
		a.facts.Tick()
		for _, b := range w.hubs {
			if a != b && b.srv != nil && !w.cut(a.n, b.n) && w.rand.IntN(4) > 0 { // some are lost
				if data := a.facts.Gossip(1000, len(w.hubs)); data != nil {
					_ = b.facts.Hear(data)
				}
			}
		}
	}
}

// spawn starts a process of a name.
func (w *world) spawn(n int) {
	w.count++
	x := &proc{w: w, n: n, inc: w.count, born: time.Now(), facts: gossip.New(fmt.Sprint("agent", n), w.count, gossip.DefaultBounds, nil)}
	w.mu.Lock()
	w.agents[n] = x
	w.alive = append(w.alive, x)
	w.mu.Unlock()
}

// kill ends a process: its machine refuses from now on.
func (x *proc) kill(bye bool) {
	x.w.mu.Lock()
	x.dead = true
	list := x.streams
	x.streams, x.at = nil, nil
	x.w.mu.Unlock()
	for _, c := range list {
		if bye {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_ = send(c, &frame.Frame{Bye: true})
		}
		c.Close()
	}
}

// attach has a process take a stream of a hub that it reaches, beside the one that it may have, which then ends.
func (x *proc) attach(p *place) {
	w := x.w
	w.mu.Lock()
	srv := p.srv
	if srv == nil || !srv.ready.Load() || w.cut(p.n, x.n) || x.dead {
		w.mu.Unlock()
		return
	}
	near, far := net.Pipe()
	old := x.streams
	x.streams, x.at = []net.Conn{near}, p
	w.mu.Unlock()
	srv.tasks.Go(func() { srv.serve(far, bufio.NewReader(far)); far.Close() })
	w.tasks.Go(func() { x.read(near, p) })
	w.tasks.Go(func() {
		time.Sleep(100 * time.Millisecond)
		for _, c := range old {
			c.Close()
		}
	})
}

// read is a stream at the agent: it writes its state each second, and hears the hub.
func (x *proc) read(c net.Conn, p *place) {
	defer func() {
		x.w.mu.Lock()
		if len(x.streams) > 0 && x.streams[0] == c {
			x.streams, x.at = nil, nil
		}
		x.w.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	if _, err := r.Discard(len(switching)); err != nil {
		return
	}
	if send(c, &frame.Frame{Hello: &frame.Hello{Name: fmt.Sprint("agent", x.n), Incarnation: x.inc, Addr: fmt.Sprintf("0.0.0.0:%d", x.n)}}) != nil {
		return
	}
	x.w.tasks.Go(func() {
		for !x.frozen(p) && send(c, &frame.Frame{State: serving}) == nil {
			time.Sleep(time.Second)
		}
	})
	for {
		_ = c.SetReadDeadline(time.Now().Add(2500 * time.Millisecond))
		f, err := frame.Read(r)
		if x.frozen(p) { // as a cut is: the hub sees nothing but silence
			time.Sleep(2500 * time.Millisecond)
			return
		}
		if err != nil {
			return
		}
		x.w.mu.Lock()
		x.sure = x.sure || f.Sure
		x.w.mu.Unlock()
		if len(f.Facts) > 0 {
			_ = x.facts.Hear(f.Facts)
		}
	}
}

func (x *proc) frozen(p *place) bool {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	return x.w.cut(p.n, x.n)
}

// part is what an agent takes by its rule.
func (x *proc) part() float64 {
	x.facts.Tick()
	if !x.sure && time.Since(x.born) < 3*time.Second {
		return 0.1 / float64(x.w.most)
	}
	users, known := x.w.most, false
	for _, f := range x.facts.Now(gossip.Census) {
		if c, err := ParseCensus(f.Body); err == nil {
			n := max(1, x.w.most-int(c.Gone), int(c.Attached))
			if !known {
				users = n
			}
			users, known = max(users, n), true
		}
	}
	return 1 / float64(users)
}

func (w *world) sum() (sum float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.alive {
		if !x.dead {
			sum += x.part()
		}
	}
	return sum
}

// run lets time go on, with everyone attaching who has no hub, and holds the sum of all parts against the limit.
func (w *world) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.gossip()
		for _, x := range w.agents {
			w.mu.Lock()
			idle := x != nil && !x.dead && x.at == nil
			w.mu.Unlock()
			if idle && w.rand.IntN(10) == 0 {
				x.attach(w.hubs[w.rand.IntN(len(w.hubs))])
			}
		}
		if s := w.sum(); s > 1.1+1e-9 {
			w.t.Fatalf("the parts come to %v", s)
		}
	}
}

// step has something happen.
func (w *world) step() {
	n := w.rand.IntN(len(w.agents))
	x := w.agents[n]
	switch k := w.rand.IntN(10); {
	case x == nil || x.dead:
		w.spawn(n)
	case k < 3:
		x.kill(false)
	case k == 3:
		x.kill(true)
	case k == 4: // and back at once
		x.kill(false)
		w.spawn(n)
	case k < 7:
		x.attach(w.hubs[w.rand.IntN(len(w.hubs))])
	case k == 7:
		w.mu.Lock()
		w.halves, w.apart = !w.halves, time.Now()
		w.mu.Unlock()
	case k == 8: // seven in ten at once
		for i, y := range w.agents {
			if y != nil && !y.dead && i%10 < 7 {
				y.kill(false)
			}
		}
	default:
		if p := w.hubs[w.rand.IntN(len(w.hubs))]; p.srv != nil {
			p.stop()
			w.run(time.Duration(w.rand.IntN(4000)) * time.Millisecond)
			p.start()
		}
	}
}

// Whatever happens in whatever order, the parts of all that live never come to more than 1.1 of the limit; and the parts of
// those who are dead for certain are used once all is quiet.
func TestPartsStayWithinTheLimit(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			const most = 10
			w := &world{t: t, most: most, rand: rand.New(rand.NewPCG(seed, 1)), agents: make([]*proc, most)}
			for n := range 4 {
				w.hubs = append(w.hubs, &place{w: w, n: n})
			}
			for _, p := range w.hubs {
				p.start()
			}
			defer func() {
				for _, x := range w.agents {
					if x != nil {
						x.kill(false)
					}
				}
				for _, p := range w.hubs {
					p.stop()
				}
				w.tasks.Wait()
			}()
			for n := range most {
				w.spawn(n)
			}
			w.run(6 * time.Second)
			for range 25 {
				w.step()
				w.run(time.Duration(w.rand.IntN(3000)) * time.Millisecond)
			}
			w.mu.Lock()
			w.halves = false
			w.mu.Unlock()
			for n, x := range w.agents {
				if x.dead {
					w.spawn(n)
				}
			}
			w.run(10 * time.Second)
			for _, x := range w.agents[:7] {
				x.kill(false)
			}
			w.run(8 * time.Second)
			if s := w.sum(); s < 0.99 {
				t.Errorf("seed %d: seven are dead, and the others' parts come to %v", seed, s)
			}
		})
	}
}
