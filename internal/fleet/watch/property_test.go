package watch

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// defect is a fault that is injected into a world to check that the checks detect it.
type defect int

const (
	noDefect           defect = iota
	mixedSnapshot             // a snapshot continues with newer values
	restampedSnapshot         // each batch of a snapshot has the revision at the time it was read
	compactionOffByOne        // a reader that misses one dropped update gets no snapshot
	aheadReaderReset          // a reader ahead of the history starts at the history's revision
	updateLost                // a batch lacks one of its updates
	deletionsLost             // batches lack deletions
	changeSetSplit            // a batch ends within the updates between two calls of Advance
	earlyAdvance              // Advance is called before all changes were added
	limitsIgnored             // the history exceeds its limits
	gapsIgnored               // a view accepts a batch that does not start at its revision
	batchFromPosition         // batches start at the reader's position instead of the end of the last batch
	defectCount
)

// change is a change of the state. Its revision is its index in the log, counted from 1.
type change struct {
	key     string
	value   []byte
	deleted bool
}

// changeLog is the reference model: all changes, replayed for each query.
type changeLog []change

func (changes changeLog) revision() uint64 { return uint64(len(changes)) }

// stateAt returns the state at a revision, and the effective configuration updates after another revision.
func (changes changeLog) stateAt(revision, after uint64) (state map[string]Update, effective []Update) {
	state = map[string]Update{}
	for i, c := range changes[:revision] {
		u := Update{Revision: uint64(i + 1), Key: c.key, Value: c.value, Deleted: c.deleted}
		old, known := state[c.key]
		if known != c.deleted && (!known || bytes.Equal(old.Value, c.value)) && (known || c.deleted) {
			continue
		}
		if c.deleted {
			delete(state, c.key)
		} else {
			state[c.key] = u
		}
		if u.Revision > after && isConfiguration(c.key) {
			effective = append(effective, u)
		}
	}
	return state, effective
}

func isConfiguration(key string) bool { return strings.HasPrefix(key, "configuration/") }

// replica is a node's history. It is updated in two steps, between which readers may read.
type replica struct {
	history    *History
	advancedTo uint64 // revision of the last Advance
	fedTo      uint64 // changes up to here were added; above advancedTo until the next Advance
}

// watcher is a view, its reader at one of the replicas, and the batches in flight between them.
type watcher struct {
	interest  Interest
	replica   *replica
	reader    *Reader
	view      *View
	inFlight  []Batch
	disturbed bool // a batch was lost or reordered: the view may reject the following ones
}

// world is a state, two replicas that are updated at different times, and watchers that move between the replicas.
type world struct {
	t        *rapid.T
	defect   defect
	limits   Limits
	maxBytes int
	changes  changeLog
	replicas []*replica
	watchers []*watcher
}

const maxInFlight = 4

var (
	keys = []string{"configuration/a", "configuration/b", "configuration/c", "server/1", "server/2", "server/3"}
	// With these limits some worlds take snapshots most of the time, and others hardly ever.
	updateLimits = []int{0, 2, 5, 12, 60}
	byteLimits   = []int{0, 150, 600, 10_000}
	batchLimits  = []int{1, 60, 150, 600}

	texts = []string{"", "x", "y", strings.Repeat("z", 80)}
)

func newWorld(t *rapid.T, d defect) *world {
	w := &world{t: t, defect: d}
	w.limits.Updates = updateLimits[w.pick(len(updateLimits), "limit of updates")]
	w.limits.Bytes = byteLimits[w.pick(len(byteLimits), "limit of bytes")]
	w.maxBytes = batchLimits[w.pick(len(batchLimits), "bytes of a batch")]
	for range 2 {
		r := &replica{history: NewHistory(w.limits)}
		if d == limitsIgnored {
			r.history.recent.limits = Limits{Bytes: 1 << 20, Updates: 1 << 20}
		}
		w.replicas = append(w.replicas, r)
	}
	for _, interest := range []Interest{
		allKeys,
		{Keys: []string{"server/1"}, Prefixes: []string{"configuration/"}},
		{Keys: []string{"server/2", "server/3"}},
		{Keys: []string{"server/1", "configuration/a"}, Prefixes: []string{"server/", "server/2", "configuration/b"}},
	} {
		watcher := &watcher{interest: interest, view: NewView()}
		w.watchers = append(w.watchers, watcher)
		w.connect(watcher, w.replicas[0])
	}
	return w
}

// pick draws a uniform number below n. The ranges of rapid prefer small numbers and would seldom move a watcher.
func (w *world) pick(n int, label string) int {
	const bits = 6
	drawn := 0
	for range bits {
		drawn *= 2
		if rapid.Bool().Draw(w.t, label) {
			drawn++
		}
	}
	return drawn % n
}

// runWorld performs random steps and then ends all faults.
func runWorld(t *rapid.T, d defect) error {
	w := newWorld(t, d)
	steps := []func() error{w.appendChanges, w.feedReplica, w.feedReplica, w.loadSnapshot, w.connectAnywhere, w.readBatch, w.readBatch, w.readBatch, w.deliver, w.deliver, w.deliver, w.deliver}
	for range 1 + w.pick(64, "steps")*4 {
		if err := steps[w.pick(len(steps), "step")](); err != nil {
			return err
		}
		if err := w.checkBounds(); err != nil {
			return err
		}
	}
	return w.heal()
}

// appendChanges appends random changes. The values of servers never repeat; those of configuration may.
func (w *world) appendChanges() error {
	for range rapid.IntRange(1, 5).Draw(w.t, "changes") {
		c := change{
			key:     keys[w.pick(len(keys), "key")],
			deleted: w.pick(4, "deleted") == 0,
		}
		if !c.deleted {
			text := texts[w.pick(len(texts), "value")]
			if !isConfiguration(c.key) {
				text += fmt.Sprint(w.changes.revision())
			}
			c.value = []byte(text)
		}
		w.changes = append(w.changes, c)
	}
	return nil
}

func (w *world) drawReplica() *replica {
	return w.replicas[w.pick(len(w.replicas), "replica")]
}

func (w *world) drawWatcher() *watcher {
	return w.watchers[w.pick(len(w.watchers), "watcher")]
}

// feedReplica adds changes up to a random revision to a replica, or advances it to the changes added before.
func (w *world) feedReplica() error {
	r := w.drawReplica()
	if r.fedTo > r.advancedTo {
		w.advance(r)
		return nil
	}
	upTo := rapid.Uint64Range(r.advancedTo, w.changes.revision()).Draw(w.t, "up to")
	updates := w.coalesced(r.advancedTo, upTo, rapid.Bool().Draw(w.t, "late"))
	for i, u := range updates {
		if w.defect == earlyAdvance && i > 0 && updates[i-1].Revision < u.Revision {
			r.history.Advance(updates[i-1].Revision)
		}
		if u.Deleted {
			r.history.Delete(u.Revision, u.Key)
		} else {
			r.history.Put(u.Revision, u.Key, u.Value)
		}
	}
	r.fedTo = upTo
	w.injectHistoryDefect(r)
	return nil
}

// coalesced returns the changes between two revisions in the order of revisions: all configuration changes, and the
// newest of each server, at its own revision or late at the last revision.
func (w *world) coalesced(after, upTo uint64, late bool) []Update {
	var updates []Update
	newest := map[string]bool{}
	for revision := upTo; revision > after; revision-- {
		c := w.changes[revision-1]
		u := Update{Revision: revision, Key: c.key, Value: c.value, Deleted: c.deleted}
		if !isConfiguration(c.key) {
			if newest[c.key] {
				continue
			}
			newest[c.key] = true
			if late {
				u.Revision = upTo
			}
		}
		updates = append(updates, u)
	}
	slices.Reverse(updates)
	slices.SortStableFunc(updates, func(a, b Update) int { return int(a.Revision) - int(b.Revision) })
	return updates
}

func (w *world) advance(r *replica) {
	r.history.Advance(r.fedTo)
	r.advancedTo = r.fedTo
	w.injectHistoryDefect(r)
}

// injectHistoryDefect applies the defects of histories.
func (w *world) injectHistoryDefect(r *replica) {
	if w.defect == compactionOffByOne && r.history.compacted > 0 {
		r.history.compacted--
	}
}

// loadSnapshot replaces the state of a replica as a raft snapshot does.
func (w *world) loadSnapshot() error {
	r := w.drawReplica()
	if w.pick(4, "load") > 0 || r.fedTo == w.changes.revision() {
		return nil
	}
	to := rapid.Uint64Range(r.fedTo+1, w.changes.revision()).Draw(w.t, "to")
	state, _ := w.changes.stateAt(to, 0)
	r.history.Reset(to)
	for _, u := range state {
		r.history.Put(u.Revision, u.Key, u.Value)
	}
	r.fedTo = to
	return nil
}

func (w *world) connect(watcher *watcher, to *replica) {
	after := watcher.view.Revision()
	watcher.replica, watcher.inFlight, watcher.disturbed = to, nil, false
	watcher.reader = to.history.NewReader(watcher.interest, after)
	if w.defect == aheadReaderReset {
		watcher.reader.position = min(after, to.history.Revision())
	}
}

func (w *world) connectAnywhere() error {
	w.connect(w.drawWatcher(), w.drawReplica())
	return nil
}

// readBatch reads a batch from a random watcher's reader.
func (w *world) readBatch() error {
	_, err := w.readBatchOf(w.drawWatcher())
	return err
}

func (w *world) readBatchOf(watcher *watcher) (bool, error) {
	if len(watcher.inFlight) >= maxInFlight {
		return true, nil
	}
	reader := watcher.reader
	if s := reader.snapshot; s != nil && w.defect == mixedSnapshot && len(s.remaining) > 0 {
		next := s.remaining[0].Key
		s.remaining = slices.DeleteFunc(reader.history.newest.matching(&reader.interest), func(u *Update) bool { return u.Key < next })
	}
	if w.defect == batchFromPosition && reader.snapshot == nil {
		reader.sentRevision = reader.position
	}
	b, ok := reader.Next(w.maxBytes)
	if !ok {
		return false, nil
	}
	if err := w.checkBatch(&b); err != nil {
		return false, err
	}
	watcher.inFlight = append(watcher.inFlight, w.injectBatchDefect(reader, b)...)
	return true, nil
}

// injectBatchDefect applies the defects of batches.
func (w *world) injectBatchDefect(reader *Reader, b Batch) []Batch {
	n := len(b.Updates)
	switch {
	case w.defect == restampedSnapshot && b.Snapshot:
		b.To = reader.history.Revision()
	case w.defect == updateLost && n > 1:
		b.Updates = b.Updates[:n-1]
	case w.defect == deletionsLost:
		b.Updates = slices.DeleteFunc(b.Updates, func(u Update) bool { return u.Deleted })
	case w.defect == changeSetSplit && !b.Snapshot && n > 1 && b.Updates[n-2].Revision < b.Updates[n-1].Revision:
		head, tail := b, b
		head.Updates, tail.Updates = b.Updates[:n-1], b.Updates[n-1:]
		head.To = head.Updates[n-2].Revision
		tail.From = head.To
		return []Batch{head, tail}
	}
	return []Batch{b}
}

// checkBatch checks that a batch is within its size limit.
func (w *world) checkBatch(b *Batch) error {
	size := 0
	for i := range b.Updates {
		size += b.Updates[i].size()
	}
	if size > w.maxBytes+w.maxBytes/2 && len(b.Updates) > 1 || b.Snapshot && size > w.maxBytes && len(b.Updates) > 1 {
		return fmt.Errorf("batch of %d updates with %d bytes, at most %d", len(b.Updates), size, w.maxBytes)
	}
	return nil
}

// deliver delivers a batch to a random watcher's view: in order, or with a network fault.
func (w *world) deliver() error {
	watcher := w.drawWatcher()
	if len(watcher.inFlight) == 0 {
		return nil
	}
	b := watcher.inFlight[0]
	watcher.inFlight = watcher.inFlight[1:]
	switch w.pick(12, "fault") {
	case 0: // lost
		watcher.disturbed = true
		return nil
	case 1: // duplicated
		if err := w.apply(watcher, b); err != nil {
			return err
		}
		return w.applyAgain(watcher, b)
	case 2: // swapped with the next batch
		if len(watcher.inFlight) > 0 {
			b, watcher.inFlight[0] = watcher.inFlight[0], b
			watcher.disturbed = true
		}
	}
	return w.apply(watcher, b)
}

// apply applies a batch to a view and checks the result. A view that rejects the batch is reconnected.
func (w *world) apply(watcher *watcher, b Batch) error {
	view := watcher.view
	before, revision := viewContents(view), view.Revision()
	if w.defect == gapsIgnored && !b.Snapshot {
		b.From = min(revision, b.To-1)
	}
	changed, err := view.Apply(b)
	if err != nil {
		if !watcher.disturbed || !errors.Is(err, ErrGap) {
			return fmt.Errorf("rejected without a fault: %w", err)
		}
		if view.Revision() != revision || !slices.EqualFunc(before, viewContents(view), equal) {
			return fmt.Errorf("a rejected batch changed the view: %w", err)
		}
		w.connect(watcher, w.drawReplica())
		return nil
	}
	if b.Snapshot && !b.Last {
		if len(changed) > 0 || view.Revision() != revision || !slices.EqualFunc(before, viewContents(view), equal) {
			return fmt.Errorf("an incomplete snapshot changed the view by %v", changed)
		}
		return nil
	}
	if view.Revision() <= revision {
		return fmt.Errorf("view went from revision %d to %d", revision, view.Revision())
	}
	if err := w.checkView(watcher); err != nil {
		return err
	}
	return w.checkChanged(watcher, before, revision, changed, b.Snapshot)
}

// applyAgain applies a batch a second time. This must not change the view.
func (w *world) applyAgain(watcher *watcher, b Batch) error {
	view := watcher.view
	before, revision := viewContents(view), view.Revision()
	changed, err := view.Apply(b)
	if err == nil && !(b.Snapshot && b.First && !b.Last) {
		return fmt.Errorf("batch to %d was accepted twice", b.To)
	}
	if err != nil && !errors.Is(err, ErrGap) {
		return fmt.Errorf("duplicate batch: %w", err)
	}
	if len(changed) > 0 || view.Revision() != revision || !slices.EqualFunc(before, viewContents(view), equal) {
		return fmt.Errorf("duplicate batch to %d changed the view by %v", b.To, changed)
	}
	return nil
}

func equal(a, b Update) bool {
	return a.Revision == b.Revision && a.Key == b.Key && a.Deleted == b.Deleted && bytes.Equal(a.Value, b.Value)
}

// checkView compares a view with the state at its revision. The revisions of server keys are not compared, because
// they depend on when the changes were added.
func (w *world) checkView(watcher *watcher) error {
	view := watcher.view
	state, _ := w.changes.stateAt(view.Revision(), 0)
	hash := NewHash()
	held := 0
	for u := range view.All("") {
		held++
		want, ok := state[u.Key]
		if !ok || !watcher.interest.includes(u.Key) || !bytes.Equal(want.Value, u.Value) || u.Revision > view.Revision() {
			return fmt.Errorf("at revision %d: %v, want %v", view.Revision(), u, want)
		}
		if isConfiguration(u.Key) {
			hash.Add(strings.TrimPrefix(u.Key, "configuration/"), want.Revision, want.Value)
		}
	}
	for key := range state {
		if !watcher.interest.includes(key) {
			delete(state, key)
		}
	}
	if held != len(state) {
		return fmt.Errorf("at revision %d: %d keys, want %d", view.Revision(), held, len(state))
	}
	if view.Digest("configuration/") != hash.Sum() {
		return fmt.Errorf("at revision %d: the digest differs", view.Revision())
	}
	return nil
}

// checkChanged checks that the changes reported by a view lead from its previous to its present content, each once
// and in order.
func (w *world) checkChanged(watcher *watcher, before []Update, revision uint64, changed []Update, snapshot bool) error {
	have := map[string]Update{}
	for _, u := range before {
		have[u.Key] = u
	}
	var configuration []Update
	for _, u := range changed {
		old, known := have[u.Key]
		if known != u.Deleted && (u.Deleted || known && bytes.Equal(old.Value, u.Value)) || known && u.Revision <= old.Revision {
			return fmt.Errorf("%v after %v", u, old)
		}
		if u.Deleted {
			delete(have, u.Key)
		} else {
			have[u.Key] = u
		}
		if isConfiguration(u.Key) {
			configuration = append(configuration, u)
		}
	}
	now := viewContents(watcher.view)
	if len(now) != len(have) {
		return fmt.Errorf("changes lead to %d keys, not %d", len(have), len(now))
	}
	for _, u := range now {
		if !bytes.Equal(have[u.Key].Value, u.Value) {
			return fmt.Errorf("changes lead to %v, not %v", have[u.Key], u)
		}
	}
	_, want := w.changes.stateAt(watcher.view.Revision(), revision)
	want = slices.DeleteFunc(want, func(u Update) bool { return !watcher.interest.includes(u.Key) })
	if !snapshot && !slices.EqualFunc(configuration, want, equal) {
		return fmt.Errorf("configuration changed by %v, want %v", configuration, want)
	}
	return nil
}

// checkBounds checks the limits and the size counters of all histories and views.
func (w *world) checkBounds() error {
	for _, r := range w.replicas {
		recent := &r.history.recent
		size := 0
		for _, u := range recent.updates {
			size += u.size()
		}
		if size != recent.bytes || size > w.limits.Bytes || len(recent.updates) > w.limits.Updates {
			return fmt.Errorf("history keeps %d updates of %d bytes, counts %d, at most %v", len(recent.updates), size, recent.bytes, w.limits)
		}
		if err := checkIndex(recent); err != nil {
			return err
		}
		if cap(recent.updates) > 4*(w.limits.Updates+4) {
			return fmt.Errorf("capacity for %d updates, limit %d", cap(recent.updates), w.limits.Updates)
		}
		if err := checkTable(&r.history.newest); err != nil {
			return err
		}
	}
	for _, watcher := range w.watchers {
		if err := checkTable(&watcher.view.table); err != nil {
			return err
		}
	}
	return nil
}

// checkIndex checks that the index has each recent update once by its key and once by its group, and nothing else.
func checkIndex(recent *recentUpdates) error {
	byKey, byGroup := map[string][]uint64{}, map[string][]uint64{}
	for i, u := range recent.updates {
		number := recent.firstNumber + uint64(i)
		byKey[u.Key] = append(byKey[u.Key], number)
		byGroup[keyGroup(u.Key)] = append(byGroup[keyGroup(u.Key)], number)
	}
	if !maps.EqualFunc(byKey, recent.byKey, slices.Equal) || !maps.EqualFunc(byGroup, recent.byGroup, slices.Equal) {
		return fmt.Errorf("index %v and %v, want %v and %v", recent.byKey, recent.byGroup, byKey, byGroup)
	}
	return nil
}

// checkTable checks the order and the size counter of a table.
func checkTable(t *table) error {
	size := 0
	for i, u := range t.updates {
		size += u.size()
		if u.Deleted || i > 0 && t.updates[i-1].Key >= u.Key {
			return fmt.Errorf("table holds %v at %d", *u, i)
		}
	}
	if size != t.bytes {
		return fmt.Errorf("table of %d bytes counts %d", size, t.bytes)
	}
	return nil
}

// heal adds all changes to all replicas and ends network faults. Every view must end equal to the state.
func (w *world) heal() error {
	for _, r := range w.replicas {
		if r.fedTo > r.advancedTo {
			w.advance(r)
		}
		for _, u := range w.coalesced(r.advancedTo, w.changes.revision(), false) {
			if u.Deleted {
				r.history.Delete(u.Revision, u.Key)
			} else {
				r.history.Put(u.Revision, u.Key, u.Value)
			}
		}
		r.fedTo = w.changes.revision()
		w.advance(r)
	}
	for _, watcher := range w.watchers {
		if err := w.catchUp(watcher); err != nil {
			return err
		}
	}
	return w.checkBounds()
}

// catchUp delivers batches to a watcher's view until there are no more.
func (w *world) catchUp(watcher *watcher) error {
	const maxBatches = 1000 // batches; a world has far fewer updates
	for range maxBatches {
		more, err := w.readBatchOf(watcher)
		if err != nil {
			return err
		}
		if !more && len(watcher.inFlight) == 0 {
			return w.checkEnd(watcher)
		}
		b := watcher.inFlight[0]
		watcher.inFlight = watcher.inFlight[1:]
		if err := w.apply(watcher, b); err != nil {
			return err
		}
	}
	return fmt.Errorf("no end after %d batches", maxBatches)
}

// checkEnd compares a view that has received everything with the state.
func (w *world) checkEnd(watcher *watcher) error {
	end := w.changes.revision()
	if watcher.disturbed { // the last batches were lost and are only sent again on a new connection
		w.connect(watcher, w.drawReplica())
		return w.catchUp(watcher)
	}
	if watcher.reader.Position() != end || watcher.reader.Snapshotting() {
		return fmt.Errorf("reader ends at %d of %d", watcher.reader.Position(), end)
	}
	state, _ := w.changes.stateAt(end, 0)
	for key, want := range state {
		got, ok := watcher.view.Get(key)
		if wanted := watcher.interest.includes(key); ok != wanted || wanted && !bytes.Equal(got.Value, want.Value) {
			return fmt.Errorf("final value %v, want %v", got, want)
		}
	}
	for _, key := range watcher.view.Keys("") {
		if _, ok := state[key]; !ok {
			return fmt.Errorf("key %q remains at the end", key)
		}
	}
	return nil
}

// TestViewsMatchState moves watchers between two histories that coalesce changes differently, over a network that
// loses, duplicates and swaps batches. Every view must always equal the state at its revision.
func TestViewsMatchState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runWorld(t, noDefect); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDefectsAreFound injects one defect at a time. The same checks must find each defect, and nothing when there
// is none.
func TestDefectsAreFound(t *testing.T) {
	const maxWorlds = 1000 // worlds, the same in each run
	names := [defectCount]string{
		noDefect:           "none",
		mixedSnapshot:      "a snapshot continues with newer values",
		restampedSnapshot:  "a snapshot with the current revision",
		compactionOffByOne: "compaction off by one",
		aheadReaderReset:   "a reader ahead starts at the history's revision",
		updateLost:         "an update lost",
		deletionsLost:      "deletions lost",
		changeSetSplit:     "a change set split",
		earlyAdvance:       "Advance called early",
		limitsIgnored:      "limits ignored",
		gapsIgnored:        "gaps ignored",
		batchFromPosition:  "batches start at the position",
	}
	for d, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worlds := rapid.Custom(func(t *rapid.T) error { return runWorld(t, defect(d)) })
			for seed := range maxWorlds {
				err := worlds.Example(seed)
				switch {
				case err != nil && defect(d) == noDefect:
					t.Fatalf("world %d: %v", seed, err)
				case err != nil:
					t.Logf("found in world %d: %v", seed, err)
					return
				}
			}
			if defect(d) != noDefect {
				t.Errorf("defect not found in %d worlds", maxWorlds)
			}
		})
	}
}
