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
	documentInterval = 250 * time.Millisecond // who holds a text tells its version, and the others look
	maxDocumentPeers = 4                      // members asked for a text, its source first
)

// PolicyReplicator is the residency policy of a holder, as a text that goes round a fleet.
func PolicyReplicator(holder *residency.Holder) *documents.Document {
	return &documents.Document{GossipKind: gossip.ResidencyVersion, Subject: "policy", Path: "/residency/", MaxBytes: residency.MaxText, Holder: holder, Digest: residency.Digest, Confirm: holder.Confirm,
		Applied: func() documents.AppliedVersion {
			st := holder.State()
			return documents.AppliedVersion{Version: st.Version, Digests: st.Digests}
		}}
}

// sharedDocument is a text that this process shares. A policy is told by its sources alone, by whose word it ages; settings are told
// by whoever has them.
type sharedDocument struct {
	*documents.Document
	publishes bool
}

func (c *Config) sharedDocuments() (list []sharedDocument) {
	if c.Residency != nil {
		list = append(list, sharedDocument{PolicyReplicator(c.Residency), c.PolicySource})
	}
	if c.Settings != nil {
		list = append(list, sharedDocument{c.Settings, true})
	}
	return list
}

// shareDocuments tells the others which texts are in force here, and follows theirs.
func (f *Fleet) shareDocuments(ctx context.Context) {
	tick := time.NewTicker(documentInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, document := range f.documents {
			if st := document.Applied(); document.publishes && st.Version > 0 {
				f.store.Publish(document.GossipKind, document.Subject, st.MarshalBody())
			}
			for _, entry := range f.store.Entries(document.GossipKind) {
				if entry.Observer != f.cfg.Name {
					document.Follow(ctx, entry, func() documents.Sources { return f.documentPeers(entry.Observer) })
				}
			}
		}
	}
}

// documentPeers is whom to ask for a text of a source: the source, then others.
func (f *Fleet) documentPeers(source string) documents.Sources {
	peers, view := documents.Sources{Dial: f.members.Dial}, f.members.View()
	if m, there := view.ByName(source); there {
		peers.Addrs = append(peers.Addrs, m.Addr.String())
	}
	for m := range view.All() {
		if len(peers.Addrs) == maxDocumentPeers {
			break
		}
		if m.Name != f.cfg.Name {
			peers.Addrs = append(peers.Addrs, m.Addr.String())
		}
	}
	return peers
}

// serveDocument hands a text out, if one is asked for.
func (f *Fleet) serveDocument(w http.ResponseWriter, q *http.Request) bool {
	for _, document := range f.documents {
		if digest, ok := strings.CutPrefix(q.URL.Path, document.Path); ok {
			document.Serve(w, digest)
			return true
		}
	}
	return false
}
