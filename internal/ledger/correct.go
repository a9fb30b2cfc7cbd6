package ledger

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
)

// Why a correction is refused.
var (
	ErrPeriod   = errors.New("unknown period")
	ErrStand    = errors.New("unknown stand")
	ErrClass    = errors.New("unknown class")
	ErrConflict = errors.New("a correction with this id and other content is there")
	ErrBad      = errors.New("the correction cannot be")
	ErrMany     = errors.New("too many corrections")
)

// Correction is an operator's signed adjustment of a period. Class may be empty: it is then the stand's alone.
type Correction struct {
	ID      string  `cbor:"1,keyasint" json:"id"`
	Reason  string  `cbor:"2,keyasint" json:"reason"`
	Period  string  `cbor:"3,keyasint" json:"period"`
	Stand   string  `cbor:"4,keyasint" json:"stand"`
	Class   string  `cbor:"5,keyasint" json:"class"`
	Figures Figures `cbor:"6,keyasint" json:"figures"`
}

// Adjustment is a correction as it was booked. Lands is the period that it changes: the one it concerns, or
// the one that was open when that was closed already.
type Adjustment struct {
	Correction Correction `cbor:"1,keyasint" json:"correction"`
	Concerns   Period     `cbor:"2,keyasint" json:"concerns"`
	Lands      Period     `cbor:"3,keyasint" json:"lands"`
	At         int64      `cbor:"4,keyasint" json:"at_ms"`
}

// Carried tells that the period it concerns was closed.
func (a Adjustment) Carried() bool { return a.Concerns.Start != a.Lands.Start }

func (c Correction) check() error {
	plain := func(s string, most int) bool {
		return s != "" && len(s) <= most && strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
	}
	switch {
	case !plain(c.ID, 64):
		return fmt.Errorf("%w: the id has 1 to 64 printable characters", ErrBad)
	case !plain(c.Reason, 200):
		return fmt.Errorf("%w: the reason has 1 to 200 printable characters", ErrBad)
	case c.Figures.Zero():
		return fmt.Errorf("%w: it changes nothing", ErrBad)
	}
	return nil
}

// ProposeCorrection gives the record of a correction; nil without an error = it is booked already.
func (b *Book) ProposeCorrection(c Correction, now int64) ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if had := b.corrections[c.ID]; had != nil {
		if had.Correction != c {
			return nil, fmt.Errorf("%w: %s", ErrConflict, c.ID)
		}
		return nil, nil
	}
	if _, ok := b.standAt[c.Stand]; !ok {
		return nil, fmt.Errorf("%w %q", ErrStand, c.Stand)
	}
	if _, ok := b.classAt[c.Class]; !ok && c.Class != "" {
		return nil, fmt.Errorf("%w %q", ErrClass, c.Class)
	}
	if len(b.corrections) >= MaxCorrections {
		return nil, fmt.Errorf("%w: %d", ErrMany, MaxCorrections)
	}
	p, ok := b.named(c.Period, now)
	if !ok {
		return nil, fmt.Errorf("%w %q", ErrPeriod, c.Period)
	}
	a := Adjustment{Correction: c, Concerns: p, Lands: p, At: now}
	if p.End <= b.closed {
		a.Lands, _ = b.period(max(now, b.closed))
	}
	if _, err := b.adjustments(a.Lands.Start, c.Stand, c.Figures); err != nil {
		return nil, err
	}
	return record(kindCorrection, a), nil
}

// named finds a period that has begun and is still kept.
func (b *Book) named(name string, now int64) (Period, bool) {
	for _, p := range b.periods {
		if p.Name == name && p.Start <= now {
			return p, true
		}
	}
	p, ok := b.policy.Calendar.Named(name)
	if !ok || p.Start > now || p.End <= b.closed { // closed, and nothing of it is kept
		return Period{}, false
	}
	return p, true
}

// adjustments sums a stand's corrections of a period and one more. Guards against a statement that cannot be
// added up.
func (b *Book) adjustments(period int64, stand string, more Figures) (Figures, error) {
	sum := more
	var err error
	for _, a := range b.corrections {
		if a.Lands.Start == period && a.Correction.Stand == stand {
			if sum, err = sum.Add(a.Correction.Figures); err != nil {
				return sum, err
			}
		}
	}
	for c, s := range b.cells {
		if c.Period == period && b.stands[c.Stand] == stand {
			if sum, err = sum.Add(s.total); err != nil {
				return sum, err
			}
		}
	}
	return sum, nil
}

func (b *Book) applyCorrection(a Adjustment) error {
	if b.corrections[a.Correction.ID] != nil {
		return fmt.Errorf("%w: correction %s twice", ErrRecord, a.Correction.ID)
	}
	for _, p := range []Period{a.Concerns, a.Lands} {
		if _, ok := b.periods[p.Start]; !ok {
			b.periods[p.Start] = p
		}
	}
	b.corrections[a.Correction.ID] = &a
	b.adjusted = append(b.adjusted, a.Correction.ID)
	return nil
}
