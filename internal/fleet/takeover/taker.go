package takeover

import (
	"slices"
	"strings"
	"time"
)

// ProofState is what a worker pool knows of a key that a lost process may have given it.
type ProofState uint8

// The states of a Proof.
const (
	NeverRan ProofState = iota + 1 // and never will: the pool now serves the server that takes over
	Ran                            // the run ended: OK and Result are its outcome
	Running                        // it is running, and its outcome will be known
	Unknown                        // the pool cannot tell, or no longer exists
)

// Proof is what a Probe found out about one key.
type Proof struct {
	State  ProofState
	OK     bool
	Result []byte
}

// HandleProof reports what the pool of a lost process knows of a key.
func (h *Machine) HandleProof(now time.Duration, key Key, owner Owner, proof Proof) {
	if !h.active(now) {
		return
	}
	shard := &h.shards[key.Shard()]
	record := shard.records[key]
	if record == nil || shard.role != 1 || record.outcome != nil || record.takeoverTry != 0 || h.isCurrent(owner) {
		return
	}
	index := record.indexOf(owner)
	if index < 0 {
		return
	}
	switch proof.State {
	case NeverRan:
		record.candidates[index].Clear = true
	case Ran:
		h.decide(now, record, &Outcome{OK: proof.OK, Result: proof.Result, Why: "as the pool of the lost " + owner.Box + " knows"})
	case Unknown:
		h.decide(now, record, &Outcome{Why: "its box " + owner.Box + " was lost and its pool cannot tell: it may have run"})
	}
	h.takeoverDue = true
	h.deliverLoopback(now)
}

// decide sets the outcome of a lost server's request. It is returned to no caller before the backup has it.
func (h *Machine) decide(now time.Duration, record *storedRecord, outcome *Outcome) {
	h.setOutcome(now, record, outcome)
	h.replicate(now, record)
}

// lostCandidates returns the indexes of the candidates that must be cleared before a request is taken over. ok reports
// whether every process that may have it is lost.
func (h *Machine) lostCandidates(shard *shardState, record *storedRecord) (candidates []int, ok bool) {
	h.determineOwner(shard, record)
	if index := record.indexOf(record.owner); index >= 0 && shard.inSync {
		return []int{index}, !h.isCurrent(record.owner)
	}
	for index, candidate := range record.candidates {
		if h.isCurrent(candidate.Owner) {
			return nil, false
		}
		candidates = append(candidates, index)
	}
	return candidates, true
}

// takeOver checks the requests of lost servers in the shards that this server is the primary of. Depending on the proofs
// they are run here, given the outcome that the pool knows, or failed. The decision depends only on the view and the
// records, so that whichever server becomes primary decides the same.
func (h *Machine) takeOver(now time.Duration) {
	h.takeoverDue = false
	var ready []*storedRecord
	probes := map[Owner][]ProbedKey{}
	for _, record := range h.openRecords {
		shard := &h.shards[record.shard]
		if shard.records[record.request.Key] != record || record.outcome != nil || record.takeoverTry != 0 ||
			shard.role == 0 || shard.role != 1 && !h.injected.takeoverByOwnClock {
			continue
		}
		candidates, ok := h.lostCandidates(shard, record)
		if !ok {
			continue
		}
		if !shard.inSync && (now-shard.since < copySourceTimeout ||
			slices.ContainsFunc(candidates, func(i int) bool { return !record.candidates[i].Held })) {
			continue // another process may have won it, and be registered
		}
		if now >= record.due {
			h.decide(now, record, &Outcome{Why: "its box was lost and its time passed: it may have run"})
			continue
		}
		h.checkProofs(now, record, candidates, probes, &ready)
	}
	owners := make([]Owner, 0, len(probes))
	for owner := range probes {
		owners = append(owners, owner)
	}
	slices.SortFunc(owners, func(a, b Owner) int { return strings.Compare(a.Box, b.Box) })
	for _, owner := range owners {
		h.outputs.Probes = append(h.outputs.Probes, Probe{Owner: owner, Pool: h.view.Pools[owner], Keys: probes[owner]})
	}
	slices.SortStableFunc(ready, func(a, b *storedRecord) int { return int(a.due - b.due) })
	for _, record := range ready {
		if h.adoptedCount >= h.limits.MaxAdopted {
			return // the rest waits for one of these to finish, within its time
		}
		if h.claims[record.request.Key] == nil { // otherwise this server is claiming it, and the answer will be HeldElsewhere
			h.beginTakeover(now, record)
		}
	}
}

// checkProofs fails a lost server's request, or adds it to ready or its candidates to probes, whose pools must be
// queried.
func (h *Machine) checkProofs(now time.Duration, record *storedRecord, candidates []int, probes map[Owner][]ProbedKey,
	ready *[]*storedRecord) {
	var unproved []Candidate
	for _, i := range candidates {
		switch candidate := &record.candidates[i]; {
		case candidate.Clear || record.request.Repeat || h.injected.probeSkipped:
		case h.view.Pools[candidate.Owner] == "":
			h.decide(now, record, &Outcome{Why: "its box " + candidate.Box + " was lost and its pool is not known: it may have run"})
			return
		default:
			unproved = append(unproved, *candidate)
		}
	}
	if len(unproved) == 0 {
		*ready = append(*ready, record)
		return
	}
	if record.probedAt == 0 || now-record.probedAt >= probeInterval {
		record.probedAt = now
		onlyCandidate := len(unproved) == 1 && h.shards[record.shard].inSync
		for _, candidate := range unproved {
			probes[candidate.Owner] = append(probes[candidate.Owner],
				ProbedKey{record.request.Key, candidate.Handle, candidate.Cursor, onlyCandidate})
		}
	}
}

// beginTakeover makes this server the owner. The request is run once the backup has recorded that.
func (h *Machine) beginTakeover(now time.Duration, record *storedRecord) {
	h.lastTry++
	h.adoptedCount++
	record.takeoverTry, record.owner = h.lastTry, h.self()
	h.addCandidate(record, Candidate{Owner: record.owner, Try: record.takeoverTry, Handle: record.request.Handle})
	h.replicate(now, record)
	if h.injected.takeoverByOwnClock && h.shards[record.shard].role == 2 {
		h.adopt(now, record)
	}
}

// cancelTakeover ends a takeover that was not acknowledged. The next server to take over will run the request.
func (h *Machine) cancelTakeover(record *storedRecord) {
	if record.takeoverTry == 0 {
		return
	}
	h.adoptedCount--
	record.takeoverTry, record.owner = 0, Owner{}
	if index := record.indexOf(h.self()); index >= 0 {
		record.candidates = slices.Delete(record.candidates, index, index+1)
	}
}

// adopt gives the core a request that both replicas now record as this server's.
func (h *Machine) adopt(now time.Duration, record *storedRecord) {
	claim := &claim{request: record.request, try: record.takeoverTry, state: stateHeld, adopted: true,
		due: record.due, expires: record.expires, sentAt: now}
	claim.request.Cursor = 0 // the cursor was of another pool
	request := claim.requestNow(now, true)
	record.takeoverTry = 0
	h.claims[record.request.Key] = claim
	h.claimBytes += claim.size()
	h.expiries.add(claim.expires, record.request.Key, false)
	claim.queued, h.unacknowledged = true, append(h.unacknowledged, claim)
	h.outputs.Adopts = append(h.outputs.Adopts, Adopt{Piece: *request})
}
