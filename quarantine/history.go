package quarantine

import "time"

// maxHistory is the number of fingerprints in one generation of a history. Two generations take
// 0.6 MB.
const maxHistory = 8192

// history remembers when servers last began a response to a request with a fingerprint that turned
// out to be whole. It holds the last maxHistory fingerprints at least, and twice as many at most. The
// zero value is empty.
type history struct {
	recent, older map[Fingerprint]time.Duration
}

// record records a whole response that began at the given time.
func (h *history) record(f Fingerprint, began time.Duration) {
	if last, ok := h.recent[f]; ok {
		h.recent[f] = max(last, began)
		return
	}
	if h.recent == nil || len(h.recent) >= maxHistory {
		h.older = h.recent
		h.recent = make(map[Fingerprint]time.Duration)
	}
	if last, ok := h.older[f]; ok {
		began = max(began, last)
	}
	h.recent[f] = began
}

// last returns when the latest whole response began, and whether one is remembered.
func (h *history) last(f Fingerprint) (time.Duration, bool) {
	if at, ok := h.recent[f]; ok {
		return at, true
	}
	at, ok := h.older[f]
	return at, ok
}
