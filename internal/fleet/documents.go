package fleet

// This file shares versioned documents, the residency policy and the settings, with other members.

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
	documentInterval = 250 * time.Millisecond // between two publications of versions, and two checks of the versions of others
	maxDocumentPeers = 4                      // members from which a document is requested, the publisher of its version first
)

// PolicyDocument returns the residency policy of a holder as a document that a fleet replicates.
func PolicyDocument(holder *residency.Holder) *documents.Document {
	return &documents.Document{GossipKind: gossip.ResidencyVersion, Subject: "policy", Path: "/residency/",
		MaxBytes: residency.MaxText, Holder: holder, Digest: residency.Digest, Confirm: holder.Confirm,
		Applied: func() documents.AppliedVersion {
			state := holder.State()
			return documents.AppliedVersion{Version: state.Version, Digests: state.Digests}
		}}
}

// sharedDocument is a document that this process holds and serves to others.
type sharedDocument struct {
	*documents.Document
	publishes bool // this process publishes the version that it has in force
}

// sharedDocuments returns the documents that the configuration names. Only processes at which operators set the policy
// publish its version, because the age of the policy at other processes is the time since one of these processes published
// the version. Every process with settings publishes their version.
func (c *Config) sharedDocuments() (list []sharedDocument) {
	if c.Residency != nil {
		list = append(list, sharedDocument{PolicyDocument(c.Residency), c.PolicySource})
	}
	if c.Settings != nil {
		list = append(list, sharedDocument{c.Settings, true})
	}
	return list
}

// shareDocuments publishes the versions in force here and fetches later versions from other members, until ctx ends.
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
			if applied := document.Applied(); document.publishes && applied.Version > 0 {
				f.store.Publish(document.GossipKind, document.Subject, applied.MarshalBody())
			}
			for _, entry := range f.store.Entries(document.GossipKind) {
				if entry.Observer != f.cfg.Name {
					document.Follow(ctx, entry, func() documents.Sources { return f.documentPeers(entry.Observer) })
				}
			}
		}
	}
}

// documentPeers returns the members from which to request a document, with the publisher of its version first.
func (f *Fleet) documentPeers(publisher string) documents.Sources {
	sources, view := documents.Sources{Dial: f.members.Dial}, f.members.View()
	if m, found := view.ByName(publisher); found {
		sources.Addrs = append(sources.Addrs, m.Addr.String())
	}
	for m := range view.All() {
		if len(sources.Addrs) == maxDocumentPeers {
			break
		}
		if m.Name != f.cfg.Name {
			sources.Addrs = append(sources.Addrs, m.Addr.String())
		}
	}
	return sources
}

// serveDocument serves a request for a document. It reports false if the request is for another path.
func (f *Fleet) serveDocument(w http.ResponseWriter, req *http.Request) bool {
	for _, document := range f.documents {
		if digest, ok := strings.CutPrefix(req.URL.Path, document.Path); ok {
			document.Serve(w, digest)
			return true
		}
	}
	return false
}
