package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds of a ledger.
const (
	MaxNames       = 4096 // of stands, and as many of classes
	MaxCorrections = 8192 // in the retained periods
	MaxNotes       = 1024 // unclean stops in the retained periods, and as many clock steps
	maxOpenPeriods = 64   // periods that are not closed; bounds what a stepping clock can open
	maxBatchLines  = 2000 // lines in a batch; the rest goes into the next one
)

// Cell is the key by which use is summed. Late marks entries that arrived after their own period had closed.
type Cell struct {
	Period int64 // its start, Unix milliseconds
	Stand  uint16
	Class  uint16
	End    End
	Replay bool
	Late   bool
}

func (a Cell) compare(b Cell) int {
	return cmp.Or(cmp.Compare(a.Period, b.Period), cmp.Compare(a.Stand, b.Stand), cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.End, b.End), compareBool(a.Replay, b.Replay), compareBool(a.Late, b.Late))
}

// compareBool compares two booleans; false sorts before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// Gap is the number of entries of one stand in one period that were lost before they were recorded.
type Gap struct {
	Period  int64  `cbor:"1,keyasint"`
	Stand   uint16 `cbor:"2,keyasint"`
	Entries int64  `cbor:"3,keyasint"`
}

type gapKey struct {
	period int64
	stand  uint16
}

// Unclean is an incarnation that stopped without writing a stop record. Entries that it had not written are missing: up
// to AtMost of them, but none of answered requests if it ran in strict mode and the machine was not rebooted since.
type Unclean struct {
	Incarnation uint32 `cbor:"1,keyasint" json:"incarnation"`
	From        int64  `cbor:"2,keyasint" json:"from_ms"` // last time at which it is known to have run
	To          int64  `cbor:"3,keyasint" json:"to_ms"`   // start of the next incarnation
	Strict      bool   `cbor:"4,keyasint" json:"strict"`
	SameBoot    bool   `cbor:"5,keyasint" json:"same_boot"`
	AtMost      int64  `cbor:"6,keyasint" json:"at_most"`
}

// Whole reports that no answered request is missing.
func (u Unclean) Whole() bool { return u.Strict && u.SameBoot }

// cellSums holds the use of a cell: all that was recorded, and the part of it that is in no batch yet.
type cellSums struct{ total, unsealed Figures }

// Sealed identifies a batch that is not acknowledged yet. Its bytes are in the caller's log.
type Sealed struct {
	Seq  uint64 `cbor:"1,keyasint"`
	Hash Hash   `cbor:"2,keyasint"`
	Size int    `cbor:"3,keyasint"` // bytes
}

// Policy holds the operator's settings.
type Policy struct {
	Calendar    Calendar
	Grace       int64 // milliseconds from a period's end until it closes
	Keep        int   // number of closed periods that are retained
	ExportEvery int64 // milliseconds between two batches
	MaxPending  int   // bytes of unacknowledged batches; above, no batch is sealed and use is summed in the ledger
	MaxCells    int   // number of cells; an entry that needs another one is refused
}

// Book is the ledger of one server, as a deterministic state machine. All its changes are records: a method whose name
// begins with Propose returns the record of a change, or an error, and changes nothing; Apply carries out a record. The
// same records in the same order produce the same state. It is not safe for concurrent use.
type Book struct {
	Box    string
	ID     ID
	policy Policy

	lastStart  Start
	running    bool  // no stop record has followed start
	lastActive int64 // latest time at which the incarnation is known to have run

	stands, classes            []string
	standNumbers, classNumbers map[string]uint16
	periods                    map[int64]Period
	closedThrough              int64 // periods that end by then are closed
	cells                      map[Cell]*cellSums
	gaps                       map[gapKey]*[2]int64 // entries: all, and those in no batch yet
	corrections                map[string]*Adjustment
	unsealedCorrections        []string // IDs of the corrections in no batch yet, in order
	unclean                    []Unclean
	steps                      []Step
	uncleanSealed, stepsSealed int // how many of unclean and of steps are in batches

	recorded, sealed       Figures  // since the ledger was created
	missing, missingSealed int64    // entries in gaps, and those of them that are in batches
	lastSeq                uint64   // sequence number of the newest batch
	lastHash               Hash     // hash of the newest batch
	sealedAt               int64    // when the newest batch was sealed
	announcedThrough       int64    // value of closedThrough in the newest complete batch
	pending                []Sealed // not acknowledged, the oldest first
	droppedThrough         int64    // periods that end by then may have been dropped

	lastPeriod Period // period of the last entry that was not late
}

// NewBook returns the empty ledger of a server, which begins at a time in Unix milliseconds.
func NewBook(box string, id ID, policy Policy, at int64) *Book {
	b := &Book{Box: box, ID: id, policy: policy, standNumbers: map[string]uint16{}, classNumbers: map[string]uint16{}, periods: map[int64]Period{},
		cells: map[Cell]*cellSums{}, gaps: map[gapKey]*[2]int64{}, corrections: map[string]*Adjustment{}, sealedAt: at, lastActive: at}
	b.closedThrough = policy.Calendar.At(at).Start
	return b
}

// SetPolicy changes the policy; known periods keep their bounds. Records are replayed under the calendar of the
// snapshot before them, so the caller writes a snapshot after this call.
func (b *Book) SetPolicy(policy Policy) { b.policy, b.lastPeriod = policy, Period{} }

// Apply carries out a record. After an error the state is unchanged, except that the entries of a group before an
// invalid one are recorded: no caller writes such a group, because Enter has refused the entry.
func (b *Book) Apply(rec []byte) error {
	if len(rec) == 0 {
		return fmt.Errorf("%w: the record is empty", ErrRecord)
	}
	body := rec[1:]
	switch rec[0] {
	case kindEntries:
		return decodeEntries(body, b.applyEntry)
	case kindNames:
		return decodeAndApply(body, b.applyNames)
	case kindStart:
		return decodeAndApply(body, b.applyStart)
	case kindStop:
		return decodeAndApply(body, func(r stopRecord) error {
			b.running, b.lastActive = false, max(b.lastActive, r.At)
			return nil
		})
	case kindClose:
		return decodeAndApply(body, b.applyClose)
	case kindCorrection:
		return decodeAndApply(body, b.applyCorrection)
	case kindGap:
		return decodeAndApply(body, b.applyGap)
	case kindClock:
		return decodeAndApply(body, func(s Step) error {
			if len(b.steps) < MaxNotes {
				b.steps = append(b.steps, s)
			}
			return nil
		})
	case kindSeal:
		return b.applySeal(body)
	case kindAck:
		return decodeAndApply(body, b.applyAck)
	case kindSnapshot:
		return decodeAndApply(body, b.restore)
	case kindPendingBatch:
		if h := SumOf(body); !slices.ContainsFunc(b.pending, func(s Sealed) bool { return s.Hash == h }) {
			return fmt.Errorf("%w: the kept batch is not pending", ErrRecord)
		}
		return nil
	default:
		return fmt.Errorf("record of kind %d: %w", rec[0], ErrNewer)
	}
}

func decodeAndApply[T any](body []byte, applyValue func(T) error) error {
	value, err := decode[T](body)
	if err != nil {
		return err
	}
	return applyValue(value)
}

// ProposeNames returns the record that adds the stands and classes that are not known yet; nil = all are known. A name
// keeps its number for the life of the ledger.
func (b *Book) ProposeNames(stands, classes []string) ([]byte, error) {
	r := namesRecord{Stands: unknownNames(stands, b.standNumbers), Classes: unknownNames(classes, b.classNumbers)}
	if len(b.stands)+len(r.Stands) > MaxNames || len(b.classes)+len(r.Classes) > MaxNames {
		return nil, fmt.Errorf("more than %d names of stands or classes", MaxNames)
	}
	if len(r.Stands)+len(r.Classes) == 0 {
		return nil, nil
	}
	return record(kindNames, r), nil
}

// unknownNames returns the names that are not known, without duplicates, in their order.
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

func (b *Book) applyNames(names namesRecord) error {
	for _, name := range names.Stands {
		b.standNumbers[name] = uint16(len(b.stands))
		b.stands = append(b.stands, name)
	}
	for _, name := range names.Classes {
		b.classNumbers[name] = uint16(len(b.classes))
		b.classes = append(b.classes, name)
	}
	return nil
}

// Names returns the number of known stands and classes.
func (b *Book) Names() (stands, classes int) { return len(b.stands), len(b.classes) }

// Stand returns the number of a stand; false if it is unknown.
func (b *Book) Stand(name string) (uint16, bool) { n, ok := b.standNumbers[name]; return n, ok }

// Class returns the number of a class; false if it is unknown.
func (b *Book) Class(name string) (uint16, bool) { n, ok := b.classNumbers[name]; return n, ok }

// ProposeStart returns the record of a start of the server, with the next incarnation number.
func (b *Book) ProposeStart(start Start) []byte {
	start.Incarnation = b.lastStart.Incarnation + 1
	return record(kindStart, start)
}

func (b *Book) applyStart(start Start) error {
	if start.Incarnation != b.lastStart.Incarnation+1 {
		return fmt.Errorf("%w: incarnation %d after %d", ErrRecord, start.Incarnation, b.lastStart.Incarnation)
	}
	if b.running && len(b.unclean) < MaxNotes {
		b.unclean = append(b.unclean, Unclean{Incarnation: b.lastStart.Incarnation, From: min(b.lastActive, start.At), To: max(b.lastActive, start.At),
			Strict: b.lastStart.Strict, SameBoot: b.lastStart.Boot == start.Boot && start.Boot != "", AtMost: b.lastStart.AtMost})
	}
	b.lastStart, b.running, b.lastActive = start, true, start.At
	return nil
}

// Incarnation returns the number of the current start of the server, from 1.
func (b *Book) Incarnation() uint32 { return b.lastStart.Incarnation }

// Stop returns the record of a clean stop, after everything else was written.
func (b *Book) Stop(at int64) []byte { return record(kindStop, stopRecord{at}) }

// StepRecord returns the record of a step of the clock.
func (b *Book) StepRecord(s Step) []byte { return record(kindClock, s) }

// assignPeriod returns the period to which an entry of a time is assigned: its own, or if that is closed the first open
// one. late is true if it is not its own.
func (b *Book) assignPeriod(at int64) (period Period, late bool) {
	if at >= b.lastPeriod.Start && at < b.lastPeriod.End && b.lastPeriod.End > b.closedThrough {
		return b.lastPeriod, false
	}
	if period = b.policy.Calendar.At(at); period.End <= b.closedThrough {
		period, late = b.policy.Calendar.At(b.closedThrough), true
	}
	if known, ok := b.periods[period.Start]; ok { // keeps the bounds that it had when it became known
		period = known
	} else if b.atOpenLimit() {
		period, late = b.latestPeriod(), true
	} else {
		b.periods[period.Start] = period
	}
	if !late {
		b.lastPeriod = period
	}
	return period, late
}

// atOpenLimit reports whether the limit of open periods is reached, which only a faulty clock causes. Further entries
// are then recorded in the newest period and marked late.
func (b *Book) atOpenLimit() bool {
	open := 0
	for _, period := range b.periods {
		if period.End > b.closedThrough {
			open++
		}
	}
	return open >= maxOpenPeriods
}

func (b *Book) latestPeriod() Period {
	return b.periods[slices.Max(slices.Collect(maps.Keys(b.periods)))]
}

// ErrFull is returned when the ledger has MaxCells cells, because batches were not collected for too long. The caller
// records such entries as missing.
var ErrFull = errors.New("the ledger is full")

// Enter records an entry as its record would, for a caller that writes one record for a group of entries afterwards. An
// entry that it accepts is accepted by Apply on replay, under any policy.
func (b *Book) Enter(entry Entry) error {
	if len(b.cells) >= b.policy.MaxCells {
		period, late := b.assignPeriod(entry.Began)
		if b.cells[Cell{period.Start, entry.Stand, entry.Class, entry.End, entry.Replay, late}] == nil {
			return fmt.Errorf("%w: %d cells", ErrFull, len(b.cells))
		}
	}
	return b.applyEntry(entry)
}

func (b *Book) applyEntry(entry Entry) error {
	if int(entry.Stand) >= len(b.stands) || int(entry.Class) >= len(b.classes) {
		return fmt.Errorf("%w: entry of unknown stand %d or class %d", ErrRecord, entry.Stand, entry.Class)
	}
	period, late := b.assignPeriod(entry.Began)
	booked, err := b.recorded.Add(entry.Figures)
	if err != nil {
		return err
	}
	cell := Cell{period.Start, entry.Stand, entry.Class, entry.End, entry.Replay, late}
	if err := b.addToCell(cell, entry.Figures, entry.Figures); err != nil {
		return err
	}
	b.recorded, b.lastActive = booked, max(b.lastActive, entry.Ended)
	return nil
}

// addToCell adds to a cell. On overflow neither sum changes.
func (b *Book) addToCell(cell Cell, total, unsealed Figures) error {
	sum := b.cells[cell]
	if sum == nil {
		sum = &cellSums{}
		b.cells[cell] = sum
	}
	newTotal, err := sum.total.Add(total)
	if err != nil {
		return err
	}
	newUnsealed, err := sum.unsealed.Add(unsealed)
	if err != nil {
		return err
	}
	sum.total, sum.unsealed = newTotal, newUnsealed
	return nil
}

// EntriesRecord returns the record of entries that Enter accepted.
func EntriesRecord(entries []Entry) []byte { return encodeEntries(entries) }

// ProposeClose returns the record that closes all periods whose grace has passed; nil = there is none.
func (b *Book) ProposeClose(now int64) []byte {
	if period := b.policy.Calendar.At(now - b.policy.Grace); period.Start > b.closedThrough {
		return record(kindClose, closeRecord{period.Start})
	}
	return nil
}

func (b *Book) applyClose(r closeRecord) error {
	if r.Through <= b.closedThrough {
		return fmt.Errorf("%w: closed through %d after %d", ErrRecord, r.Through, b.closedThrough)
	}
	b.closedThrough, b.lastActive = r.Through, max(b.lastActive, r.Through)
	b.dropOldPeriods()
	return nil
}

// dropOldPeriods drops the oldest closed periods beyond the number retained, as far as they are completely in batches.
func (b *Book) dropOldPeriods() {
	var closed []int64
	for start, period := range b.periods {
		if period.End <= b.closedThrough {
			closed = append(closed, start)
		}
	}
	slices.Sort(closed)
	for _, start := range closed[:max(0, len(closed)-b.policy.Keep)] {
		if b.dropPeriod(start) != nil {
			return
		}
	}
}

var errUnsealed = errors.New("the period has unsealed use")

// dropPeriod removes a period and what belongs to it, unless some of it is in no batch yet.
func (b *Book) dropPeriod(start int64) error {
	for cell, sum := range b.cells {
		if cell.Period == start && !sum.unsealed.Zero() {
			return errUnsealed
		}
	}
	for key, counts := range b.gaps {
		if key.period == start && counts[1] != 0 {
			return errUnsealed
		}
	}
	for _, id := range b.unsealedCorrections {
		if b.corrections[id].Lands.Start == start {
			return errUnsealed
		}
	}
	maps.DeleteFunc(b.cells, func(cell Cell, _ *cellSums) bool { return cell.Period == start })
	maps.DeleteFunc(b.gaps, func(key gapKey, _ *[2]int64) bool { return key.period == start })
	maps.DeleteFunc(b.corrections, func(_ string, adjustment *Adjustment) bool { return adjustment.Lands.Start == start })
	end := b.periods[start].End
	dropped := 0
	for dropped < b.uncleanSealed && b.unclean[dropped].To < end {
		dropped++
	}
	b.unclean, b.uncleanSealed = b.unclean[dropped:], b.uncleanSealed-dropped
	dropped = 0
	for dropped < b.stepsSealed && b.steps[dropped].At < end {
		dropped++
	}
	b.steps, b.stepsSealed = b.steps[dropped:], b.stepsSealed-dropped
	delete(b.periods, start)
	b.droppedThrough = max(b.droppedThrough, end)
	return nil
}

// GapRecord returns the record of lost entries, counted by stand, in the period of the time at which they were lost.
func (b *Book) GapRecord(lost map[uint16]int64, at int64) []byte {
	period := b.policy.Calendar.At(at)
	if period.End <= b.closedThrough {
		period = b.policy.Calendar.At(b.closedThrough)
	}
	var gaps gapRecord
	for _, stand := range slices.Sorted(maps.Keys(lost)) {
		gaps.Gaps = append(gaps.Gaps, Gap{period.Start, stand, lost[stand]})
	}
	return record(kindGap, gaps)
}

func (b *Book) applyGap(r gapRecord) error {
	for _, gap := range r.Gaps {
		if int(gap.Stand) >= len(b.stands) || gap.Entries < 0 {
			return fmt.Errorf("%w: gap of %d entries of stand %d", ErrRecord, gap.Entries, gap.Stand)
		}
	}
	for _, gap := range r.Gaps {
		period, _ := b.assignPeriod(gap.Period)
		key := gapKey{period.Start, gap.Stand}
		if b.gaps[key] == nil {
			b.gaps[key] = &[2]int64{}
		}
		b.gaps[key][0] += gap.Entries
		b.gaps[key][1] += gap.Entries
		b.missing += gap.Entries
	}
	return nil
}

// State is the state of a period.
type State uint8

// The states of a period. The use of a closed period never changes.
const (
	Open    State = iota // it has not ended
	Closing              // it has ended, and its grace is not over
	Closed
)

func (s State) String() string { return [...]string{"open", "closing", "closed"}[s] }

// StateOf returns the state of a period at a time.
func (b *Book) StateOf(period Period, now int64) State {
	switch {
	case period.End <= b.closedThrough:
		return Closed
	case period.End <= now:
		return Closing
	default:
		return Open
	}
}

// Periods returns the known periods, the oldest first.
func (b *Book) Periods() []Period {
	periods := slices.Collect(maps.Values(b.periods))
	slices.SortFunc(periods, func(a, b Period) int { return cmp.Compare(a.Start, b.Start) })
	return periods
}

// Totals holds sums since the ledger was created: all recorded use, the part in batches and the part in none. Lost
// counts the entries recorded as missing; they are not in the other sums.
type Totals struct {
	Booked, Sealed, Waiting Figures
	Lost                    int64 // entries
	Batches, Acknowledged   uint64
	PendingBytes            int // of batches that are not acknowledged
}

// Totals returns the totals. Waiting is summed cell by cell, so that Booked = Sealed + Waiting is an invariant that
// callers can check.
func (b *Book) Totals() (t Totals, err error) {
	for _, sum := range b.cells {
		if t.Waiting, err = t.Waiting.Add(sum.unsealed); err != nil {
			return t, err
		}
	}
	t.Booked, t.Sealed, t.Lost, t.Batches = b.recorded, b.sealed, b.missing, b.lastSeq
	t.Acknowledged = b.lastSeq - uint64(len(b.pending))
	for _, batch := range b.pending {
		t.PendingBytes += batch.Size
	}
	return t, nil
}
