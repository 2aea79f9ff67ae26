package callway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Window is a time in which several agents are called at once, each by its cell.
type Window struct {
	Name         string
	Warm, Length time.Duration
	Cells        []Cell
}

// Bench is what windows share.
type Bench struct {
	Dir      string
	Command  []string // starts an agent; the configuration's file is its last argument
	Env      []string
	Backends *Backends
	Seed     uint64
}

// start starts a cell's agent and its list service.
func (b *Bench) start(ctx context.Context, c Cell) (*lane, error) {
	lists, err := NewLists(b.Backends.Addrs[:c.List])
	if err != nil {
		return nil, err
	}
	p, err := Start(ctx, b.Dir, Config(lists.Addr, c.Tick), b.Env, b.Command...)
	if err != nil {
		lists.Close()
		return nil, err
	}
	return &lane{cell: c, process: p, lists: lists, agent: newClient()}, nil
}

func (l *lane) stop() error {
	l.agent.CloseIdleConnections()
	err := l.process.Stop()
	l.lists.Close()
	return err
}

// startAll starts the agents of all cells at once, and returns those that came up even where others did not.
func (b *Bench) startAll(ctx context.Context, cells []Cell) (lanes []*lane, err error) {
	lanes, errs := make([]*lane, len(cells)), make([]error, len(cells))
	var starts sync.WaitGroup
	for i, c := range cells {
		starts.Go(func() { lanes[i], errs[i] = b.start(ctx, c) })
	}
	starts.Wait()
	return slices.DeleteFunc(lanes, func(l *lane) bool { return l == nil }), errors.Join(errs...)
}

// stopAll stops agents, all at once.
func stopAll(lanes []*lane) error {
	errs := make([]error, len(lanes))
	var stops sync.WaitGroup
	for i, l := range lanes {
		stops.Go(func() { errs[i] = l.stop() })
	}
	stops.Wait()
	return errors.Join(errs...)
}

// Run plays a window and returns a row for each cell.
func (b *Bench) Run(ctx context.Context, w Window) (rows []Row, err error) {
	var lanes []*lane
	defer func() { err = errors.Join(err, stopAll(lanes)) }()
	most := 0
	var cells []Cell
	for _, c := range w.Cells {
		for range max(1, c.Agents) {
			cells = append(cells, c)
		}
		most = max(most, c.List)
	}
	if lanes, err = b.startAll(ctx, cells); err != nil {
		return nil, err
	}
	direct := newClient()
	defer direct.CloseIdleConnections()
	for i, addr := range b.Backends.Addrs[:most] { // each can be called, and has a connection that is kept
		_, got, err := call(direct, addr, since())
		if err != nil || got != i {
			return nil, fmt.Errorf("entry %d at %s: backend %d, %w", i, addr, got, err)
		}
	}
	turning, end := context.WithCancel(ctx)
	defer end()
	var turns sync.WaitGroup
	for _, l := range lanes {
		if l.cell.Turns != "" {
			turns.Go(func() { l.turn(turning) })
		}
		if l.before, err = l.process.Use(); err != nil {
			return nil, err
		}
	}
	began := since()
	drive(lanes, direct, b.Backends.Addrs, rand.New(rand.NewPCG(b.Seed, 0)), w.Warm, w.Length)
	took := since() - began
	end()
	turns.Wait()
	for _, l := range lanes {
		if l.after, err = l.process.Use(); err != nil {
			return nil, err
		}
	}
	for rest := lanes; len(rest) > 0; { // those of one cell each time
		n := max(1, rest[0].cell.Agents)
		rows = append(rows, row(w.Name, rest[:n], took))
		rest = rest[n:]
	}
	return rows, nil
}

// Idle measures agents that nobody calls, with lists of each size, all at once.
func (b *Bench) Idle(ctx context.Context, sizes []int, settle, length time.Duration) (rows []IdleRow, err error) {
	var cells []Cell
	for _, n := range sizes {
		cells = append(cells, Cell{List: n, Tick: defaultTick})
	}
	lanes, err := b.startAll(ctx, cells)
	defer func() { err = errors.Join(err, stopAll(lanes)) }()
	if err != nil {
		return nil, err
	}
	use := func(after time.Duration) (list []Use, err error) {
		select {
		case <-time.After(after):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		for _, l := range lanes {
			u, err := l.process.Use()
			if err != nil {
				return nil, err
			}
			list = append(list, u)
		}
		return list, nil
	}
	before, err := use(settle)
	if err != nil {
		return nil, err
	}
	after, err := use(length)
	if err != nil {
		return nil, err
	}
	for i, n := range sizes {
		rows = append(rows, IdleRow{List: n, ResidentMB: after[i].ResidentMB,
			CPUms: (after[i].CPU - before[i].CPU).Seconds() * 1e3 / length.Seconds()})
	}
	return rows, nil
}

const defaultTick = "5ms" // as config print has it

// Full is the windows of a whole run.
func Full() (list []Window) {
	sizes, ticks := []int{8, 100, 1800}, []string{defaultTick, "0s"}
	low := Window{Name: "calls", Warm: time.Second, Length: 8 * time.Second}
	mid := Window{Name: "calls", Warm: time.Second / 2, Length: 3 * time.Second}
	turns := Window{Name: "changes", Warm: 500 * time.Millisecond, Length: 5500 * time.Millisecond}
	for _, n := range sizes {
		for _, tick := range ticks {
			low.Cells = append(low.Cells, Cell{List: n, Rate: 10, Tick: tick, Agents: 3}, Cell{List: n, Rate: 72, Tick: tick})
			mid.Cells = append(mid.Cells, Cell{List: n, Rate: 300, Tick: tick})
		}
		for _, rate := range []float64{72, 300} {
			turns.Cells = append(turns.Cells, Cell{List: n, Rate: rate, Tick: defaultTick, Turns: "entries"})
		}
	}
	low.Cells = append(low.Cells, Cell{List: 8, Rate: 72, Tick: defaultTick, Even: true}, Cell{List: 1800, Rate: 72, Tick: defaultTick, Even: true})
	for _, rate := range []float64{72, 300} {
		turns.Cells = append(turns.Cells, Cell{List: 1800, Rate: rate, Tick: "0s", Turns: "entries"},
			Cell{List: 1800, Rate: rate, Tick: "0s", Turns: "whole"})
	}
	for range 3 {
		few := Window{Name: "few", Warm: time.Second, Length: 5 * time.Second}
		for _, n := range []int{8, 1800} {
			for _, tick := range ticks {
				few.Cells = append(few.Cells, Cell{List: n, Rate: 72, Tick: tick})
			}
		}
		list = append(list, few)
	}
	list = append(list, low, mid)
	for _, n := range sizes {
		high := Window{Name: "calls", Warm: time.Second / 2, Length: 1500 * time.Millisecond}
		for _, tick := range ticks {
			high.Cells = append(high.Cells, Cell{List: n, Rate: 1000, Tick: tick})
		}
		list = append(list, high)
	}
	return append(list, turns)
}

// row sums up the lanes of one cell.
func row(window string, lanes []*lane, took time.Duration) Row {
	r := Row{Window: window, Cell: lanes[0].cell}
	var through, alone []sample
	var late []float64
	for _, l := range lanes {
		through, alone = append(through, l.through.samples...), append(alone, l.alone.samples...)
		r.Failed += l.through.failed
		r.FailedDirect += l.alone.failed
		if r.Why == "" {
			r.Why = l.through.why + l.alone.why
		}
		r.ResidentMB = max(r.ResidentMB, l.after.ResidentMB)
		r.CPUms += (l.after.CPU - l.before.CPU).Seconds() * 1e3 / took.Seconds() / float64(len(lanes))
		if l.cell.Turns != "" {
			r.Changes += len(l.turns)
			near := func(s sample) bool { return l.near(s.at) }
			after, rest := split(l.through.samples, near)
			r.After, r.Rest = sumUp(after), sumUp(rest)
			after, rest = split(l.alone.samples, near)
			r.AfterDirect, r.RestDirect = sumUp(after), sumUp(rest)
		}
	}
	for _, s := range append(slices.Clone(through), alone...) {
		late = append(late, ms(s.late))
	}
	slices.Sort(late)
	r.LateP99 = quantile(late, 0.99)
	r.Through, r.Direct = sumUp(through), sumUp(alone)
	r.slowest(through)
	return r
}

const afterTurn = 100 * time.Millisecond

// near reports whether a time is within the first part of a second, after a change.
func (l *lane) near(at time.Duration) bool {
	return slices.ContainsFunc(l.turns, func(t time.Duration) bool { return at >= t && at < t+afterTurn })
}

func split(list []sample, by func(sample) bool) (yes, no []sample) {
	for _, s := range list {
		if by(s) {
			yes = append(yes, s)
		} else {
			no = append(no, s)
		}
	}
	return yes, no
}
