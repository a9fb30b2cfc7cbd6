package watch

import (
	"errors"
	"iter"
)

// Errors of View.Apply. A batch that meets one leaves the view as it was.
var (
	ErrGap      = errors.New("the batch does not begin where the view stands")
	ErrOrder    = errors.New("updates out of order")
	ErrTooLarge = errors.New("more than a view holds")
)

// View is the copy of the keys of interest that a watcher builds from batches.
type View struct {
	revision uint64
}

// NewView makes an empty view at revision 0.
func NewView() *View { return &View{} }

// Apply takes a batch and gives what it changed, in order.
func (v *View) Apply(b Batch) (changed []Update, err error) { return nil, nil }

// Revision is that of the newest batch applied, to be given to History.NewReader.
func (v *View) Revision() uint64 { return v.revision }

// Get gives the present value of a key.
func (v *View) Get(key string) (Update, bool) { return Update{}, false }

// Keys gives the keys with a prefix, in order.
func (v *View) Keys(prefix string) []string { return nil }

// All gives the present values of the keys with a prefix, in order of keys.
func (v *View) All(prefix string) iter.Seq[Update] { return func(func(Update) bool) {} }

// Digest is a hash over key (without the prefix), revision and value of the keys with a prefix, as Hash makes it.
func (v *View) Digest(prefix string) uint64 { return 0 }
