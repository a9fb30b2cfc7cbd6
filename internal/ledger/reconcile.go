package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Span is a range of missing batches, and the number of requests in them.
type Span struct {
	From     uint64 `json:"from"`
	To       uint64 `json:"to"`
	Requests int64  `json:"requests"` // -1 = unknown
}

// Chain holds the exported batches of one ledger of one server, and what is wrong with them.
type Chain struct {
	Box      string   `json:"box"`
	Ledger   ID       `json:"ledger"`
	Last     uint64   `json:"last"`      // highest sequence number found
	Head     Hash     `json:"head"`      // hash of the last counted batch
	Closed   int64    `json:"closed_ms"` // all periods that end by then are closed
	Requests int64    `json:"requests"`  // in the batches that are counted
	Missing  []Span   `json:"missing,omitempty"`
	Doubled  []uint64 `json:"doubled,omitempty"` // found more than once with the same bytes: counted once
	Forked   []uint64 `json:"forked,omitempty"`  // claimed by two incarnations with different bytes: not counted
	Broken   []uint64 `json:"broken,omitempty"`  // does not follow the previous batch: not counted
	batches  []*Batch // those that are counted, in order
	unclean  []Unclean
}

// Sound reports whether all batches up to the last one are present and form one chain.
func (c *Chain) Sound() bool { return len(c.Missing)+len(c.Forked)+len(c.Broken) == 0 }

// Fleet is the reconciled exports of several servers.
type Fleet struct {
	Chains      []*Chain
	periods     map[string][]Period   // by name; more than one = the servers disagree on its bounds
	corrections map[string]Adjustment // by the ID of the correction
	conflicts   []Adjustment          // have the ID of another correction with other content
}

// Exports collects batches, in any order.
type Exports struct {
	chains map[chainKey]map[uint64][]batchCopy
}

type chainKey struct {
	box    string
	ledger ID
}

// batchCopy is one content that was found for a sequence number, and how often.
type batchCopy struct {
	hash  Hash
	batch *Batch
	count int
}

// Add decodes and adds a batch.
func (x *Exports) Add(bytes []byte) error {
	batch, err := DecodeBatch(bytes)
	if err != nil {
		return err
	}
	if x.chains == nil {
		x.chains = map[chainKey]map[uint64][]batchCopy{}
	}
	key, hash := chainKey{batch.Box, batch.Ledger}, SumOf(bytes)
	if x.chains[key] == nil {
		x.chains[key] = map[uint64][]batchCopy{}
	}
	copies := x.chains[key][batch.Seq]
	for i := range copies {
		if copies[i].hash == hash {
			copies[i].count++
			return nil
		}
	}
	x.chains[key][batch.Seq] = append(copies, batchCopy{hash, batch, 1})
	return nil
}

// Reconcile checks the batches of each ledger against each other. Batches that do not form a chain are listed in their
// Chain and not counted.
func (x *Exports) Reconcile() *Fleet {
	fleet := &Fleet{periods: map[string][]Period{}, corrections: map[string]Adjustment{}}
	for key, batches := range x.chains {
		fleet.Chains = append(fleet.Chains, newChain(key, batches))
	}
	slices.SortFunc(fleet.Chains, func(a, b *Chain) int {
		return cmp.Or(cmp.Compare(a.Box, b.Box), slices.Compare(a.Ledger[:], b.Ledger[:]))
	})
	for _, chain := range fleet.Chains {
		for _, batch := range chain.batches {
			for _, period := range batch.Periods {
				fleet.addPeriod(period)
			}
			for _, x := range batch.Adjustments { // a correction sent to two servers counts once
				fleet.addPeriod(x.Lands)
				if known, ok := fleet.corrections[x.Correction.ID]; !ok {
					fleet.corrections[x.Correction.ID] = x
				} else if known.Correction != x.Correction {
					fleet.conflicts = append(fleet.conflicts, x)
				}
			}
		}
	}
	return fleet
}

// addPeriod adds the bounds of a period, unless they are known.
func (f *Fleet) addPeriod(period Period) {
	if !slices.Contains(f.periods[period.Name], period) {
		f.periods[period.Name] = append(f.periods[period.Name], period)
	}
}

// newChain checks the batches of one ledger, by sequence number.
func newChain(key chainKey, batches map[uint64][]batchCopy) *Chain {
	result := &Chain{Box: key.box, Ledger: key.ledger}
	next := uint64(1)
	var prev Hash   // hash of the previous batch, if known
	known := true   // whether prev and sum are known
	sum := int64(0) // requests up to and including the previous batch
	for _, seq := range slices.Sorted(maps.Keys(batches)) {
		copies := batches[seq]
		if seq != next {
			known = false
			result.Missing = append(result.Missing, Span{next, seq - 1, -1})
		}
		next = seq + 1
		result.Last = seq
		if len(copies) > 1 {
			result.Forked = append(result.Forked, seq)
			known = false
			continue
		}
		batch, hash := copies[0].batch, copies[0].hash
		if copies[0].count > 1 {
			result.Doubled = append(result.Doubled, seq)
		}
		requests := int64(0)
		ok := true
		for _, line := range batch.Lines {
			requests, ok = checkedAddIf(requests, line.Figures[Requests], ok)
		}
		before, ok := checkedAddIf(batch.Requests, -requests, ok)
		if missing := len(result.Missing); missing > 0 && result.Missing[missing-1].To == seq-1 && ok {
			result.Missing[missing-1].Requests = before - sum
		}
		if !ok || known && (batch.Prev != prev || before != sum) {
			result.Broken = append(result.Broken, seq)
			known = false
			continue
		}
		prev, sum, known = hash, batch.Requests, true
		result.Head, result.Closed = hash, max(result.Closed, batch.Closed)
		result.Requests += requests
		result.batches = append(result.batches, batch)
		result.unclean = append(result.unclean, batch.Unclean...)
	}
	return result
}

// checkedAddIf returns a + b; false if the sum overflows or ok is false.
func checkedAddIf(a, b int64, ok bool) (int64, bool) {
	sum, added := checkedAdd(a, b)
	return sum, ok && added
}

// Periods returns all periods in the exports, in order of time.
func (f *Fleet) Periods() []Period {
	var all []Period
	for _, periods := range f.periods {
		all = append(all, periods...)
	}
	slices.SortFunc(all, func(a, b Period) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.End, b.End))
	})
	return all
}

// Expect names the servers that a statement has to cover.
type Expect struct {
	Boxes []string // their exports must be present; empty = none must
	Gone  []string // removed servers: they need not have closed the period
}

// Statement returns the statement of a period over all servers, from the batches that are counted.
func (f *Fleet) Statement(name string, expect Expect) (Statement, error) {
	periods := f.periods[name]
	if len(periods) == 0 {
		return Statement{}, fmt.Errorf("%w %q", ErrPeriod, name)
	}
	period := periods[0]
	builder := newStatementBuilder(period)
	if len(periods) > 1 {
		builder.addReason("the boxes do not agree on the bounds of %s", name)
	}
	present := map[string]bool{}
	state := Closed
	for _, chain := range f.Chains {
		present[chain.Box] = true
		if err := f.addChain(builder, chain); err != nil {
			return Statement{}, err
		}
		if chain.Closed < period.End && !slices.Contains(expect.Gone, chain.Box) {
			state = Open
			builder.addReason("%s has not closed the period", chain.Box)
		}
	}
	for _, adjustment := range f.corrections {
		if adjustment.Lands.Name == name {
			builder.adjustments = append(builder.adjustments, adjustment)
		}
	}
	for _, adjustment := range f.conflicts {
		if adjustment.Lands.Name == name {
			builder.addReason("correction %s is there with two contents", adjustment.Correction.ID)
		}
	}
	for _, box := range expect.Boxes {
		if !present[box] {
			builder.addReason("nothing of %s is there", box)
		}
	}
	return builder.build(state)
}

// addChain adds a chain's use in the period of an account, and what is wrong with the chain.
func (f *Fleet) addChain(a *statementBuilder, chain *Chain) error {
	for _, span := range chain.Missing {
		if span.Requests < 0 {
			a.addReason("%s: batches %d to %d are missing", chain.Box, span.From, span.To)
		} else {
			a.addReason("%s: batches %d to %d are missing, with %d requests", chain.Box, span.From, span.To, span.Requests)
		}
	}
	for _, seq := range chain.Forked {
		a.addReason("%s: two incarnations claim batch %d", chain.Box, seq)
	}
	for _, seq := range chain.Broken {
		a.addReason("%s: batch %d does not follow from the one before", chain.Box, seq)
	}
	for _, batch := range chain.batches {
		for _, line := range batch.Lines {
			if batch.Periods[line.Period].Name != a.period.Name {
				continue
			}
			if err := a.addRow(Row{line.Stand, line.Class, line.End.String(), line.Replay, line.Late, line.Figures}); err != nil {
				return err
			}
		}
		for _, missing := range batch.Missing {
			if batch.Periods[missing.Period].Name == a.period.Name {
				a.missing[missing.Stand] += missing.Entries
			}
		}
	}
	for _, unclean := range chain.unclean {
		a.addUnclean(chain.Box, unclean)
	}
	return nil
}
