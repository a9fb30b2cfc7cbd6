package standin

import (
	"fmt"
	"maps"
	"slices"

	"larchscale/internal/ledger"
)

// Compare holds what callers saw against all periods of a fleet's exports, and says where they differ. Requests
// whose answer was lost may have ended in any way.
func Compare(seen map[Seen]int, f *ledger.Fleet) (out []string) {
	booked := map[Seen]int{}
	for _, p := range f.Periods() {
		s, err := f.Statement(p.Name, ledger.Expect{})
		if err != nil {
			return []string{err.Error()}
		}
		for _, r := range s.Rows {
			end := "served"
			switch r.End {
			case ledger.Refused.String():
				end = "refused"
			case ledger.Failed.String(), ledger.Rejected.String():
				end = "failed"
			case ledger.WithdrawnRan.String(), ledger.WithdrawnUnrun.String():
				end = "lost"
			}
			booked[Seen{r.Stand, r.Class, end}] += int(r.Figures[ledger.Requests])
		}
	}
	all := maps.Clone(seen)
	maps.Copy(all, booked)
	for s := range all {
		if seen[s] != booked[s] {
			out = append(out, fmt.Sprintf("%s of %s %s: callers saw %d, the ledger has %d", s.Class, s.Stand, s.End, seen[s], booked[s]))
		}
	}
	slices.Sort(out)
	return out
}
