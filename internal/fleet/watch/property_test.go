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

// defect is a fault that is built into a world, to see that its checks find it.
type defect int

const (
	noDefect           defect = iota
	snapshotMixed             // a snapshot continues with newer values
	snapshotRestamped         // a snapshot claims the revision at the time of each batch
	compactionOffByOne        // a reader that misses one dropped update gets no snapshot
	aheadIgnored              // a reader that is ahead begins where the history is
	updateLost                // a batch comes without one of its updates
	deletionsLost             // no batch has deletions
	stepDivided               // a batch ends within what was given between two calls of Advance
	advancedEarly             // Advance comes before all changes were given
	limitsIgnored             // the history keeps more than its limits
	gapsIgnored               // a view takes a batch wherever it stands
	fromPosition              // batches begin at the reader's position, not where the last one ended
	defects
)

// change is one change of the state; its revision is its place, counted from 1.
type change struct {
	key     string
	value   []byte
	deleted bool
}

// truth is the naive model: all changes, replayed for each question.
type truth []change

func (changes truth) revision() uint64 { return uint64(len(changes)) }

// at gives the state as of a revision, and the updates of configuration that had an effect, after another revision.
func (changes truth) at(revision, after uint64) (state map[string]Update, effective []Update) {
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

// replica is a history at a node. It is fed in two steps, between which readers may ask.
type replica struct {
	history *History
	fed     uint64 // advanced to
	given   uint64 // given up to, and not advanced to if higher than fed
}

// watcher is a view with its reader at some replica, and the batches between them.
type watcher struct {
	interest Interest
	at       *replica
	reader   *Reader
	view     *View
	inFlight []Batch
	faulty   bool // a batch was lost or came early: the view may refuse those that follow
}

// world is a state, two replicas that are fed at different moments, and watchers that move between them.
type world struct {
	t        *rapid.T
	defect   defect
	limits   Limits
	maxBytes int
	truth    truth
	replicas []*replica
	watchers []*watcher
}

const maxInFlight = 4

var (
	keys = []string{"configuration/a", "configuration/b", "configuration/c", "server/1", "server/2", "server/3"}
	// Limits that make some worlds take snapshots most of the time, and others hardly ever.
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
		everything,
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

// pick draws one of n evenly: rapid's own ranges prefer small numbers, and would seldom move a watcher.
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

// run lets a world go through drawn steps, then heals it.
func run(t *rapid.T, d defect) error {
	w := newWorld(t, d)
	steps := []func() error{w.grow, w.feed, w.feed, w.load, w.connectAnywhere, w.pump, w.pump, w.pump, w.deliver, w.deliver, w.deliver, w.deliver}
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

// grow appends changes. Values of servers never come back, those of configuration do.
func (w *world) grow() error {
	for range rapid.IntRange(1, 5).Draw(w.t, "changes") {
		c := change{
			key:     keys[w.pick(len(keys), "key")],
			deleted: w.pick(4, "deleted") == 0,
		}
		if !c.deleted {
			text := texts[w.pick(len(texts), "value")]
			if !isConfiguration(c.key) {
				text += fmt.Sprint(w.truth.revision())
			}
			c.value = []byte(text)
		}
		w.truth = append(w.truth, c)
	}
	return nil
}

func (w *world) drawReplica() *replica {
	return w.replicas[w.pick(len(w.replicas), "replica")]
}

func (w *world) drawWatcher() *watcher {
	return w.watchers[w.pick(len(w.watchers), "watcher")]
}

// feed gives a replica changes up to a drawn revision, or advances it to those given before.
func (w *world) feed() error {
	r := w.drawReplica()
	if r.given > r.fed {
		w.advance(r)
		return nil
	}
	upTo := rapid.Uint64Range(r.fed, w.truth.revision()).Draw(w.t, "up to")
	updates := w.coalesced(r.fed, upTo, rapid.Bool().Draw(w.t, "late"))
	for i, u := range updates {
		if w.defect == advancedEarly && i > 0 && updates[i-1].Revision < u.Revision {
			r.history.Advance(updates[i-1].Revision)
		}
		if u.Deleted {
			r.history.Delete(u.Revision, u.Key)
		} else {
			r.history.Put(u.Revision, u.Key, u.Value)
		}
	}
	r.given = upTo
	w.spoil(r)
	return nil
}

// coalesced gives the changes between two revisions by revision: all of configuration, the newest of each server, those
// at their own revision or late at the last.
func (w *world) coalesced(after, upTo uint64, late bool) []Update {
	var updates []Update
	newest := map[string]bool{}
	for revision := upTo; revision > after; revision-- {
		c := w.truth[revision-1]
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
	r.history.Advance(r.given)
	r.fed = r.given
	w.spoil(r)
}

// spoil builds in the defects of a history.
func (w *world) spoil(r *replica) {
	if w.defect == compactionOffByOne && r.history.compacted > 0 {
		r.history.compacted--
	}
}

// load replaces a replica's state as a snapshot of raft does.
func (w *world) load() error {
	r := w.drawReplica()
	if w.pick(4, "load") > 0 || r.given == w.truth.revision() {
		return nil
	}
	to := rapid.Uint64Range(r.given+1, w.truth.revision()).Draw(w.t, "to")
	state, _ := w.truth.at(to, 0)
	r.history.Reset(to)
	for _, u := range state {
		r.history.Put(u.Revision, u.Key, u.Value)
	}
	r.given = to
	return nil
}

func (w *world) connect(watcher *watcher, to *replica) {
	after := watcher.view.Revision()
	watcher.at, watcher.inFlight, watcher.faulty = to, nil, false
	watcher.reader = to.history.NewReader(watcher.interest, after)
	if w.defect == aheadIgnored {
		watcher.reader.position = min(after, to.history.Revision())
	}
}

func (w *world) connectAnywhere() error {
	w.connect(w.drawWatcher(), w.drawReplica())
	return nil
}

// pump takes a batch from a reader.
func (w *world) pump() error {
	_, err := w.pumpOne(w.drawWatcher())
	return err
}

func (w *world) pumpOne(watcher *watcher) (bool, error) {
	if len(watcher.inFlight) >= maxInFlight {
		return true, nil
	}
	reader := watcher.reader
	if s := reader.snapshot; s != nil && w.defect == snapshotMixed && len(s.rest) > 0 {
		next := s.rest[0].Key
		s.rest = slices.DeleteFunc(reader.history.newest.matching(&reader.interest), func(u *Update) bool { return u.Key < next })
	}
	if w.defect == fromPosition && reader.snapshot == nil {
		reader.sent = reader.position
	}
	b, ok := reader.Next(w.maxBytes)
	if !ok {
		return false, nil
	}
	if err := w.checkBatch(&b); err != nil {
		return false, err
	}
	watcher.inFlight = append(watcher.inFlight, w.mangle(reader, b)...)
	return true, nil
}

// mangle builds in the defects of batches.
func (w *world) mangle(reader *Reader, b Batch) []Batch {
	n := len(b.Updates)
	switch {
	case w.defect == snapshotRestamped && b.Snapshot:
		b.To = reader.history.Revision()
	case w.defect == updateLost && n > 1:
		b.Updates = b.Updates[:n-1]
	case w.defect == deletionsLost:
		b.Updates = slices.DeleteFunc(b.Updates, func(u Update) bool { return u.Deleted })
	case w.defect == stepDivided && !b.Snapshot && n > 1 && b.Updates[n-2].Revision < b.Updates[n-1].Revision:
		head, tail := b, b
		head.Updates, tail.Updates = b.Updates[:n-1], b.Updates[n-1:]
		head.To = head.Updates[n-2].Revision
		tail.From = head.To
		return []Batch{head, tail}
	}
	return []Batch{b}
}

// checkBatch tells whether a batch is within its bound.
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

// deliver brings a batch to its view: in order, or with a fault of the network.
func (w *world) deliver() error {
	watcher := w.drawWatcher()
	if len(watcher.inFlight) == 0 {
		return nil
	}
	b := watcher.inFlight[0]
	watcher.inFlight = watcher.inFlight[1:]
	switch w.pick(12, "fault") {
	case 0: // lost
		watcher.faulty = true
		return nil
	case 1: // twice
		if err := w.apply(watcher, b); err != nil {
			return err
		}
		return w.repeat(watcher, b)
	case 2: // behind the next one
		if len(watcher.inFlight) > 0 {
			b, watcher.inFlight[0] = watcher.inFlight[0], b
			watcher.faulty = true
		}
	}
	return w.apply(watcher, b)
}

// apply gives a view a batch and checks what came of it. A view that refuses it is connected again.
func (w *world) apply(watcher *watcher, b Batch) error {
	view := watcher.view
	before, revision := contents(view), view.Revision()
	if w.defect == gapsIgnored && !b.Snapshot {
		b.From = min(revision, b.To-1)
	}
	changed, err := view.Apply(b)
	if err != nil {
		if !watcher.faulty || !errors.Is(err, ErrGap) {
			return fmt.Errorf("refused without a fault: %w", err)
		}
		if view.Revision() != revision || !slices.EqualFunc(before, contents(view), equal) {
			return fmt.Errorf("a batch that was refused changed the view: %w", err)
		}
		w.connect(watcher, w.drawReplica())
		return nil
	}
	if b.Snapshot && !b.Last {
		if len(changed) > 0 || view.Revision() != revision || !slices.EqualFunc(before, contents(view), equal) {
			return fmt.Errorf("part of a snapshot changed the view by %v", changed)
		}
		return nil
	}
	if view.Revision() <= revision {
		return fmt.Errorf("from revision %d to %d", revision, view.Revision())
	}
	if err := w.checkView(watcher); err != nil {
		return err
	}
	return w.checkChanged(watcher, before, revision, changed, b.Snapshot)
}

// repeat brings a batch once more: it must leave the view as it is.
func (w *world) repeat(watcher *watcher, b Batch) error {
	view := watcher.view
	before, revision := contents(view), view.Revision()
	changed, err := view.Apply(b)
	if err == nil && !(b.Snapshot && b.First && !b.Last) {
		return fmt.Errorf("batch to %d was taken twice", b.To)
	}
	if err != nil && !errors.Is(err, ErrGap) {
		return fmt.Errorf("a batch that came twice: %w", err)
	}
	if len(changed) > 0 || view.Revision() != revision || !slices.EqualFunc(before, contents(view), equal) {
		return fmt.Errorf("batch to %d that came twice changed the view by %v", b.To, changed)
	}
	return nil
}

func equal(a, b Update) bool {
	return a.Revision == b.Revision && a.Key == b.Key && a.Deleted == b.Deleted && bytes.Equal(a.Value, b.Value)
}

// checkView compares a view with the state as of its revision. The revisions of servers depend on when they were given.
func (w *world) checkView(watcher *watcher) error {
	view := watcher.view
	state, _ := w.truth.at(view.Revision(), 0)
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
		return fmt.Errorf("at revision %d: a digest of other revisions", view.Revision())
	}
	return nil
}

// checkChanged tells whether the changes that a view told lead from what it had to what it has, each once and in order.
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
	now := contents(watcher.view)
	if len(now) != len(have) {
		return fmt.Errorf("changes lead to %d keys, not %d", len(have), len(now))
	}
	for _, u := range now {
		if !bytes.Equal(have[u.Key].Value, u.Value) {
			return fmt.Errorf("changes lead to %v, not %v", have[u.Key], u)
		}
	}
	_, want := w.truth.at(watcher.view.Revision(), revision)
	want = slices.DeleteFunc(want, func(u Update) bool { return !watcher.interest.includes(u.Key) })
	if !snapshot && !slices.EqualFunc(configuration, want, equal) {
		return fmt.Errorf("configuration changed by %v, want %v", configuration, want)
	}
	return nil
}

// checkBounds tells whether what is kept is within its bounds, and counted right.
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
			return fmt.Errorf("room for %d updates, at most %d are kept", cap(recent.updates), w.limits.Updates)
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

// checkIndex tells whether the index has each recent update once by its key and once by its group, and nothing else.
func checkIndex(recent *recentUpdates) error {
	byKey, byGroup := map[string][]uint64{}, map[string][]uint64{}
	for i, u := range recent.updates {
		number := recent.first + uint64(i)
		byKey[u.Key] = append(byKey[u.Key], number)
		byGroup[group(u.Key)] = append(byGroup[group(u.Key)], number)
	}
	if !maps.EqualFunc(byKey, recent.byKey, slices.Equal) || !maps.EqualFunc(byGroup, recent.byGroup, slices.Equal) {
		return fmt.Errorf("index %v and %v, want %v and %v", recent.byKey, recent.byGroup, byKey, byGroup)
	}
	return nil
}

// checkTable tells whether a table is in order and counted right.
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

// heal feeds everything to all and lets the network be: every view must end equal to the state.
func (w *world) heal() error {
	for _, r := range w.replicas {
		if r.given > r.fed {
			w.advance(r)
		}
		for _, u := range w.coalesced(r.fed, w.truth.revision(), false) {
			if u.Deleted {
				r.history.Delete(u.Revision, u.Key)
			} else {
				r.history.Put(u.Revision, u.Key, u.Value)
			}
		}
		r.given = w.truth.revision()
		w.advance(r)
	}
	for _, watcher := range w.watchers {
		if err := w.catchUp(watcher); err != nil {
			return err
		}
	}
	return w.checkBounds()
}

// catchUp brings a view to the end.
func (w *world) catchUp(watcher *watcher) error {
	const most = 1000 // batches, in a world of far less updates
	for range most {
		more, err := w.pumpOne(watcher)
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
	return fmt.Errorf("%d batches, and no end", most)
}

// checkEnd compares a view that has all there is with the state.
func (w *world) checkEnd(watcher *watcher) error {
	end := w.truth.revision()
	if watcher.faulty { // the last batches were lost, which only a new connection makes good
		w.connect(watcher, w.drawReplica())
		return w.catchUp(watcher)
	}
	if watcher.reader.Position() != end || watcher.reader.Snapshotting() {
		return fmt.Errorf("reader ends at %d of %d", watcher.reader.Position(), end)
	}
	state, _ := w.truth.at(end, 0)
	for key, want := range state {
		got, ok := watcher.view.Get(key)
		if wanted := watcher.interest.includes(key); ok != wanted || wanted && !bytes.Equal(got.Value, want.Value) {
			return fmt.Errorf("in the end %v, want %v", got, want)
		}
	}
	for _, key := range watcher.view.Keys("") {
		if _, ok := state[key]; !ok {
			return fmt.Errorf("in the end %q is still there", key)
		}
	}
	return nil
}

// TestViewsEndEqual lets watchers move between two histories that coalesce differently, over a network that loses, repeats
// and swaps batches. Every view must equal the state as of its revision, always.
func TestViewsEndEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(t, noDefect); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDefectsAreFound builds in one defect at a time: the same checks must find each, and none where there is none.
func TestDefectsAreFound(t *testing.T) {
	const most = 1000 // worlds, the same in each run
	names := [defects]string{
		noDefect:           "none",
		snapshotMixed:      "a snapshot continues with newer values",
		snapshotRestamped:  "a snapshot claims newer revisions",
		compactionOffByOne: "compaction off by one",
		aheadIgnored:       "a reader ahead begins where the history is",
		updateLost:         "an update lost",
		deletionsLost:      "deletions lost",
		stepDivided:        "a step divided",
		advancedEarly:      "advanced early",
		limitsIgnored:      "limits ignored",
		gapsIgnored:        "gaps ignored",
		fromPosition:       "batches from the position",
	}
	for d, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worlds := rapid.Custom(func(t *rapid.T) error { return run(t, defect(d)) })
			for seed := range most {
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
				t.Errorf("not found in %d worlds", most)
			}
		})
	}
}
