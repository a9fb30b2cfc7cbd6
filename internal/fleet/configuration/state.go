// Package configuration has the configuration documents of a fleet as agreed state: they change only by the entries of its
// log, alike on every control node. The package does no I/O and reads no clock.
package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/watch"
)

// PartName names the state among the parts of the agreed state.
const PartName = "configuration.1"

// Bounds of what is agreed. Every app server holds all documents, and for a moment twice, while a snapshot replaces its
// copy: 16 MiB of the 192 MB that a process has by default.
const (
	MaxKey       = 256      // bytes: printable ASCII without spaces
	MaxValue     = 64 << 10 // bytes
	MaxDocuments = 4096
	MaxBytes     = 8 << 20 // of all keys and values
	maxBy        = limits.MaxName
)

// Document is one document.
type Document struct {
	Key      string
	Value    []byte // not to be changed
	Revision uint64 // index of the entry that gave it its value
	Expected uint64 // Expect of that entry
	By       string // who proposed it
	At       int64  // when, in milliseconds since 1970 by the proposer's clock; for people
}

// size is what a document counts for against MaxBytes.
func (d *Document) size() int { return len(d.Key) + len(d.Value) }

// State is what all control nodes agree on. Its zero value has no documents.
type State struct {
	Index     uint64     // of the last entry applied
	Documents []Document // by key
	// LastChange is the index of the entry that last changed a document, deletions included; 0 = there was none.
	LastChange uint64

	changed *watch.Update // by the last entry applied; nil = nothing
}

// Kind tells what an entry does.
type Kind uint8

// The kinds of entry.
const (
	Put    Kind = iota + 1 // a document has a value
	Delete                 // there is no document of a key
)

// Entry is one entry of the log.
type Entry struct {
	Kind   Kind
	Key    string
	Value  []byte // Put; not to be changed once the entry is applied
	By     string // operator or server
	Expect uint64 // the revision that the document has to have; 0 = any, or none
	At     int64  // in milliseconds since 1970; for people
}

// Errors of Validate and Apply. What meets one changes nothing but the index.
var (
	ErrUnknown  = errors.New("unknown document")
	ErrInvalid  = errors.New("invalid entry")
	ErrConflict = errors.New("the document has another revision")
	ErrFull     = errors.New("no room for the document")
)

// Validate tells whether an entry could be applied to some state. A proposer calls it first: an entry that is no valid
// text does not even decode.
func (e *Entry) Validate() error {
	switch {
	case e.Kind != Put && e.Kind != Delete:
		return fmt.Errorf("entry of kind %d: %w", e.Kind, ErrInvalid)
	case e.Key == "" || len(e.Key) > MaxKey || !isPrintable(e.Key):
		return fmt.Errorf("key %.70q of %d bytes, want 1 to %d of printable ASCII without spaces: %w", e.Key, len(e.Key), MaxKey, ErrInvalid)
	case e.By == "" || len(e.By) > maxBy || !isPrintable(e.By):
		return fmt.Errorf("document %s by %.70q of %d bytes, want 1 to %d of printable ASCII without spaces: %w", e.Key, e.By, len(e.By), maxBy, ErrInvalid)
	case len(e.Value) > MaxValue:
		return fmt.Errorf("document %s of %d bytes, at most %d: %w", e.Key, len(e.Value), MaxValue, ErrInvalid)
	case e.Kind == Delete && len(e.Value) > 0:
		return fmt.Errorf("document %s is deleted with a value: %w", e.Key, ErrInvalid)
	}
	return nil
}

// isPrintable tells that a text is printable ASCII without spaces.
func isPrintable(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// Clone gives a state that changes apart from this one. Values are shared: they are never changed.
func (s *State) Clone() State {
	return State{Index: s.Index, Documents: slices.Clone(s.Documents), LastChange: s.LastChange}
}

func (s *State) find(key string) (int, bool) {
	return slices.BinarySearchFunc(s.Documents, key, func(d Document, key string) int { return strings.Compare(d.Key, key) })
}

// Document gives a document by its key; nil = unknown.
func (s *State) Document(key string) *Document {
	i, ok := s.find(key)
	if !ok {
		return nil
	}
	return &s.Documents[i]
}

// Apply carries out the entry of an index. It is the same on every node: it looks at nothing but the state and the entry.
// An entry that cannot be applied changes nothing but the index, and the error says why, on every node alike. A Put that says
// again what is so has no second effect and is no error. A Delete that comes again is ErrUnknown: no trace is kept of what is
// deleted.
func (s *State) Apply(index uint64, e *Entry) error {
	s.Index, s.changed = index, nil
	if err := e.Validate(); err != nil {
		return err
	}
	i, known := s.find(e.Key)
	if e.Kind == Delete {
		return s.delete(e, i, known)
	}
	return s.put(e, i, known)
}

// put carries out a Put of the document at a place in the order.
func (s *State) put(e *Entry, i int, known bool) error {
	if !known && e.Expect != 0 {
		return fmt.Errorf("document %s at revision %d: %w", e.Key, e.Expect, ErrUnknown)
	}
	if known {
		old := &s.Documents[i]
		same := bytes.Equal(old.Value, e.Value)
		if same && e.Expect == old.Expected {
			return nil
		}
		if err := e.checkRevision(old); err != nil {
			return err
		}
		if same {
			return nil
		}
	}
	if err := s.checkRoom(e, i, known); err != nil {
		return err
	}
	if !known {
		s.Documents = slices.Insert(s.Documents, i, Document{})
	}
	s.Documents[i] = Document{Key: e.Key, Value: e.Value, Revision: s.Index, Expected: e.Expect, By: e.By, At: e.At}
	s.change(&watch.Update{Key: e.Key, Value: e.Value})
	return nil
}

// delete carries out a Delete of the document at a place in the order.
func (s *State) delete(e *Entry, i int, known bool) error {
	if !known {
		return fmt.Errorf("document %s: %w", e.Key, ErrUnknown)
	}
	if err := e.checkRevision(&s.Documents[i]); err != nil {
		return err
	}
	s.Documents = slices.Delete(s.Documents, i, i+1)
	s.change(&watch.Update{Key: e.Key, Deleted: true})
	return nil
}

// change notes what the entry being applied changed.
func (s *State) change(u *watch.Update) {
	u.Revision = s.Index
	s.changed, s.LastChange = u, s.Index
}

// checkRevision tells whether a document has the revision that an entry expects.
func (e *Entry) checkRevision(d *Document) error {
	if e.Expect != 0 && e.Expect != d.Revision {
		return fmt.Errorf("document %s is at revision %d, not %d: %w", d.Key, d.Revision, e.Expect, ErrConflict)
	}
	return nil
}

// checkRoom tells whether the document of a Put has room.
func (s *State) checkRoom(e *Entry, i int, known bool) error {
	count, size := len(s.Documents)+1, s.size()+len(e.Key)+len(e.Value)
	if known {
		count--
		size -= s.Documents[i].size()
	}
	if count > MaxDocuments || size > MaxBytes {
		return fmt.Errorf("document %s: %d documents of %d bytes, at most %d of %d: %w", e.Key, count, size, MaxDocuments, MaxBytes, ErrFull)
	}
	return nil
}

// size is what all documents count for against MaxBytes.
func (s *State) size() int {
	size := 0
	for i := range s.Documents {
		size += s.Documents[i].size()
	}
	return size
}

// Changed gives the change that the last entry made, for a watch.History: Put or Delete of the document's key, behind
// whatever prefix the watch has for documents. False = it made none, or a snapshot was loaded after it; the History then
// starts again by Reset, and a Put of each of Documents at its Revision.
func (s *State) Changed() (watch.Update, bool) {
	if s.changed == nil {
		return watch.Update{}, false
	}
	return *s.changed, true
}

// Digest is a sum of all documents. It equals watch.View.Digest, given the watch's prefix for documents, of a view that has
// the same.
func (s *State) Digest() uint64 {
	hash := watch.NewHash()
	for i := range s.Documents {
		d := &s.Documents[i]
		hash.Add(d.Key, d.Revision, d.Value)
	}
	return hash.Sum()
}
