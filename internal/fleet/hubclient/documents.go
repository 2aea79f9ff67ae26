package hubclient

import (
	"context"
	"fmt"
	"strings"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
)

// All agents of a hub hear of a new text at once, and ask for it within this time.
const spread = time.Second

const mostWhy = 512 // bytes; what a frame takes

// state is how this agent stands, as a hub is told.
type state struct {
	serving          bool
	settings, policy frame.Standing
}

func (s *Spoke) state() state {
	st := state{serving: s.serving.Load()}
	if s.cfg.Settings != nil {
		st.settings = settingsStanding(s.cfg.Settings)
	}
	if s.cfg.Residency != nil {
		st.policy = policyStanding(s.cfg.Residency.State())
	}
	return st
}

// settingsStanding tells, besides what is wrong, which keys wait for the next start.
func settingsStanding(h *settings.Holder) frame.Standing {
	st := frame.Standing(h.Standing())
	if later := h.State().Later; len(later) > 0 {
		why := "for the next start: " + strings.Join(later, ", ")
		if st.Why != "" {
			why = st.Why + "; " + why
		}
		st.Why = strings.ToValidUTF8(why[:min(len(why), mostWhy)], "") // a cut may go through a letter
	}
	return st
}

func policyStanding(st residency.State) frame.Standing {
	p := frame.Standing{Version: st.Version}
	switch len(st.Digests) {
	case 0:
	case 1:
		p.Digest = st.Digests[0]
	default:
		p.Why = fmt.Sprintf("%d texts have this version", len(st.Digests))
	}
	return p
}

// follow sets up the texts that are followed.
func (s *Spoke) follow() {
	if h := s.cfg.Residency; h != nil {
		k := fleet.Policy(h)
		k.Spread = spread
		s.texts = append(s.texts, k)
	}
	if h := s.cfg.Settings; h != nil {
		s.texts = append(s.texts, &documents.Kind{Fact: gossip.Settings, Path: "/settings/", Most: settings.MaxText, Holder: h, Digest: settings.Digest, Wants: h.Wants,
			State: func() documents.Standing {
				st := h.State()
				return documents.Standing{Version: st.Version, Digests: st.Digests}
			}, Spread: spread})
	}
}

// heed heeds what hubs tell of texts, and asks this agent's hub for what it lacks.
func (s *Spoke) heed(ctx context.Context) {
	for _, k := range s.texts {
		for _, w := range s.facts.Now(k.Fact) {
			k.Follow(ctx, w, s.whom)
		}
	}
}

func (s *Spoke) whom() documents.Asked {
	a := documents.Asked{Dial: s.dial}
	if addr := s.hub(); addr != "" {
		a.Addrs = []string{addr}
	}
	return a
}
