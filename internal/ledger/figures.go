// Package ledger is the ledger of use without I/O: what was used by which stand in which billing period, what
// of it has left in which batch, and what is missing. It is driven by its caller, who brings the time, keeps
// its records in a log and gives them back in order after a crash.
//
// All figures are integers, and every sum is checked: nothing is rounded twice and nothing wraps round.
package ledger

import (
	"errors"
	"fmt"
)

// The figures of use, in the order of Figures.
const (
	Requests = iota // requests that ended
	Worth           // micro-worth that they earned
	Run             // microseconds that their runs took
	Held            // kilobyte-milliseconds of memory that they had booked
	Calls           // calls below
	In              // bytes of bodies that came
	Out             // bytes of results that went
	figures
)

// FigureNames are the names of the figures on paper and in files.
var FigureNames = [figures]string{"requests", "worth_micro", "run_us", "held_kb_ms", "calls", "bytes_in", "bytes_out"}

// Figures is an amount of use. Corrections may be negative.
type Figures [figures]int64

// ErrOverflow is a sum beyond 64 bits.
var ErrOverflow = errors.New("the sum is too large")

// Add gives f + g. A sum overflows if its sign is neither of its parts'.
func (f Figures) Add(g Figures) (Figures, error) {
	sum, over := f, int64(0)
	for i, x := range g {
		sum[i] += x
		over |= (f[i] ^ sum[i]) & (x ^ sum[i])
	}
	if over < 0 {
		for i, x := range g {
			if (f[i]^sum[i])&(x^sum[i]) < 0 {
				return Figures{}, fmt.Errorf("%s: %w", FigureNames[i], ErrOverflow)
			}
		}
	}
	return sum, nil
}

// Neg gives -f.
func (f Figures) Neg() (Figures, error) {
	for i, x := range f {
		if x == -x && x != 0 {
			return Figures{}, fmt.Errorf("%s: %w", FigureNames[i], ErrOverflow)
		}
		f[i] = -x
	}
	return f, nil
}

// Zero tells that nothing was used.
func (f Figures) Zero() bool { return f == Figures{} }

func add(a, b int64) (int64, bool) {
	s := a + b
	return s, (a^s)&(b^s) >= 0
}

// End is how a request ended.
type End uint8

// The ends.
const (
	ServedInAim    End = iota // served within its class's aim
	ServedLate                // served, but later
	Refused                   // turned away; it never ran
	Failed                    // answered with an error; it may have run
	WithdrawnRan              // its caller gave up after a run had begun
	WithdrawnUnrun            // its caller gave up before that
	Rejected                  // it could not be a request, or its token belongs to another body; it never ran
	Ends                      // how many there are
)

var endNames = [Ends]string{"served", "late", "refused", "failed", "withdrawn-ran", "withdrawn", "rejected"}

func (e End) String() string {
	if e < Ends {
		return endNames[e]
	}
	return fmt.Sprintf("end-%d", uint8(e))
}
