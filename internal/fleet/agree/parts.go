package agree

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrNewer is an entry or a snapshot that this program cannot read: taken for less than it says, the boxes' states
// would part. The box's part in the fleet ends with it.
var ErrNewer = errors.New("of another version of the program")

// Part is one part of the agreed state beside members and plans. It changes by nothing but its entries and what Load
// gives it, alike on every box. A part that later programs write otherwise gets another name.
type Part interface {
	// Name is how entries, snapshots and reports name it.
	Name() string
	// Apply carries out an entry. An error that wraps ErrNewer ends this box's part; any other is the entry's own, the
	// same on every box.
	Apply(index uint64, entry []byte) error
	// Save gives the whole state, the same on every box; nil = no entry has ever come.
	Save() ([]byte, error)
	// Load replaces the state by one that was saved; nil = the empty one.
	Load(state []byte) error
}

// machine is what a module of agreed state has to be: *S.
type machine[S, E any] interface {
	*S
	Apply(index uint64, e *E) error
}

// Agreed makes a part of a state module: S is its state, E its entry. The state is read and never changed by others.
type Agreed[S, E any, P machine[S, E]] struct {
	State S
	name  string
	began bool
}

// NewAgreed makes an empty part.
func NewAgreed[S, E any, P machine[S, E]](name string) *Agreed[S, E, P] {
	return &Agreed[S, E, P]{name: name}
}

// Name implements Part.
func (a *Agreed[S, E, P]) Name() string { return a.name }

// Began tells that an entry has come.
func (a *Agreed[S, E, P]) Began() bool { return a.began }

// Apply implements Part. What does not decode is not this version's.
func (a *Agreed[S, E, P]) Apply(index uint64, entry []byte) error {
	var e E
	if err := strict.Unmarshal(entry, &e); err != nil {
		return fmt.Errorf("%s: entry %d: %w: %w", a.name, index, ErrNewer, err)
	}
	a.began = true
	return P(&a.State).Apply(index, &e)
}

// Save implements Part.
func (a *Agreed[S, E, P]) Save() ([]byte, error) {
	if !a.began {
		return nil, nil
	}
	return codec.Marshal(&a.State)
}

// Load implements Part.
func (a *Agreed[S, E, P]) Load(state []byte) error {
	var s S
	if state != nil {
		if err := strict.Unmarshal(state, &s); err != nil {
			return fmt.Errorf("%s: %w: %w", a.name, ErrNewer, err)
		}
	}
	a.State, a.began = s, state != nil
	return nil
}

// Encode writes an entry as Apply reads it.
func Encode(entry any) ([]byte, error) { return codec.Marshal(entry) }

// savedVersion is of the snapshot below.
const savedVersion = 1

// saved is a snapshot of a fleet whose parts have begun. It is an array, not a map: a program that knows no parts does
// not read it, and says so, where it would drop them in silence.
type saved struct {
	_       struct{} `cbor:",toarray"`
	Version uint
	State   State
	Parts   map[string][]byte
}

// save gives what a snapshot holds.
func (n *Node) save() ([]byte, error) {
	parts := map[string][]byte{}
	for name, p := range n.parts {
		data, err := p.Save()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if data != nil {
			parts[name] = data
		}
	}
	if len(parts) == 0 {
		return codec.Marshal(&n.state)
	}
	return codec.Marshal(&saved{Version: savedVersion, State: n.state, Parts: parts})
}

// load takes what a snapshot holds. One without a part that has begun here was made by a program that knows none, and
// is refused.
func (n *Node) load(data []byte) error {
	got := saved{Version: savedVersion}
	if len(data) > 0 && data[0]>>5 == arrayType {
		var head []cbor.RawMessage
		if err := bounded.Unmarshal(data, &head); err != nil {
			return err
		}
		if len(head) == 0 || bounded.Unmarshal(head[0], &got.Version) != nil || got.Version != savedVersion {
			return fmt.Errorf("snapshot of version %d: %w", got.Version, ErrNewer)
		}
		if err := bounded.Unmarshal(data, &got); err != nil {
			return err
		}
	} else if err := bounded.Unmarshal(data, &got.State); err != nil {
		return err
	}
	for name := range got.Parts {
		if n.parts[name] == nil {
			return fmt.Errorf("a snapshot with part %q: %w", name, ErrNewer)
		}
	}
	for name, p := range n.parts {
		has, err := p.Save()
		if err == nil && has != nil && got.Parts[name] == nil {
			err = fmt.Errorf("a snapshot without part %q, which has begun: %w", name, ErrNewer)
		}
		if err != nil {
			return err
		}
	}
	for name, p := range n.parts {
		if err := p.Load(got.Parts[name]); err != nil {
			return err
		}
	}
	n.state = got.State
	return nil
}

// arrayType is CBOR's major type of an array.
const arrayType = 4
