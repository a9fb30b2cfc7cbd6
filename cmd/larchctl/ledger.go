package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"larchscale/internal/config"
	"larchscale/internal/ledger"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/peers"
	"larchscale/internal/wal"
)

type ledgerCmd struct {
	Status    statusCmd    `cmd:"" help:"Show where a box's ledger stands."`
	Statement statementCmd `cmd:"" help:"Show a box's own statement of a period."`
	Correct   correctCmd   `cmd:"" help:"Book a correction at a box."`
	Export    exportCmd    `cmd:"" help:"Write the batches that wait as files."`
	Reconcile reconcileCmd `cmd:"" help:"Settle a period from the exports of all boxes."`
	Fleet     fleetCmd     `cmd:"" help:"Ask a running box for the statement of all boxes that it hears of."`
	Verify    verifyCmd    `cmd:"" help:"Check a box's files."`
}

// atBox names a box's ledger.
type atBox struct {
	Operator string `help:"The box's operator's file." env:"LARCHSCALE_OPERATOR" required:"" placeholder:"FILE"`
}

func (a atBox) open() (*config.Operator, wal.Dir, error) {
	o, err := operator(a.Operator, "")
	if err == nil && o.Ledger.Dir == "" {
		err = badInput{fmt.Errorf("%s: ledger.dir is not set", a.Operator)}
	}
	if err != nil {
		return nil, "", err
	}
	return o, wal.Dir(o.Ledger.Dir), nil
}

// read gives the book as it is on the disk, beside a box that runs or not.
func (a atBox) read() (*ledger.Book, [][]byte, error) {
	o, dir, err := a.open()
	if err != nil {
		return nil, nil, err
	}
	b, batches, err := ledgerstore.ReadLedger(dir, o.Ledger.Options)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", dir, err)
	}
	return b, batches, nil
}

type statusCmd struct {
	atBox `embed:""`
}

type periodState struct {
	ledger.Period
	State string `json:"state"`
}

type status struct {
	Box         string        `json:"box"`
	Ledger      ledger.ID     `json:"ledger"`
	Incarnation uint32        `json:"incarnation"`
	Totals      ledger.Totals `json:"totals"`
	Periods     []periodState `json:"periods"`
}

func (c *statusCmd) Run(con *console) error {
	b, _, err := c.read()
	if err != nil {
		return err
	}
	s := status{Box: b.Box, Ledger: b.ID, Incarnation: b.Incarnation()}
	if s.Totals, err = b.Totals(); err != nil {
		return err
	}
	now := time.Now().UnixMilli()
	for _, p := range b.Periods() {
		s.Periods = append(s.Periods, periodState{p, b.StateOf(p, now).String()})
	}
	return con.print(s, func(w io.Writer) {
		fmt.Fprintf(w, "box %s, ledger %s, incarnation %d\n", s.Box, s.Ledger, s.Incarnation)
		fmt.Fprintf(w, "%d batches, %d acknowledged, %d bytes wait; %d entries missing\n", s.Totals.Batches, s.Totals.Acknowledged, s.Totals.PendingBytes, s.Totals.Lost)
		table(w, [][]string{heads(""), cells(s.Totals.Booked, "booked"), cells(s.Totals.Sealed, "in batches"), cells(s.Totals.Waiting, "waiting")})
		for _, p := range s.Periods {
			fmt.Fprintf(w, "period %s is %s\n", p.Name, p.State)
		}
	})
}

type statementCmd struct {
	atBox  `embed:""`
	Period string `arg:"" optional:"" help:"Its name, as 2026-12; without it the newest."`
}

func (c *statementCmd) Run(con *console) error {
	b, _, err := c.read()
	if err != nil {
		return err
	}
	if c.Period == "" {
		known := b.Periods()
		if len(known) == 0 {
			return errors.New("the ledger has no entries yet")
		}
		c.Period = known[len(known)-1].Name
	}
	s, err := b.Statement(c.Period, time.Now().UnixMilli())
	if err != nil {
		return err
	}
	return con.whole(s.Complete, s, func(w io.Writer) { statement(w, s) })
}

// whole prints, and ends with errNotWhole where something is missing.
func (c *console) whole(complete bool, v any, text func(io.Writer)) error {
	if err := c.print(v, text); err != nil {
		return err
	}
	if !complete {
		return errNotWhole
	}
	return nil
}

type correctCmd struct {
	atBox  `embed:""`
	ID     string           `required:"" help:"A name of its own: a correction sent twice under it counts once."`
	Reason string           `required:"" help:"Why, in a few words."`
	Period string           `required:"" help:"The period that it concerns."`
	Stand  string           `required:"" help:"The stand."`
	Class  string           `help:"The class, if it is one class's."`
	Add    map[string]int64 `required:"" help:"Figures to add, as run_us=-1500;requests=1." mapsep:";"`
	Wait   time.Duration    `default:"5s" help:"How long to wait for the box."`
}

func (c *correctCmd) Run(con *console) error {
	o, dir, err := c.open()
	if err != nil {
		return err
	}
	x := ledger.Correction{ID: c.ID, Reason: c.Reason, Period: c.Period, Stand: c.Stand, Class: c.Class}
	for name, n := range c.Add {
		i := slices.Index(ledger.FigureNames[:], name)
		if i < 0 {
			return badInput{fmt.Errorf("%q is none of %s", name, strings.Join(ledger.FigureNames[:], ", "))}
		}
		x.Figures[i] = n
	}
	if _, _, err := ledgerstore.ReadLedger(dir, o.Ledger.Options); err != nil {
		return fmt.Errorf("%s: %w", dir, err)
	}
	if err := ledgerstore.SubmitCorrection(dir, x); err != nil {
		return err
	}
	for end := time.Now().Add(c.Wait); ; time.Sleep(50 * time.Millisecond) {
		a, ok, err := ledgerstore.ReadCorrectionResult(dir, x.ID)
		switch {
		case err != nil:
			return err
		case ok && !a.Booked:
			return fmt.Errorf("refused: %s", a.Why)
		case ok:
			return con.print(a, func(w io.Writer) { fmt.Fprintln(w, "booked") })
		case time.Now().After(end):
			return errors.New("the box has not answered: the correction stays for it")
		}
	}
}

type exportCmd struct {
	atBox `embed:""`
	To    string `required:"" help:"A directory."`
	Take  bool   `help:"Tell the box that they have left it: it sends them to no collector."`
}

func (c *exportCmd) Run(con *console) error {
	_, home, err := c.open()
	if err != nil {
		return err
	}
	_, batches, err := c.read()
	if err != nil {
		return err
	}
	dir := wal.Dir(c.To)
	if err := dir.Make(); err != nil {
		return err
	}
	var names []string
	for _, bytes := range batches {
		b, err := ledger.DecodeBatch(bytes)
		if err != nil {
			return err
		}
		name := ledgerstore.BatchName(b)
		if err := ledgerstore.WriteBatch(dir, name, bytes); err != nil {
			return err
		}
		if c.Take {
			if err := ledgerstore.MarkExported(home, ledger.Sealed{Seq: b.Seq, Hash: ledger.SumOf(bytes), Size: len(bytes)}); err != nil {
				return err
			}
		}
		names = append(names, name)
	}
	return con.print(names, func(w io.Writer) { fmt.Fprintf(w, "%d batches in %s\n", len(names), c.To) })
}

type fleetCmd struct {
	atBox  `embed:""`
	Period string `arg:"" help:"Its name, as 2026-12."`
}

func (c *fleetCmd) Run(con *console) error {
	o, _, err := c.open()
	if err != nil {
		return err
	}
	if o.Ledger.Peers.Listen == "" {
		return badInput{fmt.Errorf("%s: ledger.peers.listen is not set", c.Operator)}
	}
	b, _, err := c.read()
	if err != nil {
		return err
	}
	s, err := peers.Statement(context.Background(), o.Ledger.Peers, b.Box, c.Period)
	if err != nil {
		return err
	}
	return con.whole(s.Complete, s, func(w io.Writer) { statement(w, s) })
}

type verifyCmd struct {
	atBox `embed:""`
}

func (c *verifyCmd) Run(con *console) error {
	b, batches, err := c.read()
	if err != nil {
		return err
	}
	t, err := b.Totals()
	if err != nil {
		return err
	}
	sum, err := t.Sealed.Add(t.Waiting)
	if err != nil {
		return err
	}
	if sum != t.Booked {
		return fmt.Errorf("booked %v is not in batches and waiting, %v", t.Booked, sum)
	}
	for i, s := range b.Pending() {
		if ledger.SumOf(batches[i]) != s.Hash {
			return fmt.Errorf("batch %d: its bytes are not those that were sealed", s.Seq)
		}
	}
	return con.print(t, func(w io.Writer) {
		fmt.Fprintf(w, "good: %d requests booked, %d batches wait\n", t.Booked[ledger.Requests], len(batches))
	})
}

type reconcileCmd struct {
	Files  []string `arg:"" help:"Batches, or directories of them."`
	Period string   `help:"The period to state; without it the chains alone are checked."`
	Boxes  []string `help:"Boxes that must be there."`
	Gone   []string `help:"Boxes that are gone for good and will not close the period."`
	Paise  int64    `help:"A sum of money to divide by the period's use." default:"-1"`
	Tariff string   `help:"TOML: by, over_per_mille and [shares], in millionths by stand." placeholder:"FILE"`
}

type reconciled struct {
	Chains    []*ledger.Chain   `json:"chains"`
	Periods   []ledger.Period   `json:"periods"`
	Statement *ledger.Statement `json:"statement,omitempty"`
	Parts     []ledger.Part     `json:"parts,omitempty"`
}

func (c *reconcileCmd) Run(con *console) error {
	var x ledger.Exports
	if err := addFiles(&x, c.Files); err != nil {
		return err
	}
	f := x.Reconcile()
	r := reconciled{Chains: f.Chains, Periods: f.Periods()}
	whole := true
	for _, ch := range f.Chains {
		whole = whole && ch.Sound()
	}
	if c.Period != "" {
		s, err := f.Statement(c.Period, ledger.Expect{Boxes: c.Boxes, Gone: c.Gone})
		if err != nil {
			return err
		}
		r.Statement, whole = &s, whole && s.Complete
	}
	if c.Paise >= 0 {
		if r.Statement == nil {
			return badInput{errors.New("--paise needs --period")}
		}
		by, t, err := tariff(c.Tariff)
		if err != nil {
			return err
		}
		if r.Parts, err = ledger.Apportion(c.Paise, r.Statement.Use(by), t); err != nil {
			return err
		}
	}
	return con.whole(whole, r, r.text)
}

func (r reconciled) text(w io.Writer) {
	rows := [][]string{{"box", "ledger", "batches", "requests", "missing", "doubled", "forked", "broken"}}
	for _, c := range r.Chains {
		var missing []string
		for _, s := range c.Missing {
			missing = append(missing, fmt.Sprintf("%d-%d", s.From, s.To))
		}
		rows = append(rows, []string{c.Box, c.Ledger.String()[:8], fmt.Sprint(c.Last), fmt.Sprint(c.Requests),
			strings.Join(missing, ","), list(c.Doubled), list(c.Forked), list(c.Broken)})
	}
	table(w, rows)
	if r.Statement == nil {
		for _, p := range r.Periods {
			fmt.Fprintln(w, "period", p.Name)
		}
		return
	}
	fmt.Fprintln(w)
	statement(w, *r.Statement)
	if len(r.Parts) == 0 {
		return
	}
	fmt.Fprintln(w)
	rows = [][]string{{"stand", "within share", "over share", "rupees"}}
	for _, p := range r.Parts {
		rows = append(rows, []string{name(p.Stand), fmt.Sprint(p.Within), fmt.Sprint(p.Over), rupees(p.Paise)})
	}
	table(w, rows)
}

func list(seqs []uint64) string {
	var out []string
	for _, s := range seqs {
		out = append(out, fmt.Sprint(s))
	}
	return strings.Join(out, ",")
}

// addFiles reads batches from files and from the .batch files of directories.
func addFiles(x *ledger.Exports, paths []string) error {
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		files := []string{path}
		if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*"+ledgerstore.BatchSuffix)); err != nil {
				return err
			}
		}
		for _, f := range files {
			if info, err = os.Stat(f); err == nil && info.Size() > ledger.MaxBatch {
				err = errors.New("too large for a batch")
			}
			var bytes []byte
			if err == nil {
				bytes, err = os.ReadFile(f)
			}
			if err == nil {
				err = x.Add(bytes)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", f, err)
			}
		}
	}
	return nil
}

// tariff reads a tariff file; without one all use costs the same, by the time that runs took.
func tariff(path string) (by int, t ledger.Tariff, err error) {
	file := struct {
		By     string           `toml:"by"`
		Over   int64            `toml:"over_per_mille"`
		Shares map[string]int64 `toml:"shares"`
	}{By: ledger.FigureNames[ledger.Run], Over: 1000}
	if path != "" {
		meta, err := toml.DecodeFile(path, &file)
		if err != nil {
			line, _, _ := strings.Cut(err.Error(), "\n")
			return 0, t, badInput{fmt.Errorf("%s: %s", path, line)}
		}
		if odd := meta.Undecoded(); len(odd) > 0 {
			return 0, t, badInput{fmt.Errorf("%s: unknown key %s", path, odd[0])}
		}
	}
	if by = slices.Index(ledger.FigureNames[:], file.By); by < 0 {
		return 0, t, badInput{fmt.Errorf("%s: by %q is none of %s", path, file.By, strings.Join(ledger.FigureNames[:], ", "))}
	}
	return by, ledger.Tariff{Shares: file.Shares, OverPerMille: file.Over}, nil
}
