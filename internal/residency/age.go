package residency

import "time"

// ConfirmedAge is how long ago the version in force was its source's latest for certain, as far as was heard; 0 at a source. It
// reports false where that was never heard.
func (h *Holder) ConfirmedAge() (age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.version == 0:
		return 0, false
	case h.isSource:
		return 0, true
	}
	return time.Since(h.confirmedAt), h.everConfirmed
}
