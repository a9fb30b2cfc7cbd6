package takeover

import "time"

// Kind is the kind of an item of a message.
type Kind uint8

// The kinds of item.
const (
	kindClaim       Kind = iota + 1 // owner to replicas: claims the key (Piece, Try)
	kindVerdict                     // primary to owner: answers a claim (State, Try)
	kindAck                         // backup to owner: the claim is recorded (State Won) or cannot be (Unavailable)
	kindHeld                        // owner to replicas: it has held the key since Try; with Piece if requested
	kindOutcome                     // owner to replicas: the outcome (End), and Piece without body
	kindSealed                      // owner to replicas: all replicas have the outcome
	kindRelease                     // owner to replicas: it does not hold the key by this Try
	kindStored                      // replica to owner: kindHeld (State Won) or kindOutcome (Done) is recorded
	kindNeedBody                    // replica to owner: kindHeld needs the body
	kindQuery                       // replica to owner: does it hold this key?
	kindSyncOffer                   // replica in sync to another: has all records of Slice
	kindSyncRequest                 // answers kindSyncOffer: requests the records
	kindPut                         // a record of a shard; Try is the number to acknowledge
	kindPutAck                      // acknowledges kindPut
	kindCopied                      // all records of Slice have been sent
	kindInSync                      // replica to a replica in sync: has all records of Slice too
)

// Message is everything that one server sends to another in one call of TakeOutputs. Items are never modified once sent.
type Message struct {
	Epoch, Life uint64 // Life is the fencing token of the sender
	Refused     bool   // the sender is at Epoch and ignored a message of another epoch; there are no items
	Items       []Item
}

// Item is one item of a message. Which fields are used depends on Kind.
type Item struct {
	Kind   Kind
	Key    Key           `cbor:",omitzero"`
	Slice  int           `cbor:",omitempty"` // the shard
	Try    uint64        `cbor:",omitempty"`
	State  ClaimState    `cbor:",omitempty"`
	Piece  *KeyedRequest `cbor:",omitempty"`
	End    *Outcome      `cbor:",omitempty"`
	Record *Record       `cbor:",omitempty"`
	After  time.Duration `cbor:",omitempty"`
	Why    string        `cbor:",omitempty"`
}

// Outcome is the outcome of a request.
type Outcome struct {
	OK     bool
	Result []byte
	Why    string
}

// Record is what replicas exchange about a key.
type Record struct {
	Piece  KeyedRequest
	Cands  []Candidate
	End    *Outcome
	Sealed bool
}

// Candidate is a process that claimed a key and may have won it.
type Candidate struct {
	Owner
	Try    uint64
	Held   bool // it reported that it won
	Clear  bool // its pool proved that it never ran the key, and no longer accepts it
	notWon bool // it reported in this epoch that it has not won
	// Of its try: the pool knows the run by this handle. Another try for the same request has another.
	Handle string `cbor:",omitempty"`
	Cursor uint64 `cbor:",omitempty"`
}

// Size returns the approximate bytes of a message in memory, and as sent.
func (m *Message) Size() int {
	total := 0
	for i := range m.Items {
		total += m.Items[i].size()
	}
	return total
}

const (
	itemOverheadBytes    = 256 // of an item, without what it points to
	requestOverheadBytes = 256 // of a KeyedRequest, without its body
)

func (item *Item) size() int {
	total := itemOverheadBytes
	if item.Piece != nil {
		total += requestOverheadBytes + len(item.Piece.Body)
	}
	if item.End != nil {
		total += len(item.End.Result)
	}
	if item.Record != nil {
		total += requestOverheadBytes + len(item.Record.Piece.Body)
		if item.Record.End != nil {
			total += len(item.Record.End.Result)
		}
	}
	return total
}

func (h *Machine) send(to string, item Item) {
	if to == h.view.Self {
		h.loopback = append(h.loopback, item)
		return
	}
	if h.sendIndex == nil {
		h.sendIndex = map[string]int{}
	}
	index, ok := h.sendIndex[to]
	if !ok {
		index = len(h.outputs.Sends)
		h.sendIndex[to] = index
		h.outputs.Sends = append(h.outputs.Sends, Send{to, &Message{}})
	}
	message := h.outputs.Sends[index].Msg
	if message.Epoch != h.view.Epoch || message.Refused { // made before a new view: it would be refused
		*message = Message{Epoch: h.view.Epoch, Life: h.view.Token}
	}
	message.Items = append(message.Items, item)
}

// deliverLoopback processes the messages of this server to itself.
func (h *Machine) deliverLoopback(now time.Duration) {
	for len(h.loopback) > 0 {
		items := h.loopback
		h.loopback = nil
		for i := range items {
			h.handleItem(now, h.self(), &items[i])
		}
	}
}

// Receive processes a message of another server. A message of another epoch, or of a process that is not its server's
// current one, has no effect; the sender of another epoch is told which epoch this server is at.
func (h *Machine) Receive(now time.Duration, from string, message *Message) {
	if !h.active(now) {
		return
	}
	h.newestEpoch = max(h.newestEpoch, message.Epoch)
	if message.Refused {
		return
	}
	owner := Owner{from, message.Life}
	if message.Epoch != h.view.Epoch && !h.injected.epochUnchecked {
		if _, ok := h.sendIndex[from]; !ok {
			h.send(from, Item{})
			reply := h.outputs.Sends[h.sendIndex[from]].Msg
			reply.Refused, reply.Items = true, nil
		}
		return
	}
	if !h.isCurrent(owner) && !h.injected.epochUnchecked {
		return
	}
	for i := range message.Items {
		h.handleItem(now, owner, &message.Items[i])
	}
	h.deliverLoopback(now)
}

func (h *Machine) handleItem(now time.Duration, from Owner, item *Item) {
	switch item.Kind {
	case kindVerdict, kindAck:
		h.handleAnswer(now, from, item)
	case kindStored:
		h.handleStored(now, from, item)
	case kindNeedBody, kindQuery:
		h.handleQuery(now, from, item)
	case kindSyncOffer, kindSyncRequest, kindCopied, kindInSync:
		if item.Slice >= 0 && item.Slice < Shards {
			h.handleSync(now, from, item)
		}
	case kindPutAck:
		h.handlePutAck(now, from, item)
	default:
		i := item.Key.Shard()
		shard := &h.shards[i]
		if shard.role == 0 {
			return
		}
		switch item.Kind {
		case kindClaim:
			if item.Piece != nil {
				h.handleClaim(now, shard, from, item)
			}
		case kindHeld:
			h.handleHeld(now, shard, from, item)
		case kindOutcome:
			h.handleOutcome(now, shard, from, item)
		case kindSealed:
			if record := shard.records[item.Key]; record != nil && record.outcome != nil {
				record.sealed = true
			}
		case kindRelease:
			h.handleRelease(shard, from, item)
		case kindPut:
			if item.Record != nil {
				h.handlePut(now, shard, from, item)
			}
		}
	}
}
