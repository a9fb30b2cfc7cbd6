package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Row is the use of one stand in one class that ended in one way.
type Row struct {
	Stand   string  `json:"stand"`
	Class   string  `json:"class"`
	End     string  `json:"end"`
	Replay  bool    `json:"replay,omitempty"`
	Late    bool    `json:"late,omitempty"` // its own period was closed when it came
	Figures Figures `json:"figures"`
}

func (r Row) compare(s Row) int {
	return cmp.Or(cmp.Compare(r.Stand, s.Stand), cmp.Compare(r.Class, s.Class), cmp.Compare(r.End, s.End),
		order(r.Replay, s.Replay), order(r.Late, s.Late))
}

// Share is the sum of a stand: what it used, its adjustments, and both.
type Share struct {
	Stand    string  `json:"stand"`
	Used     Figures `json:"used"`
	Adjusted Figures `json:"adjusted"`
	Net      Figures `json:"net"`
	Missing  int64   `json:"missing"` // entries known to be missing
}

// Statement is the use of a period. Complete is false where anything is missing, or may be: Why says what.
type Statement struct {
	Period      Period       `json:"period"`
	State       string       `json:"state"`
	Complete    bool         `json:"complete"`
	Why         []string     `json:"why,omitempty"`
	Rows        []Row        `json:"rows"`
	Stands      []Share      `json:"stands"`
	Total       Share        `json:"total"`
	Adjustments []Adjustment `json:"adjustments"`
}

// account gathers what a statement is made of.
type account struct {
	period  Period
	rows    map[Row]Figures // by a row without figures
	adjust  []Adjustment
	missing map[string]int64
	why     []string
}

func newAccount(p Period) *account {
	return &account{period: p, rows: map[Row]Figures{}, missing: map[string]int64{}}
}

func (a *account) use(r Row) error {
	f := r.Figures
	r.Figures = Figures{}
	sum, err := a.rows[r].Add(f)
	if err != nil {
		return fmt.Errorf("%s, %s of %s: %w", a.period.Name, r.Class, r.Stand, err)
	}
	a.rows[r] = sum
	return nil
}

// note adds what makes the statement incomplete.
func (a *account) note(f string, x ...any) { a.why = append(a.why, fmt.Sprintf(f, x...)) }

func (a *account) unclean(box string, u Unclean) {
	if u.Whole() || u.To < a.period.Start || u.From >= a.period.End {
		return
	}
	a.note("%s: incarnation %d ended without notice: up to %d entries may be missing", box, u.Incarnation, u.AtMost)
}

// statement adds up.
func (a *account) statement(state State) (Statement, error) {
	s := Statement{Period: a.period, State: state.String(), Adjustments: a.adjust}
	shares := map[string]*Share{}
	of := func(stand string) *Share {
		if shares[stand] == nil {
			shares[stand] = &Share{Stand: stand}
		}
		return shares[stand]
	}
	var err error
	sum := func(to *Figures, f Figures) {
		if err == nil {
			*to, err = to.Add(f)
		}
	}
	for r, f := range a.rows {
		if f.Zero() { // booked and taken back
			continue
		}
		r.Figures = f
		s.Rows = append(s.Rows, r)
		sum(&of(r.Stand).Used, f)
	}
	slices.SortFunc(s.Rows, Row.compare)
	slices.SortFunc(s.Adjustments, func(x, y Adjustment) int { return cmp.Compare(x.Correction.ID, y.Correction.ID) })
	for _, x := range s.Adjustments {
		sum(&of(x.Correction.Stand).Adjusted, x.Correction.Figures)
	}
	for stand, n := range a.missing {
		of(stand).Missing = n
	}
	for _, stand := range slices.Sorted(maps.Keys(shares)) {
		h := shares[stand]
		h.Net = h.Used
		sum(&h.Net, h.Adjusted)
		sum(&s.Total.Used, h.Used)
		sum(&s.Total.Adjusted, h.Adjusted)
		sum(&s.Total.Net, h.Net)
		s.Total.Missing += h.Missing
		s.Stands = append(s.Stands, *h)
		if h.Missing > 0 {
			a.note("%d entries of %s are missing", h.Missing, display(stand))
		}
	}
	if err != nil {
		return Statement{}, fmt.Errorf("period %s: %w", a.period.Name, err)
	}
	s.Why = a.why
	s.Complete = len(a.why) == 0
	return s, nil
}

// display is a stand's name on paper; requests of no stand have none.
func display(stand string) string {
	if stand == "" {
		return "no stand"
	}
	return stand
}

// Statement is the box's own statement of a period. It is whole for what this box served.
func (b *Book) Statement(name string, now int64) (Statement, error) {
	p, ok := b.named(name, now)
	if !ok {
		return Statement{}, fmt.Errorf("%w %q", ErrPeriod, name)
	}
	a := newAccount(p)
	for c, s := range b.cells {
		if c.Period != p.Start {
			continue
		}
		if err := a.use(Row{b.stands[c.Stand], b.classes[c.Class], c.End.String(), c.Replay, c.Late, s.total}); err != nil {
			return Statement{}, err
		}
	}
	for _, x := range b.corrections {
		if x.Lands.Start == p.Start {
			a.adjust = append(a.adjust, *x)
		}
	}
	for g, n := range b.gaps {
		if g.period == p.Start {
			a.missing[b.stands[g.stand]] += n[0]
		}
	}
	for _, u := range b.unclean {
		a.unclean(b.Box, u)
	}
	return a.statement(b.StateOf(p, now))
}
