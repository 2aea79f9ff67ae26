package hubclient

import (
	"context"
	"net"
	"time"

	"martenbeam/internal/fleet/source"
)

const (
	relayMet     = time.Second             // until a hub can have taken this agent: who has none asks for itself
	relaySilence = 2500 * time.Millisecond // of a hub that passes the list on, after which it counts as dead
)

// Next waits until the list may be asked for, and says where: of the hub first, where lists are relayed, and of the service
// in this agent's turn. Where there is no hub, one that takes the agent meanwhile goes before the turn. fails counts
// openings that came to nothing. It reports false once ctx ends.
func (s *Spoke) Next(ctx context.Context, fails int) (source.Source, bool) {
	if f := s.flat.Load(); f != nil {
		return f.Next(ctx, fails)
	}
	if !s.cfg.Relayed || fails%2 == 1 {
		return source.Source{}, s.pacer.Turn(ctx, s.starters)
	}
	s.mu.Lock()
	attached := s.attached
	s.mu.Unlock()
	select { // a process that starts gives its hub a moment
	case <-attached:
	case <-ctx.Done():
	case <-time.After(time.Until(s.born.Add(relayMet))):
	}
	turn, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-attached:
			cancel()
		case <-turn.Done():
		}
	}()
	if s.pacer.Turn(turn, s.starters) {
		return source.Source{}, true
	}
	if addr := s.hub(); addr != "" || ctx.Err() != nil {
		return source.Source{Addr: addr, Silence: relaySilence, Relayed: true}, ctx.Err() == nil
	}
	return source.Source{}, s.pacer.Turn(ctx, s.starters) // it is lost already
}

// starters counts who may ask the service at once: who is seen to start, and, where lists are relayed, all of a hub, since
// one that comes to the service has lost it with the rest.
func (s *Spoke) starters() int {
	c, fresh := s.census()
	if !fresh {
		s.mu.Lock()
		c = s.known.Census
		s.mu.Unlock()
	}
	n := max(1, int(c.Starting))
	if s.cfg.Relayed {
		n = max(n, int(c.Attached)/len(s.hubs))
	}
	return n
}

// met reports whether any hub has ever told who there is.
func (s *Spoke) met() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.Census.Attached > 0
}

// Answered takes how an opening went: after how long the first word came, or that none did, and from which version on.
func (s *Spoke) Answered(src source.Source, waited time.Duration, failed bool, version int64) {
	if f := s.flat.Load(); f != nil {
		f.Answered(src, waited, failed, version)
	} else if !src.Relayed {
		s.pacer.Answered(waited, failed, version)
	}
}

// Dial opens a connection to a hub, or to another agent.
func (s *Spoke) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return s.dial(ctx, network, addr)
}

// Heard takes a sign of life of a source: the flat fleet passes on what it hears.
func (s *Spoke) Heard(src source.Source) {
	if f := s.flat.Load(); f != nil {
		f.Heard(src)
	}
}

// Listed takes a message of a source.
func (s *Spoke) Listed(src source.Source, from, to int64, change, whole []byte) {
	if f := s.flat.Load(); f != nil {
		f.Listed(src, from, to, change, whole)
	}
	s.Ready()
}

// Ready tells that this process has a list, and serves.
func (s *Spoke) Ready() {
	if !s.serving.Swap(true) {
		s.cfg.Log.Info("start", "step", "serving", "hub", s.Known().Hub, "took", time.Since(s.born))
	}
	if f := s.flat.Load(); f != nil {
		f.Ready()
	}
}

// Behind reports whether others have told of a later version of the list than the one known here.
func (s *Spoke) Behind(version int64) bool {
	if f := s.flat.Load(); f != nil {
		return f.Behind(version)
	}
	return s.pacer.Version() > version
}
