package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// formatNumber writes three significant digits, and whole numbers from 1,000 up with separators.
func formatNumber(value float64) string {
	magnitude := math.Abs(value)
	switch {
	case value == math.Trunc(value) && magnitude < 1000:
		return strconv.FormatFloat(value, 'f', 0, 64)
	case magnitude >= 999.5:
		return groupThousands(strconv.FormatFloat(value, 'f', 0, 64))
	case magnitude < 0.001:
		return strconv.FormatFloat(value, 'e', 2, 64)
	}
	return strconv.FormatFloat(value, 'f', max(0, 2-int(math.Floor(math.Log10(magnitude)))), 64)
}

func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

func formatShare(share float64, ok bool) string {
	switch {
	case !ok:
		return "-"
	case share < 0.1:
		return fmt.Sprintf("%.1f%%", 100*share)
	}
	return groupThousands(fmt.Sprintf("%.0f", 100*share)) + "%"
}

// table writes a Markdown table.
func table(head []string, lines [][]string) string {
	var out strings.Builder
	write := func(cells []string) {
		out.WriteString("|")
		for _, c := range cells {
			out.WriteString(" " + strings.ReplaceAll(c, "|", "\\|") + " |")
		}
		out.WriteString("\n")
	}
	write(head)
	rule := make([]string, len(head))
	for i := range rule {
		rule[i] = "---"
	}
	write(rule)
	for _, l := range lines {
		write(l)
	}
	return out.String()
}

// truthUnit is the unit of measurements that tell whether something is so.
const truthUnit = "0 or 1"

func shownUnit(unit string) string {
	if unit == truthUnit {
		return ""
	}
	return unit
}

// formatCell writes a value with how it is known.
func formatCell(cell Cell, unit string) string {
	if cell.Provenance == NotMeasured {
		return string(NotMeasured)
	}
	text := strings.TrimSpace(formatNumber(cell.Value) + " " + shownUnit(unit))
	if cell.Unsteady != "" {
		text += " [unsteady: " + cell.Unsteady + "]"
	}
	if cell.Provenance == Measured && !cell.AtSize {
		if cell.Each {
			text += " by the cost of one"
		}
		return fmt.Sprintf("(%s at %s %s)", text, formatNumber(cell.PointSize), cell.PointUnit)
	}
	if cell.Beyond {
		text += " *"
	}
	return text
}

// formulaWithPoint writes the formula of a cell and, for a measured point, the size that it was taken at.
func formulaWithPoint(cell Cell) string {
	if cell.Provenance != Measured {
		return cell.Formula
	}
	return fmt.Sprintf("%s (at %s %s)", cell.Formula, formatNumber(cell.PointSize), cell.PointUnit)
}

// RowsTable writes the rows of a role at two sizes.
func RowsTable(rows []Row, role Role, recording *Recording, small, large Size) (string, error) {
	head := []string{"row", "what", "mechanism", "slope × count", fmt.Sprintf("at %s servers", formatNumber(small.Servers)), "share",
		fmt.Sprintf("at %s", formatNumber(large.Servers)), "share", "budget", "known by"}
	var lines [][]string
	for i := range rows {
		r := &rows[i]
		if r.Role != role {
			continue
		}
		line, err := rowLine(r, recording, small, large)
		if err != nil {
			return "", err
		}
		lines = append(lines, line)
	}
	return table(head, lines), nil
}

// what describes a row: its aspect and quantity.
func (r *Row) what() string {
	return strings.TrimPrefix(string(r.Aspect)+": "+r.Quantity, ": ")
}

func rowLine(r *Row, recording *Recording, small, large Size) ([]string, error) {
	atSmall, err := r.Cell(recording, small)
	if err != nil {
		return nil, err
	}
	atLarge, err := r.Cell(recording, large)
	if err != nil {
		return nil, err
	}
	formula := formulaWithPoint(atSmall)
	if r.Source != "" {
		formula += " (" + r.Source + ")"
	}
	budget := "none stated"
	if r.Budget.Most != 0 {
		budget = formatNumber(r.Budget.Most) + " " + r.Unit + " (" + r.Budget.Why + ")"
	}
	mechanism := r.Mechanism
	if mechanism == "" {
		mechanism = "none yet"
	}
	return []string{"`" + r.ID + "`", r.what(), mechanism, formula,
		formatCell(atSmall, r.Unit), formatShare(atSmall.Share(r.Budget)),
		formatCell(atLarge, r.Unit), formatShare(atLarge.Share(r.Budget)),
		budget, string(atSmall.Provenance)}, nil
}

// MeasurementsTable writes what was measured, with the fit of each and the command that repeats it.
func MeasurementsTable(recording *Recording) string {
	var lines [][]string
	for i := range recording.Measurements {
		m := &recording.Measurements[i]
		lines = append(lines, []string{"`" + m.Name + "`", formatPoints(m), m.Unit, formatFit(m), formatSpread(m), strconv.Itoa(m.Cores),
			"`" + m.Command + "`", m.Revision, m.Note})
	}
	if len(lines) == 0 {
		return "Nothing is recorded.\n"
	}
	return table([]string{"measurement", "value at size", "unit", "fit (largest error at a size left out)", "spread", "cores", "command", "revision", "note"}, lines)
}

func formatPoints(m *Measurement) string {
	var parts []string
	for _, p := range m.Points {
		parts = append(parts, formatNumber(p.Value)+" at "+formatNumber(p.Size))
	}
	return strings.Join(parts, "; ") + " " + m.SizeUnit
}

func formatFit(m *Measurement) string {
	fit, err := NewFit(m.Points)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s (%.1f%%)", fit, 100*fit.LeaveOneOut)
}

// formatSpread writes the largest spread of a size, as a part of its value, and its runs.
func formatSpread(m *Measurement) string {
	spread, least := 0.0, math.MaxInt
	for _, p := range m.Points {
		least = min(least, p.Runs)
		if p.Value != 0 {
			spread = max(spread, p.Spread/math.Abs(p.Value))
		}
	}
	if least <= 1 {
		return "one run"
	}
	return fmt.Sprintf("%.0f%% of %d runs", 100*spread, least)
}

// WallsTable writes walls in the order in which growth meets them.
func WallsTable(walls []Wall, target Size) string {
	var lines [][]string
	for i, w := range walls {
		lines = append(lines, []string{strconv.Itoa(i + 1), formatNumber(math.Ceil(w.Servers - 1e-6*w.Servers)), fmt.Sprintf("%.2f", w.Servers/target.Servers),
			w.What, w.Limit, string(w.Provenance), w.How})
	}
	return table([]string{"order", "met at servers", "of the target", "wall", "limit", "known by", "how"}, lines)
}

// SizesTable writes the sizes that the page is worked out for.
func SizesTable(small, large Size) string {
	line := func(name string, of func(Size) float64) []string {
		return []string{name, formatNumber(of(small)), formatNumber(of(large))}
	}
	return table([]string{"", "target", "twice"}, [][]string{
		line("app servers", func(s Size) float64 { return s.Servers }),
		line("app servers a zone", func(s Size) float64 { return s.Servers / s.Zones }),
		line("regions", func(s Size) float64 { return s.Regions }),
		line("zones", func(s Size) float64 { return s.Zones }),
		line("callers", func(s Size) float64 { return s.Callers }),
		line("services", func(s Size) float64 { return s.Services }),
		line("requests/s", func(s Size) float64 { return s.RequestsPerSecond }),
		line("requests/s a server", Size.RequestsPerServer),
		line("routes", func(s Size) float64 { return s.Routes }),
		line("tenants", func(s Size) float64 { return s.Tenants }),
		line("configuration changes a day", func(s Size) float64 { return s.ConfigChanges }),
		line("machines that fail a day", func(s Size) float64 { return s.Failures }),
		line("servers restarted or replaced a day", func(s Size) float64 { return s.Restarts }),
		line("control nodes", func(s Size) float64 { return s.ControlNodes }),
	})
}
