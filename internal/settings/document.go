package settings

import (
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
)

// DocumentKind is the settings of a holder, as a text that goes round a fleet.
func DocumentKind(h *Holder) *documents.Document {
	return &documents.Document{GossipKind: gossip.SettingsVersion, Subject: "settings", Path: "/settings/", MaxBytes: MaxText, Holder: h, Digest: Digest, ShouldFetch: h.ShouldFetch,
		Applied: func() documents.AppliedVersion {
			st := h.State()
			return documents.AppliedVersion{Version: st.Version, Digests: st.Digests}
		}}
}
