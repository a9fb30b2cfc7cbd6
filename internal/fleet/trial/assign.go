package trial

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"larchscale/internal/sequential"
)

// Assign gives the arm (0 = A, 1 = B) of a unit by its subject or key, and whether it counts. It is the same on every
// box, in every process and under every leader. Without a valid lease a box may have missed an outcome: it serves as A,
// and nothing counts. Once a trial has its outcome, all are given to the winner, or to A where nothing won.
func (t *Trial) Assign(lease bool, unit string) (arm int, counts bool) {
	return t.assign(lease, func() int { return t.Spec.arm([]byte(unit)) })
}

// AssignBox gives the arm of a box in the present block of a Switchback, and whether what it serves counts, as Assign.
// into is for how many ms the box has had the block: at its beginning it still carries what the other arm left.
func (t *Trial) AssignBox(lease bool, box string, into int64) (arm int, counts bool) {
	arm, counts = t.assign(lease, func() int { return t.Spec.armOf(box, t.Block) })
	return arm, counts && into >= t.Spec.SettleMs
}

func (t *Trial) assign(lease bool, arm func() int) (int, bool) {
	switch {
	case !lease:
		return 0, false
	case !t.Open():
		return t.Winner(), false
	case t.Block >= t.Spec.Blocks:
		return 0, false
	}
	return arm(), true
}

// Winner is the arm that serves once a trial is over.
func (t *Trial) Winner() int {
	if t.Outcome.Verdict == sequential.B {
		return 1
	}
	return 0
}

func (s *Spec) armOf(box string, block int) int {
	return s.arm(binary.AppendUvarint([]byte(box+"\x00"), uint64(block)))
}

// arm is by the hash of the trial's salt and the unit: the upper 53 bits as a share of 1.
func (s *Spec) arm(unit []byte) int {
	h := xxhash.Sum64(append(binary.LittleEndian.AppendUint64(make([]byte, 0, 8+len(unit)), s.Salt), unit...))
	if float64(h>>11)/(1<<53) < s.Plan.Ratio {
		return 1
	}
	return 0
}
