package takeover

import (
	"bytes"
	"container/heap"
	"slices"
	"time"
)

// storedRecord is a key at one of its replicas.
type storedRecord struct {
	request      KeyedRequest // Body is nil until a message brings it
	shard        int
	candidates   []Candidate // a superset of the processes that may have won it; no duplicates
	owner        Owner       // at the primary: the process that has it
	outcome      *Outcome
	sealed       bool // the other replica has the outcome too: it may be returned
	due, expires time.Duration
	watched      bool // it is in Machine.openRecords
	queriedAt    time.Duration
	probedAt     time.Duration // when the pools of lost candidates were last queried; 0 = never
	takeoverTry  uint64        // try of a takeover that the backup has not acknowledged
	putNumber    uint64        // number of the last kindPut to the backup
	sentAt       time.Duration // when that was sent
}

func (r *storedRecord) indexOf(owner Owner) int {
	return slices.IndexFunc(r.candidates, func(candidate Candidate) bool { return candidate.Owner == owner })
}

// size returns the accounted size.
func (r *storedRecord) size() int64 { return recordOverheadBytes + r.contentSize() }

// contentSize returns the size of the body and the result.
func (r *storedRecord) contentSize() int64 {
	total := int64(len(r.request.Body))
	if r.outcome != nil {
		total += int64(len(r.outcome.Result))
	}
	return total
}

// hasRoom reports whether a replica can store one more record, of contentSize bytes. factor is 1 for new claims; records that others already
// hold are accepted up to twice the limit.
func (h *Machine) hasRoom(contentSize int64, factor int) bool {
	return h.recordCount < factor*h.limits.Records &&
		h.recordBytes+recordOverheadBytes+contentSize <= int64(factor)*h.limits.Bytes
}

// newRecord creates a record.
func (h *Machine) newRecord(now time.Duration, shard *shardState, key Key, request *KeyedRequest) *storedRecord {
	created := &storedRecord{request: *request, shard: key.Shard(), due: now + request.Due,
		expires: now + min(request.Life, h.limits.MaxRetention)}
	created.request.Key = key
	if shard.records == nil {
		shard.records = map[Key]*storedRecord{}
	}
	shard.records[key] = created
	h.recordCount++
	h.recordBytes += created.size()
	h.expiries.add(created.expires, key, true)
	h.watch(now, created)
	return created
}

// watch makes the ticks check a record until it has a sealed outcome.
func (h *Machine) watch(now time.Duration, record *storedRecord) {
	if !record.watched {
		record.watched, record.queriedAt, h.openRecords = true, now, append(h.openRecords, record)
	}
}

func (h *Machine) deleteRecord(shard *shardState, record *storedRecord) {
	if shard.records[record.request.Key] == record {
		delete(shard.records, record.request.Key)
		h.recordCount--
		h.recordBytes -= record.size()
		h.cancelTakeover(record)
	}
}

// setOutcome sets the outcome of a request, unless it has one.
func (h *Machine) setOutcome(now time.Duration, record *storedRecord, outcome *Outcome) {
	if record.outcome == nil {
		h.recordBytes -= record.size()
		h.cancelTakeover(record)
		record.outcome, record.request.Body, record.putNumber, record.queriedAt = outcome, nil, 0, now
		h.recordBytes += record.size()
		h.watch(now, record)
	}
}

// replaceOutcome replaces an outcome that was returned to nobody: the other replica has a more reliable one.
func (h *Machine) replaceOutcome(now time.Duration, record *storedRecord, outcome *Outcome) {
	if !record.sealed {
		h.recordBytes -= record.size()
		record.outcome = nil
		h.recordBytes += record.size()
		h.setOutcome(now, record, outcome)
	}
}

func (e *Outcome) same(other *Outcome) bool {
	return e.OK == other.OK && bytes.Equal(e.Result, other.Result)
}

// addCandidate adds or updates a candidate.
func (h *Machine) addCandidate(record *storedRecord, candidate Candidate) *Candidate {
	index := record.indexOf(candidate.Owner)
	if index < 0 {
		record.candidates = append(record.candidates, candidate)
		return &record.candidates[len(record.candidates)-1]
	}
	existing := &record.candidates[index]
	if candidate.Try > existing.Try {
		existing.Try, existing.Held, existing.Handle, existing.Cursor = candidate.Try, false, candidate.Handle, candidate.Cursor
	}
	if candidate.Try == existing.Try && existing.Handle == "" {
		existing.Handle, existing.Cursor = candidate.Handle, candidate.Cursor
	}
	existing.Held = existing.Held || candidate.Held && candidate.Try == existing.Try
	existing.Clear = existing.Clear || candidate.Clear
	return existing
}

// candidateOf returns the candidate that an item describes.
func candidateOf(owner Owner, item *Item) Candidate {
	candidate := Candidate{Owner: owner, Try: item.Try}
	if item.Piece != nil {
		candidate.Handle, candidate.Cursor = item.Piece.Handle, item.Piece.Cursor
	}
	return candidate
}

// determineOwner determines the owner of a key at its primary: the process that it was given to, or the only candidate.
// Among several candidates there is none.
func (h *Machine) determineOwner(shard *shardState, record *storedRecord) {
	if record.owner != (Owner{}) && record.indexOf(record.owner) >= 0 {
		return
	}
	record.owner = Owner{}
	if !shard.inSync {
		return // processes that are unknown here may have claimed it
	}
	remaining := 0
	for _, candidate := range record.candidates {
		if !candidate.Clear {
			record.owner = candidate.Owner
			remaining++
		}
	}
	if h.injected.contestedOwner && remaining > 0 {
		record.owner = record.candidates[0].Owner
	} else if remaining != 1 {
		record.owner = Owner{}
	}
}

// handleClaim processes a claim at a replica: the backup records it, the primary decides the order of claims.
func (h *Machine) handleClaim(now time.Duration, shard *shardState, from Owner, item *Item) {
	record := shard.records[item.Key]
	reply := func(kind Kind, state ClaimState, outcome *Outcome, why string) {
		answer := Item{Kind: kind, Key: item.Key, Try: item.Try, State: state, End: outcome, Why: why}
		if state == Unavailable {
			answer.After = retryAfter
		}
		h.send(from.Box, answer)
	}
	answerKind := kindVerdict
	if shard.role == 2 {
		answerKind = kindAck
	}
	if record == nil {
		switch {
		case shard.role == 1 && !shard.inSync:
			reply(answerKind, Unavailable, nil, "its first home does not yet know all claims of before")
			return
		case !h.hasRoom(int64(len(item.Piece.Body)), 1):
			reply(answerKind, Unavailable, nil, "its home has no room")
			return
		}
		if shard.role == 1 || !h.injected.ackUnrecorded {
			record = h.newRecord(now, shard, item.Key, item.Piece)
			record.owner = from
			h.addCandidate(record, candidateOf(from, item))
		}
		reply(answerKind, Won, nil, "")
		return
	}
	if shard.role == 2 {
		if record.outcome == nil && record.request.Sum != item.Piece.Sum {
			reply(answerKind, HeldElsewhere, nil, "its second home has a claim for another body")
			return
		}
		if record.outcome == nil {
			h.addCandidate(record, candidateOf(from, item))
		}
		reply(answerKind, Won, nil, "")
		return
	}
	if record.request.Sum != item.Piece.Sum {
		reply(answerKind, BodyMismatch, nil, "the key belongs to another body")
		return
	}
	if record.outcome != nil {
		if record.sealed || h.injected.answerUnreplicated {
			reply(answerKind, endState(record.outcome), record.outcome, record.outcome.Why)
		} else {
			reply(answerKind, HeldElsewhere, nil, "its end is not yet at both homes")
		}
		return
	}
	h.determineOwner(shard, record)
	index := record.indexOf(from)
	switch {
	case record.owner == from && shard.inSync:
		h.addCandidate(record, candidateOf(from, item))
		reply(answerKind, Won, nil, "")
	case record.owner != (Owner{}) && record.owner != from:
		reply(answerKind, HeldElsewhere, nil, "another box has it")
	case index < 0 || !shard.inSync:
		reply(answerKind, HeldElsewhere, nil, "several boxes may have it")
	default:
		h.addCandidate(record, candidateOf(from, item)).notWon = true
		for _, candidate := range record.candidates {
			if !candidate.Clear && !(candidate.notWon && h.isCurrent(candidate.Owner)) {
				reply(answerKind, HeldElsewhere, nil, "several boxes may have it")
				return
			}
		}
		record.owner = from
		reply(answerKind, Won, nil, "")
	}
}

// handleHeld processes an owner's report that it won.
func (h *Machine) handleHeld(now time.Duration, shard *shardState, from Owner, item *Item) {
	record := shard.records[item.Key]
	if record == nil {
		if item.Piece == nil {
			h.send(from.Box, Item{Kind: kindNeedBody, Key: item.Key, Try: item.Try})
			return
		}
		if !h.hasRoom(int64(len(item.Piece.Body)), 2) {
			return // it is sent again
		}
		record = h.newRecord(now, shard, item.Key, item.Piece)
	}
	if record.outcome == nil {
		// Only the request has the handle of the run.
		if index := record.indexOf(from); item.Piece == nil && (index < 0 || record.candidates[index].Try < item.Try) {
			h.send(from.Box, Item{Kind: kindNeedBody, Key: item.Key, Try: item.Try})
			return
		}
		candidate := candidateOf(from, item)
		candidate.Held = true
		current := h.addCandidate(record, candidate)
		if current.Try != item.Try {
			return // given up since
		}
		current.notWon = false
		if h.determineOwner(shard, record); record.owner == (Owner{}) {
			record.owner = from
		}
	}
	h.send(from.Box, Item{Kind: kindStored, Key: item.Key, Try: item.Try, State: Won})
}

// handleOutcome processes the outcome that an owner reports.
func (h *Machine) handleOutcome(now time.Duration, shard *shardState, from Owner, item *Item) {
	record := shard.records[item.Key]
	if item.End == nil || record == nil && item.Piece == nil {
		return
	}
	if record == nil || record.outcome == nil {
		if !h.hasRoom(int64(len(item.End.Result)), 2) {
			return
		}
		if record == nil {
			record = h.newRecord(now, shard, item.Key, item.Piece)
		}
		h.addCandidate(record, Candidate{Owner: from, Try: item.Try, Held: true})
		h.setOutcome(now, record, item.End)
	}
	h.send(from.Box, Item{Kind: kindStored, Key: item.Key, Try: item.Try, State: Done})
}

// handleRelease processes a server's report that it does not hold a key by a try, and never will.
func (h *Machine) handleRelease(shard *shardState, from Owner, item *Item) {
	record := shard.records[item.Key]
	if record == nil || record.outcome != nil {
		return
	}
	index := record.indexOf(from)
	if index < 0 || record.candidates[index].Try > item.Try {
		return
	}
	if record.candidates = slices.Delete(record.candidates, index, index+1); len(record.candidates) == 0 {
		h.deleteRecord(shard, record)
	}
}

// recordTick queries claims of registered servers, and has the backup acknowledge what the primary decided.
func (h *Machine) recordTick(now time.Duration) {
	for _, i := range h.localShards {
		if shard := &h.shards[i]; shard.role > 0 && !shard.inSync && now-shard.since >= h.limits.MaxRetention+h.limits.MaxViewLag {
			shard.inSync = true // no claim made before is still unknown
		}
	}
	h.offerSync(now)
	open := h.openRecords[:0]
	for _, record := range h.openRecords {
		shard := &h.shards[record.shard]
		if shard.records[record.request.Key] != record || shard.role == 0 ||
			record.outcome != nil && (record.sealed || shard.role == 2) {
			record.watched = false
			continue
		}
		open = append(open, record)
		switch {
		case shard.role == 1 && (record.takeoverTry != 0 ||
			record.outcome != nil && now-record.queriedAt >= unconfirmedQueryInterval):
			if now-record.sentAt >= h.limits.RetryInterval {
				h.replicate(now, record)
			}
		case record.outcome == nil:
			h.query(now, shard, record)
		}
	}
	clear(h.openRecords[len(open):])
	h.openRecords = open
}

// query queries the registered candidates: after a short interval while any is unconfirmed, else after a long one.
func (h *Machine) query(now time.Duration, shard *shardState, record *storedRecord) {
	interval := confirmedQueryInterval
	for _, candidate := range record.candidates {
		if !candidate.Held && h.isCurrent(candidate.Owner) {
			interval = unconfirmedQueryInterval
		}
	}
	if now-record.queriedAt < interval {
		return
	}
	record.queriedAt = now
	for _, candidate := range record.candidates {
		if h.isCurrent(candidate.Owner) && !(shard.role == 1 && candidate.notWon) {
			h.send(candidate.Box, Item{Kind: kindQuery, Key: record.request.Key, Try: candidate.Try})
		}
	}
}

// replicate sends a record to the backup, which must acknowledge it before it takes effect. Without a backup it takes
// effect at once.
func (h *Machine) replicate(now time.Duration, record *storedRecord) {
	h.lastTry++
	record.putNumber, record.sentAt = h.lastTry, now
	replicas := h.replicas(record.shard)
	if len(replicas) < 2 || record.takeoverTry != 0 && h.injected.adoptUnreplicated {
		h.replicated(now, record)
	}
	if len(replicas) == 2 {
		h.send(replicas[1].Box, Item{Kind: kindPut, Key: record.request.Key, Try: record.putNumber,
			Record: h.recordMessage(now, record)})
	}
}

func (h *Machine) recordMessage(now time.Duration, record *storedRecord) *Record {
	message := &Record{Piece: record.request, Cands: slices.Clone(record.candidates), End: record.outcome, Sealed: record.sealed}
	message.Piece.Due, message.Piece.Life = max(0, record.due-now), max(0, record.expires-now)
	return message
}

// replicated applies what the backup has acknowledged.
func (h *Machine) replicated(now time.Duration, record *storedRecord) {
	if record.putNumber = 0; record.outcome != nil {
		record.sealed = true
	} else if record.takeoverTry != 0 {
		h.adopt(now, record)
	}
}

// expiries is a heap of the times at which keys are deleted.
type expiries []expiry

type expiry struct {
	at     time.Duration
	key    Key
	record bool // the record at this replica; else this server's claim
}

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].at < e[j].at }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiries) Push(entry any)    { *e = append(*e, entry.(expiry)) }
func (e *expiries) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = expiry{}
	*e = old[:len(old)-1]
	return last
}

func (e *expiries) add(at time.Duration, key Key, home bool) { heap.Push(e, expiry{at, key, home}) }

// compactExpiries removes the entries of keys that are already deleted, once they are the majority.
func (h *Machine) compactExpiries() {
	if len(h.expiries) < 1024+2*(h.recordCount+len(h.claims)) {
		return
	}
	h.expiries = slices.DeleteFunc(h.expiries, func(entry expiry) bool {
		if entry.record {
			record := h.shards[entry.key.Shard()].records[entry.key]
			return record == nil || record.expires != entry.at
		}
		claim := h.claims[entry.key]
		return claim == nil || claim.expires != entry.at
	})
	heap.Init(&h.expiries)
}

// expire deletes what has expired. A request that its server still holds is then reported as failed: its time passed
// long ago.
func (h *Machine) expire(now time.Duration) {
	h.compactExpiries()
	for len(h.expiries) > 0 && h.expiries[0].at <= now {
		entry := heap.Pop(&h.expiries).(expiry)
		if entry.record {
			shard := &h.shards[entry.key.Shard()]
			if record := shard.records[entry.key]; record != nil && record.expires <= now {
				h.deleteRecord(shard, record)
			}
		} else if claim := h.claims[entry.key]; claim != nil && claim.expires <= now {
			switch {
			case claim.state == stateAsking: // its own due time ends it
				continue
			case claim.state == stateEnded && !claim.finished:
				h.outputs.Finished = append(h.outputs.Finished, Finished{Key: entry.key})
			case claim.state == stateHeld && claim.adopted:
				h.adoptedCount--
			}
			h.claimBytes -= claim.size()
			delete(h.claims, entry.key)
		}
	}
}
