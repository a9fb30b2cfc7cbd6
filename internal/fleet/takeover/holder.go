package takeover

import (
	"slices"
	"time"
)

// claim is a claim of this server: in progress, held, or finished and kept until it expires.
type claim struct {
	id                      uint64       // by which this server's core knows it; 0 = it was taken over
	request                 KeyedRequest // without the body once it has an outcome
	try                     uint64
	state                   claimState
	primaryWon, backupAcked bool // answers of the replicas to this try
	due, expires            time.Duration
	outcome                 *Outcome
	storedBy                []Owner // replicas that have stored its current state
	needBody                []Owner // replicas that need the body too
	sentAt                  time.Duration
	finished                bool // Finished has been output
	adopted                 bool
	queued                  bool // it is in Machine.unacknowledged
}

type claimState uint8

const (
	stateAsking claimState = iota
	stateHeld
	stateEnded
)

// size returns the accounted size.
func (c *claim) size() int64 {
	total := recordOverheadBytes + int64(len(c.request.Body))
	if c.outcome != nil {
		total += int64(len(c.outcome.Result))
	}
	return total
}

// requestNow returns the request as it is sent now, with the times that are left.
func (c *claim) requestNow(now time.Duration, body bool) *KeyedRequest {
	request := c.request
	request.Due, request.Life = max(0, c.due-now), max(0, c.expires-now)
	if !body {
		request.Body = nil
	}
	return &request
}

// Claim claims a key. Its Verdict follows with id, at once if it is known here. No two claims of a process have the same id.
func (h *Machine) Claim(now time.Duration, id uint64, request KeyedRequest) {
	if !h.active(now) {
		return
	}
	if claim := h.claims[request.Key]; claim != nil {
		switch {
		case claim.request.Sum != request.Sum:
			h.verdict(request.Key, id, BodyMismatch, nil, 0, "the key is in use on this server for another body")
		case claim.finished:
			h.verdict(request.Key, id, endState(claim.outcome), claim.outcome.Result, 0, claim.outcome.Why)
		default:
			h.verdict(request.Key, id, HeldElsewhere, nil, 0, "the key is in flight on this server")
		}
		return
	}
	replicas := h.replicas(request.Key.Shard())
	record := h.shards[request.Key.Shard()].records[request.Key]
	switch {
	case record != nil && record.takeoverTry != 0: // a claim and its release would undo the record at the backup
		h.verdict(request.Key, id, HeldElsewhere, nil, 0, "the key is being taken over by this server")
		return
	case len(replicas) == 0:
		h.verdict(request.Key, id, Unavailable, nil, retryAfter, "the shard of the key has no replica")
		return
	case len(h.claims) >= h.limits.Records || h.claimBytes+recordOverheadBytes+int64(len(request.Body)) > h.limits.Bytes:
		h.verdict(request.Key, id, Unavailable, nil, retryAfter, "the maximum number of keys or bytes is in flight on this server")
		return
	case request.Life > h.limits.MaxRetention:
		h.verdict(request.Key, id, Unavailable, nil, 0, "the record would have to be kept longer than the maximum")
		return
	}
	h.lastTry++
	claim := &claim{id: id, request: request, try: h.lastTry, due: now + request.Due, expires: now + request.Life}
	h.claims[request.Key] = claim
	h.claimBytes += claim.size()
	h.sendClaim(now, claim)
	h.deliverLoopback(now)
}

// Finish reports the outcome of the run of a claim. Finished follows.
func (h *Machine) Finish(now time.Duration, key Key, id uint64, ok bool, result []byte, why string) {
	if h.disowned {
		return
	}
	claim := h.claims[key]
	if claim != nil && claim.id != id && !h.injected.claimIDIgnored {
		claim = nil
	}
	if claim != nil && claim.state == stateEnded && !claim.finished {
		return // reported before: its Finished will follow
	}
	if claim == nil || claim.state != stateHeld {
		h.outputs.Finished = append(h.outputs.Finished, Finished{Key: key, ClaimID: id, OK: claim != nil && claim.finished})
		return
	}
	if claim.adopted {
		h.adoptedCount--
		h.takeoverDue = true // another request can be taken over
	}
	h.claimBytes -= claim.size()
	claim.state, claim.storedBy, claim.outcome, claim.request.Body = stateEnded, nil, &Outcome{OK: ok, Result: result, Why: why}, nil
	h.claimBytes += claim.size()
	h.sendClaim(now, claim)
	h.deliverLoopback(now)
}

// Release gives up a claim that is in progress, or that is held and whose run was never given to a pool.
func (h *Machine) Release(now time.Duration, key Key, id uint64) {
	if h.disowned {
		return
	}
	if claim := h.claims[key]; claim != nil && claim.state != stateEnded && (claim.id == id || h.injected.claimIDIgnored) {
		h.drop(claim)
	}
	h.deliverLoopback(now)
}

// drop deletes a claim and tells the replicas. A replica that does not get the message queries it.
func (h *Machine) drop(claim *claim) {
	if claim.adopted {
		h.adoptedCount--
	}
	h.claimBytes -= claim.size()
	delete(h.claims, claim.request.Key)
	for _, replica := range h.replicas(claim.request.Key.Shard()) {
		h.send(replica.Box, Item{Kind: kindRelease, Key: claim.request.Key, Try: claim.try})
	}
}

func (h *Machine) verdict(key Key, id uint64, state ClaimState, result []byte, after time.Duration, why string) {
	h.outputs.Verdicts = append(h.outputs.Verdicts, Verdict{Key: key, ClaimID: id, State: state, Result: result, After: after, Why: why})
}

func endState(end *Outcome) ClaimState {
	if end.OK {
		return Done
	}
	return Failed
}

// sendClaim sends a claim's state to the replicas that have not acknowledged it.
func (h *Machine) sendClaim(now time.Duration, claim *claim) {
	claim.sentAt = now
	if !claim.queued {
		claim.queued, h.unacknowledged = true, append(h.unacknowledged, claim)
	}
	for i, replica := range h.replicas(claim.request.Key.Shard()) {
		switch {
		case claim.state == stateAsking:
			if i == 0 && !claim.primaryWon || i == 1 && !claim.backupAcked {
				h.send(replica.Box, Item{Kind: kindClaim, Key: claim.request.Key, Try: claim.try,
					Piece: claim.requestNow(now, true)})
			}
		case slices.Contains(claim.storedBy, replica):
		case claim.state == stateHeld:
			item := Item{Kind: kindHeld, Key: claim.request.Key, Try: claim.try}
			if slices.Contains(claim.needBody, replica) {
				item.Piece = claim.requestNow(now, true)
			}
			h.send(replica.Box, item)
		default:
			h.send(replica.Box, Item{Kind: kindOutcome, Key: claim.request.Key, Try: claim.try,
				Piece: claim.requestNow(now, false), End: claim.outcome})
		}
	}
	if claim.state == stateEnded && h.injected.answerUnreplicated {
		h.finish(claim)
	}
}

// finish reports once that the outcome is stored, and tells the replicas that they may return it.
func (h *Machine) finish(claim *claim) {
	if !claim.finished {
		claim.finished = true
		h.outputs.Finished = append(h.outputs.Finished, Finished{Key: claim.request.Key, ClaimID: claim.id, OK: true})
	}
	for _, replica := range h.replicas(claim.request.Key.Shard()) {
		h.send(replica.Box, Item{Kind: kindSealed, Key: claim.request.Key})
	}
}

// acknowledged reports whether all current replicas have acknowledged a claim's state.
func (h *Machine) acknowledged(claim *claim) bool {
	if claim.state == stateAsking {
		return false
	}
	replicas := h.replicas(claim.request.Key.Shard())
	for _, replica := range replicas {
		if !slices.Contains(claim.storedBy, replica) {
			return false
		}
	}
	return len(replicas) > 0
}

// updateClaim updates a claim for a new view: answers of earlier replicas no longer count, and new replicas are sent
// what is held and what has an outcome.
func (h *Machine) updateClaim(now time.Duration, claim *claim) {
	if claim.state == stateAsking {
		h.lastTry++
		claim.try, claim.primaryWon, claim.backupAcked = h.lastTry, false, false
	}
	switch {
	case claim.state == stateAsking, claim.state == stateEnded && !claim.finished:
		h.sendClaim(now, claim)
	case !claim.queued && !h.acknowledged(claim): // sent with the next ticks
		claim.queued, claim.sentAt, h.unacknowledged = true, now-h.limits.RetryInterval, append(h.unacknowledged, claim)
	}
}

func (h *Machine) claimTick(now time.Duration) {
	queued := h.unacknowledged
	h.unacknowledged = nil
	resent := 0
	for _, claim := range queued {
		claim.queued = false
		switch {
		case h.claims[claim.request.Key] != claim || h.acknowledged(claim):
			continue
		case claim.state == stateAsking && now >= claim.due:
			h.drop(claim)
			h.verdict(claim.request.Key, claim.id, Unavailable, nil, retryAfter, "the replicas did not answer in time")
			continue
		case now-claim.sentAt >= h.limits.RetryInterval && resent < maxResendsPerTick:
			resent++
			h.sendClaim(now, claim)
		}
		if !claim.queued {
			claim.queued, h.unacknowledged = true, append(h.unacknowledged, claim)
		}
	}
}

// handleAnswer processes a replica's answer to a claim. The primary's verdict and the backup's acknowledgement are both
// needed. A claim that is no longer wanted is released.
func (h *Machine) handleAnswer(now time.Duration, from Owner, item *Item) {
	claim := h.claims[item.Key]
	if claim == nil || claim.try != item.Try {
		if item.State == Won && (claim == nil || claim.try > item.Try) {
			h.send(from.Box, Item{Kind: kindRelease, Key: item.Key, Try: item.Try})
		}
		return
	}
	if claim.state != stateAsking {
		return
	}
	replicas := h.replicas(item.Key.Shard())
	position := slices.Index(replicas, from)
	if h.injected.epochUnchecked && position < 0 {
		position = map[Kind]int{kindVerdict: 0, kindAck: 1}[item.Kind]
	}
	switch {
	case position == 0 && item.Kind == kindVerdict && item.State == Won:
		claim.primaryWon = true
	case position == 1 && item.Kind == kindAck && item.State == Won:
		claim.backupAcked = true
	case position == 0 && item.Kind == kindVerdict, position == 1 && item.Kind == kindAck:
		h.drop(claim)
		var result []byte
		if item.End != nil {
			result = item.End.Result
		}
		h.verdict(item.Key, claim.id, item.State, result, item.After, item.Why)
		return
	default:
		return
	}
	if claim.primaryWon && (claim.backupAcked || len(replicas) == 1 || h.injected.primaryAlone) {
		h.expiries.add(claim.expires, item.Key, false)
		// The replicas are told with the next tick, unless there is an outcome by then.
		claim.state, claim.storedBy, claim.sentAt = stateHeld, nil, now
		h.verdict(item.Key, claim.id, Won, nil, 0, "the replicas have the claim")
	}
}

// handleStored processes a replica's acknowledgement of a claim's state.
func (h *Machine) handleStored(now time.Duration, from Owner, item *Item) {
	claim := h.claims[item.Key]
	if claim == nil || claim.try != item.Try {
		if claim == nil || claim.try > item.Try {
			h.send(from.Box, Item{Kind: kindRelease, Key: item.Key, Try: item.Try})
		}
		return
	}
	if claim.state == stateHeld && item.State == Won || claim.state == stateEnded && item.State == Done {
		if !slices.Contains(claim.storedBy, from) {
			claim.storedBy = append(claim.storedBy, from)
		}
		if claim.state == stateEnded && h.acknowledged(claim) {
			h.finish(claim)
		}
	}
}

// handleQuery answers a replica that queries the state of a key.
func (h *Machine) handleQuery(now time.Duration, from Owner, item *Item) {
	claim := h.claims[item.Key]
	switch {
	case claim == nil:
		if record := h.shards[item.Key.Shard()].records[item.Key]; record == nil || record.takeoverTry == 0 ||
			record.takeoverTry != item.Try {
			h.send(from.Box, Item{Kind: kindRelease, Key: item.Key, Try: item.Try})
		}
	case claim.state == stateAsking:
		if item.Try < claim.try { // the earlier try is given up; the current one is sent again in its time
			h.send(from.Box, Item{Kind: kindRelease, Key: item.Key, Try: item.Try})
		}
	default:
		if item.Kind == kindNeedBody && !slices.Contains(claim.needBody, from) {
			claim.needBody = append(claim.needBody, from)
		}
		claim.storedBy = slices.DeleteFunc(claim.storedBy, func(replica Owner) bool { return replica == from })
		h.sendClaim(now, claim)
	}
}
