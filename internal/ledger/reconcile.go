package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Span is a run of batches that are not there, and how many requests they hold.
type Span struct {
	From     uint64 `json:"from"`
	To       uint64 `json:"to"`
	Requests int64  `json:"requests"` // -1 = not known
}

// Chain is what the exports hold of one ledger of one box.
type Chain struct {
	Box      string   `json:"box"`
	Ledger   ID       `json:"ledger"`
	Last     uint64   `json:"last"` // highest sequence
	Head     Hash     `json:"head"` // its hash
	Closed   int64    `json:"closed_ms"`
	Requests int64    `json:"requests"` // counted
	Missing  []Span   `json:"missing,omitempty"`
	Doubled  []uint64 `json:"doubled,omitempty"` // there more than once with the same bytes: counted once
	Forked   []uint64 `json:"forked,omitempty"`  // claimed by two incarnations with different bytes: not counted
	Broken   []uint64 `json:"broken,omitempty"`  // does not follow from the batch before: not counted
	batches  []*Batch // counted
	unclean  []Unclean
}

// Sound tells that all batches up to the last are there and speak of one history.
func (c *Chain) Sound() bool { return len(c.Missing)+len(c.Forked)+len(c.Broken) == 0 }

// Fleet is what the exports of several boxes say together.
type Fleet struct {
	Chains  []*Chain
	periods map[string][]Period // by name; more than one = the boxes do not agree
	adjust  map[string]Adjustment
	clashes []Adjustment // under an id that another box has with other content
}

// Exports gathers batches from files in any order.
type Exports struct {
	chains map[chainKey]map[uint64][]copyOf
}

type chainKey struct {
	box    string
	ledger ID
}

type copyOf struct {
	hash  Hash
	batch *Batch
	count int
}

// Add takes a batch's bytes.
func (x *Exports) Add(bytes []byte) error {
	b, err := DecodeBatch(bytes)
	if err != nil {
		return err
	}
	if x.chains == nil {
		x.chains = map[chainKey]map[uint64][]copyOf{}
	}
	k, h := chainKey{b.Box, b.Ledger}, SumOf(bytes)
	if x.chains[k] == nil {
		x.chains[k] = map[uint64][]copyOf{}
	}
	copies := x.chains[k][b.Seq]
	for i := range copies {
		if copies[i].hash == h {
			copies[i].count++
			return nil
		}
	}
	x.chains[k][b.Seq] = append(copies, copyOf{h, b, 1})
	return nil
}

// Reconcile holds the batches of each box against each other. What does not follow is left out and named.
func (x *Exports) Reconcile() *Fleet {
	f := &Fleet{periods: map[string][]Period{}, adjust: map[string]Adjustment{}}
	for k, batches := range x.chains {
		f.Chains = append(f.Chains, chain(k, batches))
	}
	slices.SortFunc(f.Chains, func(a, b *Chain) int {
		return cmp.Or(cmp.Compare(a.Box, b.Box), slices.Compare(a.Ledger[:], b.Ledger[:]))
	})
	for _, c := range f.Chains {
		for _, b := range c.batches {
			for _, p := range b.Periods {
				f.know(p)
			}
			for _, x := range b.Adjustments { // one sent to two boxes counts once
				f.know(x.Lands)
				if had, ok := f.adjust[x.Correction.ID]; !ok {
					f.adjust[x.Correction.ID] = x
				} else if had.Correction != x.Correction {
					f.clashes = append(f.clashes, x)
				}
			}
		}
	}
	return f
}

func (f *Fleet) know(p Period) {
	if !slices.Contains(f.periods[p.Name], p) {
		f.periods[p.Name] = append(f.periods[p.Name], p)
	}
}

func chain(k chainKey, batches map[uint64][]copyOf) *Chain {
	c := &Chain{Box: k.box, Ledger: k.ledger}
	next := uint64(1)
	var prev Hash   // of the batch before, if that is there
	known := true   // prev and sum are
	sum := int64(0) // requests up to the batch before
	for _, seq := range slices.Sorted(maps.Keys(batches)) {
		copies := batches[seq]
		if seq != next {
			known = false
			c.Missing = append(c.Missing, Span{next, seq - 1, -1})
		}
		next = seq + 1
		c.Last = seq
		if len(copies) > 1 {
			c.Forked = append(c.Forked, seq)
			known = false
			continue
		}
		b, h := copies[0].batch, copies[0].hash
		if copies[0].count > 1 {
			c.Doubled = append(c.Doubled, seq)
		}
		own := int64(0)
		fine := true
		for _, l := range b.Lines {
			own, fine = addTo(own, l.Figures[Requests], fine)
		}
		before, fine := addTo(b.Requests, -own, fine)
		if n := len(c.Missing); n > 0 && c.Missing[n-1].To == seq-1 && fine {
			c.Missing[n-1].Requests = before - sum
		}
		if !fine || known && (b.Prev != prev || before != sum) {
			c.Broken = append(c.Broken, seq)
			known = false
			continue
		}
		prev, sum, known = h, b.Requests, true
		c.Head, c.Closed = h, max(c.Closed, b.Closed)
		c.Requests += own
		c.batches = append(c.batches, b)
		c.unclean = append(c.unclean, b.Unclean...)
	}
	return c
}

func addTo(a, b int64, ok bool) (int64, bool) {
	sum, fine := add(a, b)
	return sum, ok && fine
}

// Periods are the names of all periods in the exports, in order of time.
func (f *Fleet) Periods() []Period {
	var out []Period
	for _, list := range f.periods {
		out = append(out, list...)
	}
	slices.SortFunc(out, func(a, b Period) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.End, b.End))
	})
	return out
}

// Expect says which boxes a statement needs. Boxes that are gone need not have closed the period.
type Expect struct {
	Boxes []string // that must be there; none = those that are
	Gone  []string
}

// Statement is the fleet's statement of a period, from all that follows.
func (f *Fleet) Statement(name string, e Expect) (Statement, error) {
	list := f.periods[name]
	if len(list) == 0 {
		return Statement{}, fmt.Errorf("%w %q", ErrPeriod, name)
	}
	p := list[0]
	a := newAccount(p)
	if len(list) > 1 {
		a.note("the boxes do not agree on the bounds of %s", name)
	}
	there := map[string]bool{}
	state := Closed
	for _, c := range f.Chains {
		there[c.Box] = true
		if err := f.add(a, c); err != nil {
			return Statement{}, err
		}
		if c.Closed < p.End && !slices.Contains(e.Gone, c.Box) {
			state = Open
			a.note("%s has not closed the period", c.Box)
		}
	}
	for _, x := range f.adjust {
		if x.Lands.Name == name {
			a.adjust = append(a.adjust, x)
		}
	}
	for _, x := range f.clashes {
		if x.Lands.Name == name {
			a.note("correction %s is there with two contents", x.Correction.ID)
		}
	}
	for _, box := range e.Boxes {
		if !there[box] {
			a.note("nothing of %s is there", box)
		}
	}
	return a.statement(state)
}

// add puts a chain's part of a period into an account.
func (f *Fleet) add(a *account, c *Chain) error {
	for _, s := range c.Missing {
		if s.Requests < 0 {
			a.note("%s: batches %d to %d are missing", c.Box, s.From, s.To)
		} else {
			a.note("%s: batches %d to %d are missing, with %d requests", c.Box, s.From, s.To, s.Requests)
		}
	}
	for _, seq := range c.Forked {
		a.note("%s: two incarnations claim batch %d", c.Box, seq)
	}
	for _, seq := range c.Broken {
		a.note("%s: batch %d does not follow from the one before", c.Box, seq)
	}
	for _, b := range c.batches {
		for _, l := range b.Lines {
			if b.Periods[l.Period].Name != a.period.Name {
				continue
			}
			if err := a.use(Row{l.Stand, l.Class, l.End.String(), l.Replay, l.Late, l.Figures}); err != nil {
				return err
			}
		}
		for _, m := range b.Missing {
			if b.Periods[m.Period].Name == a.period.Name {
				a.missing[m.Stand] += m.Entries
			}
		}
	}
	for _, u := range c.unclean {
		a.unclean(c.Box, u)
	}
	return nil
}
