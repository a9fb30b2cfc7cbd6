package ledger

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
)

// Errors of ProposeCorrection and Statement.
var (
	ErrPeriod   = errors.New("unknown period")
	ErrStand    = errors.New("unknown stand")
	ErrClass    = errors.New("unknown class")
	ErrConflict = errors.New("a correction with this id and other content is there")
	ErrBad      = errors.New("the correction cannot be")
	ErrMany     = errors.New("too many corrections")
)

// Correction is a signed adjustment of a stand's use in a period, entered by an operator. An empty Class means that it
// belongs to no class.
type Correction struct {
	ID      string  `cbor:"1,keyasint" json:"id"`
	Reason  string  `cbor:"2,keyasint" json:"reason"`
	Period  string  `cbor:"3,keyasint" json:"period"`
	Stand   string  `cbor:"4,keyasint" json:"stand"`
	Class   string  `cbor:"5,keyasint" json:"class"`
	Figures Figures `cbor:"6,keyasint" json:"figures"`
}

// Adjustment is a recorded correction. Lands is the period that it changes: the one that it concerns, or if that was
// closed already, the period that was open when the correction was recorded.
type Adjustment struct {
	Correction Correction `cbor:"1,keyasint" json:"correction"`
	Concerns   Period     `cbor:"2,keyasint" json:"concerns"`
	Lands      Period     `cbor:"3,keyasint" json:"lands"`
	At         int64      `cbor:"4,keyasint" json:"at_ms"` // when it was recorded, Unix milliseconds
}

// Carried reports whether the correction went into a later period, because the one that it concerns was closed.
func (a Adjustment) Carried() bool { return a.Concerns.Start != a.Lands.Start }

// check returns an error unless the ID and the reason are printable texts within their bounds and the amounts are not
// all 0.
func (c Correction) check() error {
	isPrintable := func(text string, maxBytes int) bool {
		return text != "" && len(text) <= maxBytes && strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
	}
	switch {
	case !isPrintable(c.ID, 64):
		return fmt.Errorf("%w: the id has 1 to 64 printable characters", ErrBad)
	case !isPrintable(c.Reason, 200):
		return fmt.Errorf("%w: the reason has 1 to 200 printable characters", ErrBad)
	case c.Figures.Zero():
		return fmt.Errorf("%w: it changes nothing", ErrBad)
	}
	return nil
}

// ProposeCorrection returns the record of a correction; nil without an error = the same correction is recorded already.
func (b *Book) ProposeCorrection(correction Correction, now int64) ([]byte, error) {
	if err := correction.check(); err != nil {
		return nil, err
	}
	if known := b.corrections[correction.ID]; known != nil {
		if known.Correction != correction {
			return nil, fmt.Errorf("%w: %s", ErrConflict, correction.ID)
		}
		return nil, nil
	}
	if _, ok := b.standNumbers[correction.Stand]; !ok {
		return nil, fmt.Errorf("%w %q", ErrStand, correction.Stand)
	}
	if _, ok := b.classNumbers[correction.Class]; !ok && correction.Class != "" {
		return nil, fmt.Errorf("%w %q", ErrClass, correction.Class)
	}
	if len(b.corrections) >= MaxCorrections {
		return nil, fmt.Errorf("%w: %d", ErrMany, MaxCorrections)
	}
	period, ok := b.periodNamed(correction.Period, now)
	if !ok {
		return nil, fmt.Errorf("%w %q", ErrPeriod, correction.Period)
	}
	adjustment := Adjustment{Correction: correction, Concerns: period, Lands: period, At: now}
	if period.End <= b.closedThrough {
		adjustment.Lands, _ = b.assignPeriod(max(now, b.closedThrough))
	}
	if _, err := b.checkedTotal(adjustment.Lands.Start, correction.Stand, correction.Figures); err != nil {
		return nil, err
	}
	return record(kindCorrection, adjustment), nil
}

// periodNamed returns the period of a name, if it has begun and is still retained.
func (b *Book) periodNamed(name string, now int64) (Period, bool) {
	for _, period := range b.periods {
		if period.Name == name && period.Start <= now {
			return period, true
		}
	}
	period, ok := b.policy.Calendar.Named(name)
	if !ok || period.Start > now || period.End <= b.closedThrough { // it is closed, and nothing of it is retained
		return Period{}, false
	}
	return period, true
}

// checkedTotal adds up a stand's use and corrections in a period, and one more correction. An overflow is an error, so
// that no accepted correction makes a statement of the period overflow.
func (b *Book) checkedTotal(period int64, stand string, added Figures) (Figures, error) {
	sum := added
	var err error
	for _, adjustment := range b.corrections {
		if adjustment.Lands.Start == period && adjustment.Correction.Stand == stand {
			if sum, err = sum.Add(adjustment.Correction.Figures); err != nil {
				return sum, err
			}
		}
	}
	for cell, cellSum := range b.cells {
		if cell.Period == period && b.stands[cell.Stand] == stand {
			if sum, err = sum.Add(cellSum.total); err != nil {
				return sum, err
			}
		}
	}
	return sum, nil
}

func (b *Book) applyCorrection(adjustment Adjustment) error {
	if b.corrections[adjustment.Correction.ID] != nil {
		return fmt.Errorf("%w: correction %s is recorded already", ErrRecord, adjustment.Correction.ID)
	}
	for _, period := range []Period{adjustment.Concerns, adjustment.Lands} {
		if _, ok := b.periods[period.Start]; !ok {
			b.periods[period.Start] = period
		}
	}
	b.corrections[adjustment.Correction.ID] = &adjustment
	b.unsealedCorrections = append(b.unsealedCorrections, adjustment.Correction.ID)
	return nil
}
