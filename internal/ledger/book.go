package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds of a book.
const (
	MaxNames       = 4096 // stands, and classes
	MaxCorrections = 8192 // within the kept periods
	MaxNotes       = 1024 // unclean ends and clock steps within the kept periods
	maxOpen        = 64   // periods that are not closed: clocks step
	batchLines     = 2000 // of one batch; the rest waits for the next
)

// Cell is what figures are summed by. Late marks entries whose own period was closed when they came.
type Cell struct {
	Period int64 // its start
	Stand  uint16
	Class  uint16
	End    End
	Replay bool
	Late   bool
}

func (a Cell) compare(b Cell) int {
	return cmp.Or(cmp.Compare(a.Period, b.Period), cmp.Compare(a.Stand, b.Stand), cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.End, b.End), order(a.Replay, b.Replay), order(a.Late, b.Late))
}

// order puts false before true.
func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Gap is a number of entries of one stand in one period that were not kept.
type Gap struct {
	Period  int64  `cbor:"1,keyasint"`
	Stand   uint16 `cbor:"2,keyasint"`
	Entries int64  `cbor:"3,keyasint"`
}

type gapKey struct {
	period int64
	stand  uint16
}

// Unclean is an incarnation that ended without notice. What it had not written is missing: of answered
// requests none in strict mode while the machine went on, else up to AtMost entries.
type Unclean struct {
	Incarnation uint32 `cbor:"1,keyasint" json:"incarnation"`
	From        int64  `cbor:"2,keyasint" json:"from_ms"` // the last that is known of it
	To          int64  `cbor:"3,keyasint" json:"to_ms"`   // the next start
	Strict      bool   `cbor:"4,keyasint" json:"strict"`
	SameBoot    bool   `cbor:"5,keyasint" json:"same_boot"`
	AtMost      int64  `cbor:"6,keyasint" json:"at_most"`
}

// Whole tells that no answered request is missing.
func (u Unclean) Whole() bool { return u.Strict && u.SameBoot }

// sums are a cell's figures: all that was booked, and what of it is in no batch yet.
type sums struct{ total, waiting Figures }

// Sealed is a batch that waits to be acknowledged. Its bytes are in the caller's log.
type Sealed struct {
	Seq  uint64 `cbor:"1,keyasint"`
	Hash Hash   `cbor:"2,keyasint"`
	Size int    `cbor:"3,keyasint"`
}

// Policy is what the operator sets.
type Policy struct {
	Calendar    Calendar
	Grace       int64 // ms after a period's end until it closes
	Keep        int   // closed periods whose figures stay here
	ExportEvery int64 // ms between two batches
	MaxPending  int   // bytes of batches that wait for the collector; beyond, use goes on to be summed here
	MaxCells    int   // sums that are kept; an entry that needs a further one is refused
}

// Book is the state of one box's ledger. All its changes are records: a method that begins with Propose gives
// the record of a change, or says why it cannot be, and changes nothing; Apply carries a record out. The same
// records in the same order give the same book. It is not safe for concurrent use.
type Book struct {
	Box    string
	ID     ID
	policy Policy

	start   Start
	running bool // start is not followed by a stop
	last    int64

	stands, classes     []string
	standAt, classAt    map[string]uint16
	periods             map[int64]Period
	closed              int64 // periods that end by then are closed
	cells               map[Cell]*sums
	gaps                map[gapKey]*[2]int64 // all, and in no batch yet
	corrections         map[string]*Adjustment
	adjusted            []string // ids of corrections in no batch yet
	unclean             []Unclean
	steps               []Step
	uncleanOut, stepOut int // how many of them are in a batch

	booked, sealed Figures // over all time
	lost, lostOut  int64   // entries in gaps, and of them those in batches
	seq            uint64  // of the newest batch
	prev           Hash    // its hash
	sealedAt       int64
	told           int64 // closed, as the newest batch says it
	pending        []Sealed
	forgotten      int64 // figures of periods that end by then may be gone

	cache Period // the period of the last entry
}

// NewBook gives the empty book of a box whose ledger begins at a time.
func NewBook(box string, id ID, p Policy, at int64) *Book {
	b := &Book{Box: box, ID: id, policy: p, standAt: map[string]uint16{}, classAt: map[string]uint16{}, periods: map[int64]Period{},
		cells: map[Cell]*sums{}, gaps: map[gapKey]*[2]int64{}, corrections: map[string]*Adjustment{}, sealedAt: at, last: at}
	b.closed = p.Calendar.At(at).Start
	return b
}

// SetPolicy changes the policy; periods that are known stay as they are. Records are read under the calendar of the
// snapshot before them, so a caller writes a snapshot after it.
func (b *Book) SetPolicy(p Policy) { b.policy, b.cache = p, Period{} }

// Apply carries out a record. After an error the book is as it was, but for the entries before one that cannot
// be: no caller writes such a record, as Enter has refused it.
func (b *Book) Apply(rec []byte) error {
	if len(rec) == 0 {
		return fmt.Errorf("%w: it is empty", ErrRecord)
	}
	body := rec[1:]
	switch rec[0] {
	case kindEntries:
		return decodeEntries(body, b.enter)
	case kindNames:
		return apply(body, b.applyNames)
	case kindStart:
		return apply(body, b.applyStart)
	case kindStop:
		return apply(body, func(r stopRecord) error {
			b.running, b.last = false, max(b.last, r.At)
			return nil
		})
	case kindClose:
		return apply(body, b.applyClose)
	case kindCorrection:
		return apply(body, b.applyCorrection)
	case kindGap:
		return apply(body, b.applyGap)
	case kindClock:
		return apply(body, func(s Step) error {
			if len(b.steps) < MaxNotes {
				b.steps = append(b.steps, s)
			}
			return nil
		})
	case kindSeal:
		return b.applySeal(body)
	case kindAck:
		return apply(body, b.applyAck)
	case kindSnapshot:
		return apply(body, b.restore)
	case kindKept:
		if h := SumOf(body); !slices.ContainsFunc(b.pending, func(s Sealed) bool { return s.Hash == h }) {
			return fmt.Errorf("%w: a kept batch that does not wait", ErrRecord)
		}
		return nil
	default:
		return fmt.Errorf("record of kind %d: %w", rec[0], ErrNewer)
	}
}

func apply[T any](body []byte, do func(T) error) error {
	v, err := decode[T](body)
	if err != nil {
		return err
	}
	return do(v)
}

// ProposeNames gives the record of stands and classes that are not known yet; nil = all are. Names keep their
// numbers for good.
func (b *Book) ProposeNames(stands, classes []string) ([]byte, error) {
	r := namesRecord{Stands: unknownNames(stands, b.standAt), Classes: unknownNames(classes, b.classAt)}
	if len(b.stands)+len(r.Stands) > MaxNames || len(b.classes)+len(r.Classes) > MaxNames {
		return nil, fmt.Errorf("more than %d names of stands or classes", MaxNames)
	}
	if len(r.Stands)+len(r.Classes) == 0 {
		return nil, nil
	}
	return record(kindNames, r), nil
}

// unknownNames returns the names that are not known, each once, in their order.
func unknownNames(names []string, known map[string]uint16) []string {
	var unknown []string
	seen := map[string]bool{}
	for _, name := range names {
		if _, ok := known[name]; ok || seen[name] {
			continue
		}
		seen[name] = true
		unknown = append(unknown, name)
	}
	return unknown
}

func (b *Book) applyNames(r namesRecord) error {
	for _, n := range r.Stands {
		b.standAt[n] = uint16(len(b.stands))
		b.stands = append(b.stands, n)
	}
	for _, n := range r.Classes {
		b.classAt[n] = uint16(len(b.classes))
		b.classes = append(b.classes, n)
	}
	return nil
}

// Names tells how many stands and classes are known.
func (b *Book) Names() (stands, classes int) { return len(b.stands), len(b.classes) }

// Stand gives the number of a stand.
func (b *Book) Stand(name string) (uint16, bool) { n, ok := b.standAt[name]; return n, ok }

// Class gives the number of a class.
func (b *Book) Class(name string) (uint16, bool) { n, ok := b.classAt[name]; return n, ok }

// ProposeStart gives the record of this start of the box.
func (b *Book) ProposeStart(s Start) []byte {
	s.Incarnation = b.start.Incarnation + 1
	return record(kindStart, s)
}

func (b *Book) applyStart(s Start) error {
	if s.Incarnation != b.start.Incarnation+1 {
		return fmt.Errorf("%w: incarnation %d after %d", ErrRecord, s.Incarnation, b.start.Incarnation)
	}
	if b.running && len(b.unclean) < MaxNotes {
		b.unclean = append(b.unclean, Unclean{Incarnation: b.start.Incarnation, From: min(b.last, s.At), To: max(b.last, s.At),
			Strict: b.start.Strict, SameBoot: b.start.Boot == s.Boot && s.Boot != "", AtMost: b.start.AtMost})
	}
	b.start, b.running, b.last = s, true, s.At
	return nil
}

// Incarnation numbers the starts of this box, from 1.
func (b *Book) Incarnation() uint32 { return b.start.Incarnation }

// Stop is the record of an end with nothing left to write.
func (b *Book) Stop(at int64) []byte { return record(kindStop, stopRecord{at}) }

// StepRecord is the record of a step of the clock.
func (b *Book) StepRecord(s Step) []byte { return record(kindClock, s) }

// Period gives the period that an entry of a time lands in: its own, or the first that is not closed.
func (b *Book) period(at int64) (p Period, late bool) {
	if at >= b.cache.Start && at < b.cache.End && b.cache.End > b.closed {
		return b.cache, false
	}
	if p = b.policy.Calendar.At(at); p.End <= b.closed {
		p, late = b.policy.Calendar.At(b.closed), true
	}
	if known, ok := b.periods[p.Start]; ok { // as it was cut when it began
		p = known
	} else if b.crowded() {
		p, late = b.latest(), true
	} else {
		b.periods[p.Start] = p
	}
	if !late {
		b.cache = p
	}
	return p, late
}

// crowded tells that no further period can be open: the clock is out of its mind. What comes then is booked in the
// newest period, marked late.
func (b *Book) crowded() bool {
	open := 0
	for _, p := range b.periods {
		if p.End > b.closed {
			open++
		}
	}
	return open >= maxOpen
}

func (b *Book) latest() Period { return b.periods[slices.Max(slices.Collect(maps.Keys(b.periods)))] }

// ErrFull is a book whose sums nobody has taken for so long that there is no room for more. Its caller names such
// entries as missing.
var ErrFull = errors.New("the book is full")

// Enter books an entry as its record would, for a caller that writes the records of a group behind it. What it
// takes the record gives back whatever the policy is then.
func (b *Book) Enter(e Entry) error {
	if len(b.cells) >= b.policy.MaxCells {
		p, late := b.period(e.Began)
		if b.cells[Cell{p.Start, e.Stand, e.Class, e.End, e.Replay, late}] == nil {
			return fmt.Errorf("%w: %d sums", ErrFull, len(b.cells))
		}
	}
	return b.enter(e)
}

func (b *Book) enter(e Entry) error {
	if int(e.Stand) >= len(b.stands) || int(e.Class) >= len(b.classes) {
		return fmt.Errorf("%w: an entry of stand %d and class %d", ErrRecord, e.Stand, e.Class)
	}
	p, late := b.period(e.Began)
	booked, err := b.booked.Add(e.Figures)
	if err != nil {
		return err
	}
	c := Cell{p.Start, e.Stand, e.Class, e.End, e.Replay, late}
	if err := b.sum(c, e.Figures, e.Figures); err != nil {
		return err
	}
	b.booked, b.last = booked, max(b.last, e.Ended)
	return nil
}

// sum adds to a cell, both or neither.
func (b *Book) sum(c Cell, total, waiting Figures) error {
	s := b.cells[c]
	if s == nil {
		s = &sums{}
		b.cells[c] = s
	}
	t, err := s.total.Add(total)
	if err != nil {
		return err
	}
	w, err := s.waiting.Add(waiting)
	if err != nil {
		return err
	}
	s.total, s.waiting = t, w
	return nil
}

// EntriesRecord is the record of entries that were entered.
func EntriesRecord(list []Entry) []byte { return encodeEntries(list) }

// ProposeClose gives the record that closes all periods whose grace is over; nil = none is. The period that
// now lies in becomes known.
func (b *Book) ProposeClose(now int64) []byte {
	if p := b.policy.Calendar.At(now - b.policy.Grace); p.Start > b.closed {
		return record(kindClose, closeRecord{p.Start})
	}
	return nil
}

func (b *Book) applyClose(r closeRecord) error {
	if r.Through <= b.closed {
		return fmt.Errorf("%w: closed through %d after %d", ErrRecord, r.Through, b.closed)
	}
	b.closed, b.last = r.Through, max(b.last, r.Through)
	b.forget()
	return nil
}

// forget drops the oldest closed periods beyond those kept, once all of them is in batches.
func (b *Book) forget() {
	var closed []int64
	for start, p := range b.periods {
		if p.End <= b.closed {
			closed = append(closed, start)
		}
	}
	slices.Sort(closed)
	for _, start := range closed[:max(0, len(closed)-b.policy.Keep)] {
		if b.drop(start) != nil {
			return
		}
	}
}

var errWaits = errors.New("something of the period is in no batch yet")

func (b *Book) drop(start int64) error {
	for c, s := range b.cells {
		if c.Period == start && !s.waiting.Zero() {
			return errWaits
		}
	}
	for g, n := range b.gaps {
		if g.period == start && n[1] != 0 {
			return errWaits
		}
	}
	for _, id := range b.adjusted {
		if b.corrections[id].Lands.Start == start {
			return errWaits
		}
	}
	maps.DeleteFunc(b.cells, func(c Cell, _ *sums) bool { return c.Period == start })
	maps.DeleteFunc(b.gaps, func(g gapKey, _ *[2]int64) bool { return g.period == start })
	maps.DeleteFunc(b.corrections, func(_ string, a *Adjustment) bool { return a.Lands.Start == start })
	end := b.periods[start].End
	old := 0
	for old < b.uncleanOut && b.unclean[old].To < end {
		old++
	}
	b.unclean, b.uncleanOut = b.unclean[old:], b.uncleanOut-old
	old = 0
	for old < b.stepOut && b.steps[old].At < end {
		old++
	}
	b.steps, b.stepOut = b.steps[old:], b.stepOut-old
	delete(b.periods, start)
	b.forgotten = max(b.forgotten, end)
	return nil
}

// GapRecord is the record of entries that are missing, by the time at which they were lost.
func (b *Book) GapRecord(lost map[uint16]int64, at int64) []byte {
	p := b.policy.Calendar.At(at)
	if p.End <= b.closed {
		p = b.policy.Calendar.At(b.closed)
	}
	var r gapRecord
	for _, stand := range slices.Sorted(maps.Keys(lost)) {
		r.Gaps = append(r.Gaps, Gap{p.Start, stand, lost[stand]})
	}
	return record(kindGap, r)
}

func (b *Book) applyGap(r gapRecord) error {
	for _, g := range r.Gaps {
		if int(g.Stand) >= len(b.stands) || g.Entries < 0 {
			return fmt.Errorf("%w: a gap of %d entries of stand %d", ErrRecord, g.Entries, g.Stand)
		}
	}
	for _, g := range r.Gaps {
		p, _ := b.period(g.Period)
		k := gapKey{p.Start, g.Stand}
		if b.gaps[k] == nil {
			b.gaps[k] = &[2]int64{}
		}
		b.gaps[k][0] += g.Entries
		b.gaps[k][1] += g.Entries
		b.lost += g.Entries
	}
	return nil
}

// State is where a period stands.
type State uint8

// The states of a period. Figures of a closed one never change.
const (
	Open State = iota
	Closing
	Closed
)

func (s State) String() string { return [...]string{"open", "closing", "closed"}[s] }

// StateOf gives the state of a period at a time.
func (b *Book) StateOf(p Period, now int64) State {
	switch {
	case p.End <= b.closed:
		return Closed
	case p.End <= now:
		return Closing
	default:
		return Open
	}
}

// Periods are the known periods, the oldest first.
func (b *Book) Periods() []Period {
	out := slices.Collect(maps.Values(b.periods))
	slices.SortFunc(out, func(a, b Period) int { return cmp.Compare(a.Start, b.Start) })
	return out
}

// Totals are sums over the ledger's whole life: what was booked is what is in batches and what waits, and
// entries named as missing are apart from it.
type Totals struct {
	Booked, Sealed, Waiting Figures
	Lost                    int64
	Batches, Acknowledged   uint64
	PendingBytes            int
}

// Totals adds up. The sum of what waits is taken cell by cell, so that Booked = Sealed + Waiting is a check.
func (b *Book) Totals() (t Totals, err error) {
	for _, s := range b.cells {
		if t.Waiting, err = t.Waiting.Add(s.waiting); err != nil {
			return t, err
		}
	}
	t.Booked, t.Sealed, t.Lost, t.Batches = b.booked, b.sealed, b.lost, b.seq
	t.Acknowledged = b.seq - uint64(len(b.pending))
	for _, p := range b.pending {
		t.PendingBytes += p.Size
	}
	return t, nil
}
