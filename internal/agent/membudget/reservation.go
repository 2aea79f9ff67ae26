package membudget

// Reservation is a part of a budget. A nil Reservation holds nothing. The budget's mu guards its fields but budget.
type Reservation struct {
	budget  *Budget
	class   Class
	bytes   int64
	holders int // 0: released
}

// TryGrow adds spare memory to the reservation, and reports whether there was enough. A nil or released one can't grow.
func (r *Reservation) TryGrow(bytes int64) bool {
	if r == nil {
		return false
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.holders == 0 || !r.budget.fits(Spare, bytes) {
		return false
	}
	r.bytes += bytes
	r.budget.used += bytes
	r.budget.byClass[r.class] += bytes
	return true
}

// TryStream moves the reservation to the class Stream, and reports whether that class may hold as much beside what is not reserved
// by requests: answers that are streamed for long leave memory for other requests. It is called before a response is streamed.
func (r *Reservation) TryStream() bool {
	if r == nil {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.holders == 0 || r.class == Stream {
		return true
	}
	others := b.used - b.byClass[Request] - b.byClass[Buffer]
	if others+r.bytes > b.size/100*highWatermarks[Stream] && b.admitted[Stream] >= minAdmitted[Stream] {
		return false
	}
	b.byClass[r.class] -= r.bytes
	b.admitted[r.class]--
	r.class = Stream
	b.byClass[Stream] += r.bytes
	b.admitted[Stream]++
	return true
}

// Share adds a holder, who has to call Release too. A holder calls it, before its own Release.
func (r *Reservation) Share() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.holders > 0 {
		r.holders++
	}
}

// Release returns the reservation to its budget once each holder has called it. Calls after that do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.holders == 0 {
		return
	}
	if r.holders--; r.holders > 0 {
		return
	}
	r.budget.used -= r.bytes
	r.budget.byClass[r.class] -= r.bytes
	r.budget.admitted[r.class]--
	r.budget.grantWaiting()
}
