package residency

import "time"

// Confirmed is how long ago the version in force was its source's latest for certain, as far as was heard; 0 at a source. It
// reports false where that was never heard.
func (h *Holder) Confirmed() (age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.version == 0:
		return 0, false
	case h.source:
		return 0, true
	}
	return time.Since(h.confirmed), h.heard
}
