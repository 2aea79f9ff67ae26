package settings

import (
	"martenbeam/internal/fleet/fact"
	"martenbeam/internal/fleet/texts"
)

// Kind is the settings of a holder, as a text that goes round a fleet.
func Kind(h *Holder) *texts.Kind {
	return &texts.Kind{Fact: fact.Settings, Subject: "settings", Path: "/settings/", Most: MaxText, Holder: h, Digest: Digest, Wants: h.Wants,
		State: func() texts.Standing {
			st := h.State()
			return texts.Standing{Version: st.Version, Digests: st.Digests}
		}}
}
