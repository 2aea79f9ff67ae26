package settings

import (
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
)

// Kind is the settings of a holder, as a text that goes round a fleet.
func Kind(h *Holder) *documents.Kind {
	return &documents.Kind{Fact: gossip.Settings, Subject: "settings", Path: "/settings/", Most: MaxText, Holder: h, Digest: Digest, Wants: h.Wants,
		State: func() documents.Standing {
			st := h.State()
			return documents.Standing{Version: st.Version, Digests: st.Digests}
		}}
}
