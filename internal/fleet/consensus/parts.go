package consensus

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrUnknownVersion is returned for an entry or a snapshot of a format that this version of the program cannot read.
// Skipping the unknown content would let the nodes' states diverge, so the node stops participating.
var ErrUnknownVersion = errors.New("of another version of the program")

// StateMachine is a replicated state machine in addition to members and maintenance plans. Its state changes only by
// entries and by Load, in the same way on every node. An incompatible format in a later version of the program needs
// a new name.
type StateMachine interface {
	// Name returns the name by which entries, snapshots and reports identify the state machine.
	Name() string
	// Apply applies an entry. An error that wraps ErrUnknownVersion stops this node; any other error is the result of the
	// entry and is the same on every node.
	Apply(index uint64, entry []byte) error
	// Save returns the encoded state, the same on every node; nil = no entry has been applied yet.
	Save() ([]byte, error)
	// Load replaces the state by a saved one; nil = the empty state.
	Load(state []byte) error
}

// applier is the constraint on a state type: *S applies entries of type E.
type applier[S, E any] interface {
	*S
	Apply(index uint64, e *E) error
}

// TypedStateMachine implements StateMachine for a state S with entries E. Only the node changes the state; others may
// read it.
type TypedStateMachine[S, E any, P applier[S, E]] struct {
	State       S
	name        string
	initialized bool
}

// NewTypedStateMachine returns an empty state machine.
func NewTypedStateMachine[S, E any, P applier[S, E]](name string) *TypedStateMachine[S, E, P] {
	return &TypedStateMachine[S, E, P]{name: name}
}

// Name implements StateMachine.
func (a *TypedStateMachine[S, E, P]) Name() string { return a.name }

// Initialized reports whether an entry has been applied.
func (a *TypedStateMachine[S, E, P]) Initialized() bool { return a.initialized }

// Apply implements StateMachine. An entry that does not decode is taken for one of another version.
func (a *TypedStateMachine[S, E, P]) Apply(index uint64, entry []byte) error {
	var e E
	if err := strictDecoder.Unmarshal(entry, &e); err != nil {
		return fmt.Errorf("%s: entry %d: %w: %w", a.name, index, ErrUnknownVersion, err)
	}
	a.initialized = true
	return P(&a.State).Apply(index, &e)
}

// Save implements StateMachine.
func (a *TypedStateMachine[S, E, P]) Save() ([]byte, error) {
	if !a.initialized {
		return nil, nil
	}
	return encoder.Marshal(&a.State)
}

// Load implements StateMachine.
func (a *TypedStateMachine[S, E, P]) Load(state []byte) error {
	var s S
	if state != nil {
		if err := strictDecoder.Unmarshal(state, &s); err != nil {
			return fmt.Errorf("%s: %w: %w", a.name, ErrUnknownVersion, err)
		}
	}
	a.State, a.initialized = s, state != nil
	return nil
}

// Encode returns an entry in the format that Apply reads.
func Encode(entry any) ([]byte, error) { return encoder.Marshal(entry) }

// snapshotVersion is the version of the format below.
const snapshotVersion = 1

// snapshotData is the content of a snapshot of a fleet in which an additional state machine has entries. It is
// encoded as an array, not a map: a program that knows no such state machines fails to read it, where it would
// silently drop the unknown keys of a map.
type snapshotData struct {
	_       struct{} `cbor:",toarray"`
	Version uint
	State   State
	Parts   map[string][]byte
}

// save returns the content of a snapshot.
func (n *Node) save() ([]byte, error) {
	parts := map[string][]byte{}
	for name, machine := range n.machines {
		data, err := machine.Save()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if data != nil {
			parts[name] = data
		}
	}
	if len(parts) == 0 {
		return encoder.Marshal(&n.state)
	}
	return encoder.Marshal(&snapshotData{Version: snapshotVersion, State: n.state, Parts: parts})
}

// load restores the content of a snapshot. A snapshot that lacks a state machine which has entries here was made by a
// program that does not know it, and is refused.
func (n *Node) load(data []byte) error {
	decoded := snapshotData{Version: snapshotVersion}
	if len(data) > 0 && data[0]>>5 == cborArray {
		var fields []cbor.RawMessage
		if err := boundedDecoder.Unmarshal(data, &fields); err != nil {
			return err
		}
		if len(fields) == 0 || boundedDecoder.Unmarshal(fields[0], &decoded.Version) != nil || decoded.Version != snapshotVersion {
			return fmt.Errorf("snapshot of version %d: %w", decoded.Version, ErrUnknownVersion)
		}
		if err := boundedDecoder.Unmarshal(data, &decoded); err != nil {
			return err
		}
	} else if err := boundedDecoder.Unmarshal(data, &decoded.State); err != nil {
		return err
	}
	for name := range decoded.Parts {
		if n.machines[name] == nil {
			return fmt.Errorf("snapshot with the unknown state machine %q: %w", name, ErrUnknownVersion)
		}
	}
	for name, machine := range n.machines {
		saved, err := machine.Save()
		if err == nil && saved != nil && decoded.Parts[name] == nil {
			err = fmt.Errorf("snapshot without state machine %q, which has entries: %w", name, ErrUnknownVersion)
		}
		if err != nil {
			return err
		}
	}
	for name, machine := range n.machines {
		if err := machine.Load(decoded.Parts[name]); err != nil {
			return err
		}
	}
	n.state = decoded.State
	return nil
}

// cborArray is CBOR's major type of an array.
const cborArray = 4
