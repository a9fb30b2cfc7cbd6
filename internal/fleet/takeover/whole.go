package takeover

import (
	"slices"
	"time"
)

// shardState is a shard at a server that is a replica of it, or was one in the previous view.
type shardState struct {
	role          int           // 1 = primary, 2 = backup, 0 = none
	inSync        bool          // its records are a superset of all unexpired claims that may have won
	since         time.Duration // since when it has been a replica without a break
	records       map[Key]*storedRecord
	copies        map[string]*shardCopy // copies in progress, by the server that receives them
	syncedPeers   []string              // servers that have reported to be in sync
	offeredAt     time.Duration         // when the other replicas were last told that this server is in sync
	source        string                // server whose copy it receives
	sourceHeardAt time.Duration         // when that last sent something
}

// shardCopy is a copy of a shard in progress to one server.
type shardCopy struct {
	remaining      []*storedRecord
	unacknowledged map[uint64]*storedRecord // unacknowledged records by number
	sentAt         time.Duration
}

// updateShard updates a shard for a new view. A server that was in sync and is no longer a replica keeps the shard for
// this one view, to copy it to the new replicas. A new replica starts empty and is not in sync, unless the shard never
// had replicas.
func (h *Machine) updateShard(now time.Duration, index int, follows bool) {
	shard := &h.shards[index]
	previous, role := shard.role, 0
	replicas := h.view.Replicas(index)
	for j := range min(2, len(replicas)) {
		if replicas[j] == h.view.Self {
			role = j + 1
		}
	}
	fresh := role > 0 && h.view.NewShard != nil && h.view.NewShard(index)
	if previous == 0 && role == 0 && shard.records == nil && !shard.inSync {
		return
	}
	shard.role, shard.copies, shard.syncedPeers, shard.source, shard.offeredAt = role, nil, nil, "", 0
	switch {
	case role > 0 && previous > 0 && follows: // unchanged
		shard.inSync = shard.inSync || h.injected.promoteUnsynced && role == 1
	case role > 0:
		h.clearShard(shard)
		shard.inSync, shard.since = h.injected.noQuarantine, now
	case previous == 0 || !shard.inSync || !follows:
		h.clearShard(shard)
		shard.inSync = false
	}
	shard.inSync = shard.inSync || fresh
	for _, key := range sortedKeys(shard.records) {
		record := shard.records[key]
		for j := range record.candidates {
			record.candidates[j].notWon = false
		}
		if record.putNumber, record.sentAt, record.probedAt = 0, 0, 0; role != 1 || previous != 1 {
			h.cancelTakeover(record)
			record.owner = Owner{}
		}
		if role > 0 && (record.outcome == nil || !record.sealed) {
			h.watch(now, record)
		}
	}
}

func (h *Machine) clearShard(shard *shardState) {
	for _, record := range shard.records {
		h.deleteRecord(shard, record)
	}
	shard.records = nil
}

// offerSync tells the replicas of shards for which this server is in sync, until they report to be in sync too.
func (h *Machine) offerSync(now time.Duration) {
	for _, index := range h.localShards {
		shard := &h.shards[index]
		if !shard.inSync {
			continue
		}
		for name, transfer := range shard.copies {
			if now-transfer.sentAt >= h.limits.RetryInterval && !slices.Contains(shard.syncedPeers, name) {
				for _, number := range sortedNumbers(transfer.unacknowledged) {
					h.send(name, Item{Kind: kindPut, Key: transfer.unacknowledged[number].request.Key, Try: number,
						Record: h.recordMessage(now, transfer.unacknowledged[number])})
				}
				transfer.sentAt = now
				h.continueCopy(now, index, name, transfer)
			}
		}
		if shard.offeredAt != 0 && now-shard.offeredAt < h.limits.RetryInterval {
			continue
		}
		shard.offeredAt = now
		for _, replica := range h.replicas(index) {
			if replica != h.self() && !slices.Contains(shard.syncedPeers, replica.Box) {
				h.send(replica.Box, Item{Kind: kindSyncOffer, Slice: index})
			}
		}
	}
}

func sortedNumbers(m map[uint64]*storedRecord) []uint64 {
	numbers := make([]uint64, 0, len(m))
	for number := range m {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// handleSync handles a message about copying a shard from a server in sync to one that is not.
func (h *Machine) handleSync(now time.Duration, from Owner, item *Item) {
	shard := &h.shards[item.Slice]
	switch item.Kind {
	case kindSyncOffer:
		switch {
		case shard.role == 0:
		case shard.inSync:
			h.send(from.Box, Item{Kind: kindInSync, Slice: item.Slice})
		case shard.source == "" || shard.source == from.Box || now-shard.sourceHeardAt > copySourceTimeout:
			if shard.source != from.Box {
				shard.source, shard.sourceHeardAt = from.Box, now
			}
			h.send(from.Box, Item{Kind: kindSyncRequest, Slice: item.Slice})
		}
	case kindSyncRequest:
		if !shard.inSync || shard.copies[from.Box] != nil || h.copiesInFlight >= maxCopiesInFlight {
			return
		}
		transfer := &shardCopy{unacknowledged: map[uint64]*storedRecord{}}
		for _, key := range sortedKeys(shard.records) {
			transfer.remaining = append(transfer.remaining, shard.records[key])
		}
		if shard.copies == nil {
			shard.copies = map[string]*shardCopy{}
		}
		shard.copies[from.Box] = transfer
		h.continueCopy(now, item.Slice, from.Box, transfer)
	case kindCopied:
		if shard.role > 0 {
			shard.inSync = true
			h.send(from.Box, Item{Kind: kindInSync, Slice: item.Slice})
		}
	case kindInSync:
		if shard.inSync && !slices.Contains(shard.syncedPeers, from.Box) {
			shard.syncedPeers = append(shard.syncedPeers, from.Box)
			if transfer := shard.copies[from.Box]; transfer != nil {
				h.copiesInFlight -= len(transfer.unacknowledged)
			}
			delete(shard.copies, from.Box)
			if shard.role == 0 { // one replica has it, and copies it to the other
				h.clearShard(shard)
				shard.inSync = false
			}
		}
	}
}

// continueCopy sends further records of a copy up to its bounds, and reports when all have been sent.
func (h *Machine) continueCopy(now time.Duration, shard int, to string, transfer *shardCopy) {
	bytes := int64(0)
	for _, record := range transfer.unacknowledged {
		bytes += record.contentSize()
	}
	for len(transfer.remaining) > 0 && len(transfer.unacknowledged) < maxCopyRecords && bytes < maxCopyBytes {
		record := transfer.remaining[0]
		transfer.remaining = transfer.remaining[1:]
		if h.shards[shard].records[record.request.Key] != record {
			continue // released or expired since
		}
		h.lastTry++
		transfer.unacknowledged[h.lastTry] = record
		h.copiesInFlight++
		bytes += record.contentSize()
		transfer.sentAt = now
		h.send(to, Item{Kind: kindPut, Key: record.request.Key, Try: h.lastTry, Record: h.recordMessage(now, record)})
	}
	if len(transfer.remaining) == 0 && len(transfer.unacknowledged) == 0 {
		h.send(to, Item{Kind: kindCopied, Slice: shard})
	}
}

// handlePut merges a record of the other replica, or of a former one, with what is known here, so that no process that
// may have won goes missing.
func (h *Machine) handlePut(now time.Duration, shard *shardState, from Owner, item *Item) {
	request := &item.Record.Piece
	record := shard.records[item.Key]
	if record == nil {
		if !h.hasRoom(int64(len(request.Body)), 2) {
			return // it is sent again
		}
		record = h.newRecord(now, shard, item.Key, request)
	}
	if shard.source == from.Box {
		shard.sourceHeardAt = now
	}
	if outcome := item.Record.End; outcome != nil {
		if record.outcome != nil && (item.Record.Sealed || outcome.OK) { // an actual outcome precedes a takeover's decision
			h.replaceOutcome(now, record, outcome)
		}
		h.setOutcome(now, record, outcome)
		record.sealed = record.sealed || item.Record.Sealed
	}
	for _, candidate := range item.Record.Cands {
		candidate.notWon = false
		h.addCandidate(record, candidate)
	}
	reply := Item{Kind: kindPutAck, Key: item.Key, Try: item.Try}
	if record.outcome != nil && (item.Record.End == nil || !record.outcome.same(item.Record.End)) {
		reply.End = record.outcome // the lost server reported it to this replica only
	}
	h.send(from.Box, reply)
}

// handlePutAck processes the acknowledgement of a record: of a copy, or of one that was sent to the backup.
func (h *Machine) handlePutAck(now time.Duration, from Owner, item *Item) {
	index := item.Key.Shard()
	shard := &h.shards[index]
	if transfer := shard.copies[from.Box]; transfer != nil && transfer.unacknowledged[item.Try] != nil {
		delete(transfer.unacknowledged, item.Try)
		h.copiesInFlight--
		h.continueCopy(now, index, from.Box, transfer)
	}
	replicas := h.replicas(index)
	if record := shard.records[item.Key]; record != nil && shard.role == 1 && record.putNumber == item.Try &&
		len(replicas) == 2 && replicas[1] == from {
		if item.End != nil {
			h.replaceOutcome(now, record, item.End)
		}
		h.replicated(now, record)
	}
}
