package control

import "time"

// arrivalTable records when each caller last sent a request. It has a fixed number of slots: a caller that
// hashes to the slot of another replaces it, and the other counts as new at its next request.
type arrivalTable [512]struct {
	id   uint32
	at   time.Duration
	used bool
}

// update records an arrival of id at now. It returns the time since its previous arrival, and whether that
// one is known.
func (t *arrivalTable) update(id uint32, now time.Duration) (time.Duration, bool) {
	slot := &t[id*2654435761>>23]
	known, gap := slot.used && slot.id == id, now-slot.at
	slot.id, slot.at, slot.used = id, now, true
	return gap, known
}
