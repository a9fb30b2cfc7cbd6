// Package ledger records use for billing, without I/O: how much each stand (the customer that is billed) used in each
// billing period, which use was exported in which batch, and which entries are missing. The caller supplies the time,
// writes the ledger's records to a log and replays them in order after a crash.
//
// All amounts are integers and every sum is checked for overflow, so that no amount is rounded twice or wraps around.
package ledger

import (
	"errors"
	"fmt"
)

// Indexes of Figures: what is measured.
const (
	Requests    = iota // number of requests that ended
	Worth              // worth that they earned, in millionths
	Run                // run time, in microseconds
	Held               // memory that was reserved for them, in kilobyte-milliseconds
	Calls              // number of downstream calls
	In                 // bytes of request bodies
	Out                // bytes of results
	figureCount        // number of indexes
)

// FigureNames are the names in statements, files and commands, by index.
var FigureNames = [figureCount]string{"requests", "worth_micro", "run_us", "held_kb_ms", "calls", "bytes_in", "bytes_out"}

// Figures is an amount of use, by the indexes above. Corrections may be negative.
type Figures [figureCount]int64

// ErrOverflow is returned for a sum that does not fit into 64 bits.
var ErrOverflow = errors.New("the sum is too large")

// Add returns f + g. A sum overflows if its sign differs from the signs of both operands.
func (f Figures) Add(g Figures) (Figures, error) {
	sum, overflowed := f, int64(0)
	for i, x := range g {
		sum[i] += x
		overflowed |= (f[i] ^ sum[i]) & (x ^ sum[i])
	}
	if overflowed < 0 {
		for i, x := range g {
			if (f[i]^sum[i])&(x^sum[i]) < 0 {
				return Figures{}, fmt.Errorf("%s: %w", FigureNames[i], ErrOverflow)
			}
		}
	}
	return sum, nil
}

// Neg returns -f.
func (f Figures) Neg() (Figures, error) {
	for i, x := range f {
		if x == -x && x != 0 {
			return Figures{}, fmt.Errorf("%s: %w", FigureNames[i], ErrOverflow)
		}
		f[i] = -x
	}
	return f, nil
}

// Zero reports whether all amounts are 0.
func (f Figures) Zero() bool { return f == Figures{} }

// checkedAdd returns a + b; false if the sum overflows.
func checkedAdd(a, b int64) (int64, bool) {
	sum := a + b
	return sum, (a^sum)&(b^sum) >= 0
}

// End is how a request ended.
type End uint8

// The ways in which a request ends.
const (
	ServedInAim    End = iota // served within its class's aim
	ServedLate                // served after the aim
	Refused                   // refused; it never ran
	Failed                    // answered with an error; it may have run
	WithdrawnRan              // canceled by the caller after a run had started
	WithdrawnUnrun            // canceled by the caller before any run started
	Rejected                  // invalid, or its token was used with another body; it never ran
	Ends                      // number of values
)

var endNames = [Ends]string{"served", "late", "refused", "failed", "withdrawn-ran", "withdrawn", "rejected"}

func (e End) String() string {
	if e < Ends {
		return endNames[e]
	}
	return fmt.Sprintf("end-%d", uint8(e))
}
