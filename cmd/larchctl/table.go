package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"larchscale/internal/ledger"
)

// print writes v as JSON, or what text writes.
func (c *console) print(v any, text func(io.Writer)) error {
	if c.json {
		e := json.NewEncoder(c.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	text(c.out)
	return nil
}

// table writes rows in columns, the first row as their heads. Figures stand to the right.
func table(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t")+"\t")
	}
	t.Flush()
}

// heads are the columns of Figures.
func heads(first ...string) []string { return append(first, ledger.FigureNames[:]...) }

func cells(f ledger.Figures, first ...string) []string {
	for _, x := range f {
		first = append(first, fmt.Sprint(x))
	}
	return first
}

func name(stand string) string {
	if stand == "" {
		return "-"
	}
	return stand
}

func when(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z") }

func rupees(paise int64) string { return fmt.Sprintf("%d.%02d", paise/100, paise%100) }

// statement writes a statement as people read it.
func statement(w io.Writer, s ledger.Statement) {
	fmt.Fprintf(w, "period %s (%s to %s), %s\n", s.Period.Name, when(s.Period.Start), when(s.Period.End), s.State)
	if !s.Complete {
		fmt.Fprintln(w, "INCOMPLETE:")
		for _, why := range s.Why {
			fmt.Fprintln(w, "  "+why)
		}
	}
	rows := [][]string{heads("stand", "class", "end")}
	for _, r := range s.Rows {
		end := r.End
		if r.Replay {
			end += " (replay)"
		}
		if r.Late {
			end += " (late entry)"
		}
		rows = append(rows, cells(r.Figures, name(r.Stand), r.Class, end))
	}
	table(w, rows)
	fmt.Fprintln(w)
	rows = [][]string{heads("stand", "")}
	for _, h := range append(s.Stands, s.Total) {
		label := name(h.Stand)
		if h == s.Total {
			label = "all"
		}
		rows = append(rows, cells(h.Used, label, "used"))
		if !h.Adjusted.Zero() {
			rows = append(rows, cells(h.Adjusted, label, "adjusted"), cells(h.Net, label, "net"))
		}
	}
	table(w, rows)
	for _, a := range s.Adjustments {
		carried := ""
		if a.Carried() {
			carried = ", of closed " + a.Concerns.Name
		}
		fmt.Fprintf(w, "adjustment %s of %s%s: %s\n", a.Correction.ID, name(a.Correction.Stand), carried, a.Correction.Reason)
	}
}
