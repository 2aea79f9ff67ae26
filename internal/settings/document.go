package settings

import (
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
)

// Document returns the settings of a holder as a document that is replicated in a fleet.
func Document(h *Holder) *documents.Document {
	return &documents.Document{GossipKind: gossip.SettingsVersion, Subject: "settings", Path: "/settings/", MaxBytes: MaxText,
		Holder: h, Digest: Digest, ShouldFetch: h.ShouldFetch,
		Applied: func() documents.AppliedVersion {
			state := h.State()
			return documents.AppliedVersion{Version: state.Version, Digests: state.Digests}
		}}
}
