package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Row is the use of one stand in one class by requests that ended in one way.
type Row struct {
	Stand   string  `json:"stand"`
	Class   string  `json:"class"`
	End     string  `json:"end"`
	Replay  bool    `json:"replay,omitempty"`
	Late    bool    `json:"late,omitempty"` // its own period was closed when it was recorded
	Figures Figures `json:"figures"`
}

func (r Row) compare(s Row) int {
	return cmp.Or(cmp.Compare(r.Stand, s.Stand), cmp.Compare(r.Class, s.Class), cmp.Compare(r.End, s.End),
		compareBool(r.Replay, s.Replay), compareBool(r.Late, s.Late))
}

// Share is the total of a stand: its use, its adjustments, and the sum of both.
type Share struct {
	Stand    string  `json:"stand"`
	Used     Figures `json:"used"`
	Adjusted Figures `json:"adjusted"`
	Net      Figures `json:"net"`
	Missing  int64   `json:"missing"` // number of entries known to be missing
}

// Statement is the use in a period. Complete is false if anything is missing or may be missing; Why has the reasons.
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

// statementBuilder accumulates the contents of a statement.
type statementBuilder struct {
	period      Period
	rows        map[Row]Figures // by the row with its amounts set to 0
	adjustments []Adjustment
	missing     map[string]int64
	reasons     []string
}

func newStatementBuilder(period Period) *statementBuilder {
	return &statementBuilder{period: period, rows: map[Row]Figures{}, missing: map[string]int64{}}
}

// addRow adds a row to the use.
func (a *statementBuilder) addRow(row Row) error {
	amounts := row.Figures
	row.Figures = Figures{}
	sum, err := a.rows[row].Add(amounts)
	if err != nil {
		return fmt.Errorf("%s, %s of %s: %w", a.period.Name, row.Class, row.Stand, err)
	}
	a.rows[row] = sum
	return nil
}

// addReason adds a reason why the statement is incomplete.
func (a *statementBuilder) addReason(format string, args ...any) {
	a.reasons = append(a.reasons, fmt.Sprintf(format, args...))
}

// addUnclean notes an unclean stop if it may have lost entries of the period.
func (a *statementBuilder) addUnclean(box string, stop Unclean) {
	if stop.Whole() || stop.To < a.period.Start || stop.From >= a.period.End {
		return
	}
	a.addReason("%s: incarnation %d ended without notice: up to %d entries may be missing", box, stop.Incarnation, stop.AtMost)
}

// build returns the statement with its totals.
func (a *statementBuilder) build(state State) (Statement, error) {
	statement := Statement{Period: a.period, State: state.String(), Adjustments: a.adjustments}
	shares := map[string]*Share{}
	shareOf := func(stand string) *Share {
		if shares[stand] == nil {
			shares[stand] = &Share{Stand: stand}
		}
		return shares[stand]
	}
	var err error
	sum := func(total *Figures, amounts Figures) {
		if err == nil {
			*total, err = total.Add(amounts)
		}
	}
	for row, amounts := range a.rows {
		if amounts.Zero() { // recorded and taken back
			continue
		}
		row.Figures = amounts
		statement.Rows = append(statement.Rows, row)
		sum(&shareOf(row.Stand).Used, amounts)
	}
	slices.SortFunc(statement.Rows, Row.compare)
	slices.SortFunc(statement.Adjustments, func(x, y Adjustment) int { return cmp.Compare(x.Correction.ID, y.Correction.ID) })
	for _, adjustment := range statement.Adjustments {
		sum(&shareOf(adjustment.Correction.Stand).Adjusted, adjustment.Correction.Figures)
	}
	for stand, entries := range a.missing {
		shareOf(stand).Missing = entries
	}
	for _, stand := range slices.Sorted(maps.Keys(shares)) {
		share := shares[stand]
		share.Net = share.Used
		sum(&share.Net, share.Adjusted)
		sum(&statement.Total.Used, share.Used)
		sum(&statement.Total.Adjusted, share.Adjusted)
		sum(&statement.Total.Net, share.Net)
		statement.Total.Missing += share.Missing
		statement.Stands = append(statement.Stands, *share)
		if share.Missing > 0 {
			a.addReason("%d entries of %s are missing", share.Missing, standLabel(stand))
		}
	}
	if err != nil {
		return Statement{}, fmt.Errorf("period %s: %w", a.period.Name, err)
	}
	statement.Why = a.reasons
	statement.Complete = len(a.reasons) == 0
	return statement, nil
}

// standLabel returns the name of a stand for a statement; requests without a stand have an empty one.
func standLabel(stand string) string {
	if stand == "" {
		return "no stand"
	}
	return stand
}

// Statement returns the statement of a period for the requests of this server alone.
func (b *Book) Statement(name string, now int64) (Statement, error) {
	period, ok := b.periodNamed(name, now)
	if !ok {
		return Statement{}, fmt.Errorf("%w %q", ErrPeriod, name)
	}
	builder := newStatementBuilder(period)
	for cell, sum := range b.cells {
		if cell.Period != period.Start {
			continue
		}
		if err := builder.addRow(Row{b.stands[cell.Stand], b.classes[cell.Class], cell.End.String(), cell.Replay, cell.Late, sum.total}); err != nil {
			return Statement{}, err
		}
	}
	for _, adjustment := range b.corrections {
		if adjustment.Lands.Start == period.Start {
			builder.adjustments = append(builder.adjustments, *adjustment)
		}
	}
	for key, counts := range b.gaps {
		if key.period == period.Start {
			builder.missing[b.stands[key.stand]] += counts[0]
		}
	}
	for _, unclean := range b.unclean {
		builder.addUnclean(b.Box, unclean)
	}
	return builder.build(b.StateOf(period, now))
}
