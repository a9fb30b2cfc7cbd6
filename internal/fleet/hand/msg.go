package hand

import "time"

// Kind tells what an item of a message is.
type Kind uint8

// The kinds of item.
const (
	kClaim   Kind = iota + 1 // holder to homes: Piece, Try
	kVerdict                 // first home to holder: State, Try
	kAck                     // second home to holder: the claim is marked (State Won) or cannot be (Down)
	kHeld                    // holder to homes: it is mine since Try; with Piece if asked for it
	kEnd                     // holder to homes: Piece without body, End
	kSealed                  // holder to homes: all homes have the end
	kRelease                 // holder to homes: I do not have it, not by this Try
	kKept                    // home to holder: kHeld (State Won) or kEnd (Done) is on record
	kWant                    // home to holder: kHeld needs the body
	kAsk                     // home to holder: is this yours?
	kOffer                   // whole to home: I have all of Slice
	kNeed                    // home to whole: send them
	kPut                     // record of a slice, Try = number to acknowledge
	kPutOK                   //
	kCopied                  // all records of Slice are put
	kWhole                   // home to whole: I have all of Slice
)

// Msg is all that one box tells another in one drain. Items are never changed once sent.
type Msg struct {
	Epoch, Life uint64
	Refused     bool // nothing but: I am at Epoch, and took nothing of a message that was of another
	Items       []Item
}

// Item is one thing told. Which fields count depends on Kind.
type Item struct {
	Kind   Kind
	Key    Key           `cbor:",omitzero"`
	Slice  int           `cbor:",omitempty"`
	Try    uint64        `cbor:",omitempty"`
	State  State         `cbor:",omitempty"`
	Piece  *Piece        `cbor:",omitempty"`
	End    *End          `cbor:",omitempty"`
	Record *Record       `cbor:",omitempty"`
	After  time.Duration `cbor:",omitempty"`
	Why    string        `cbor:",omitempty"`
}

// End is how a piece ended.
type End struct {
	OK     bool
	Result []byte
	Why    string
}

// Record is what one home tells another of a key.
type Record struct {
	Piece  Piece
	Cands  []Cand
	End    *End
	Sealed bool
}

// Cand is a process that claimed a key and may have won it.
type Cand struct {
	Owner
	Try   uint64
	Held  bool // it said that it won
	Clear bool // its pool proved that it never ran the key, and is shut to it
	waits bool // it said in this epoch that it has not won
	// Of its try: its pool knows the run by it. Another try of the same piece has another.
	Handle string `cbor:",omitempty"`
	Cursor uint64 `cbor:",omitempty"`
}

func (h *Hand) send(to string, it Item) {
	if to == h.view.Self {
		h.self = append(h.self, it)
		return
	}
	if h.place == nil {
		h.place = map[string]int{}
	}
	i, ok := h.place[to]
	if !ok {
		i = len(h.out.Sends)
		h.place[to] = i
		h.out.Sends = append(h.out.Sends, Send{to, &Msg{}})
	}
	m := h.out.Sends[i].Msg
	if m.Epoch != h.view.Epoch || m.Refused { // of before a new view: it would be refused
		*m = Msg{Epoch: h.view.Epoch, Life: h.view.Life}
	}
	m.Items = append(m.Items, it)
}

// loop works off what this box told itself.
func (h *Hand) loop(now time.Duration) {
	for len(h.self) > 0 {
		items := h.self
		h.self = nil
		for i := range items {
			h.item(now, h.me(), &items[i])
		}
	}
}

// Receive takes a message of another box. One of another epoch or of a process that is not its box's present one has
// no effect; its sender is told which epoch this box is at.
func (h *Hand) Receive(now time.Duration, from string, m *Msg) {
	if !h.live(now) {
		return
	}
	h.newest = max(h.newest, m.Epoch)
	if m.Refused {
		return
	}
	o := Owner{from, m.Life}
	if m.Epoch != h.view.Epoch && !h.bug.epochUnchecked {
		if _, ok := h.place[from]; !ok {
			h.send(from, Item{})
			s := h.out.Sends[h.place[from]].Msg
			s.Refused, s.Items = true, nil
		}
		return
	}
	if !h.lives(o) && !h.bug.epochUnchecked {
		return
	}
	for i := range m.Items {
		h.item(now, o, &m.Items[i])
	}
	h.loop(now)
}

func (h *Hand) item(now time.Duration, from Owner, it *Item) {
	switch it.Kind {
	case kVerdict, kAck:
		h.answered(now, from, it)
	case kKept:
		h.kept(now, from, it)
	case kWant, kAsk:
		h.asked(now, from, it)
	case kOffer, kNeed, kCopied, kWhole:
		if it.Slice >= 0 && it.Slice < Slices {
			h.copying(now, from, it)
		}
	case kPutOK:
		h.putOK(now, from, it)
	default:
		i := it.Key.Slice()
		s := &h.slices[i]
		if s.place == 0 {
			return
		}
		switch it.Kind {
		case kClaim:
			if it.Piece != nil {
				h.claimed(now, s, from, it)
			}
		case kHeld:
			h.held(now, s, from, it)
		case kEnd:
			h.ended(now, s, from, it)
		case kSealed:
			if r := s.recs[it.Key]; r != nil && r.end != nil {
				r.sealed = true
			}
		case kRelease:
			h.released(s, from, it)
		case kPut:
			if it.Record != nil {
				h.put(now, s, from, it)
			}
		}
	}
}
