package fleet

import (
	"context"
	"net/http"
	"strings"
	"time"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/residency"
)

const (
	textsEvery = 250 * time.Millisecond // who holds a text tells its version, and the others look
	textsTries = 4                      // members asked for a text, its source first
)

// Policy is the residency policy of a holder, as a text that goes round a fleet.
func Policy(h *residency.Holder) *documents.Kind {
	return &documents.Kind{Fact: gossip.Residency, Subject: "policy", Path: "/residency/", Most: residency.MaxText, Holder: h, Digest: residency.Digest, Confirm: h.Confirm,
		State: func() documents.Standing {
			st := h.State()
			return documents.Standing{Version: st.Version, Digests: st.Digests}
		}}
}

// shared is a text that this process shares. A policy is told by its sources alone, by whose word it ages; settings are told
// by whoever has them.
type shared struct {
	*documents.Kind
	tells bool
}

func (c *Config) shared() (list []shared) {
	if c.Residency != nil {
		list = append(list, shared{Policy(c.Residency), c.Source})
	}
	if c.Settings != nil {
		list = append(list, shared{c.Settings, true})
	}
	return list
}

// shareTexts tells the others which texts are in force here, and follows theirs.
func (f *Fleet) shareTexts(ctx context.Context) {
	tick := time.NewTicker(textsEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, k := range f.texts {
			if st := k.State(); k.tells && st.Version > 0 {
				f.facts.Tell(k.Fact, k.Subject, st.Body())
			}
			for _, w := range f.facts.Now(k.Fact) {
				if w.Observer != f.cfg.Name {
					k.Follow(ctx, w, func() documents.Asked { return f.askFor(w.Observer) })
				}
			}
		}
	}
}

// askFor is whom to ask for a text of a source: the source, then others.
func (f *Fleet) askFor(source string) documents.Asked {
	a, view := documents.Asked{Dial: f.list.Dial}, f.list.View()
	if m, there := view.Named(source); there {
		a.Addrs = append(a.Addrs, m.Addr.String())
	}
	for m := range view.All() {
		if len(a.Addrs) == textsTries {
			break
		}
		if m.Name != f.cfg.Name {
			a.Addrs = append(a.Addrs, m.Addr.String())
		}
	}
	return a
}

// serveText hands a text out, if one is asked for.
func (f *Fleet) serveText(w http.ResponseWriter, q *http.Request) bool {
	for _, k := range f.texts {
		if digest, ok := strings.CutPrefix(q.URL.Path, k.Path); ok {
			k.Serve(w, digest)
			return true
		}
	}
	return false
}
