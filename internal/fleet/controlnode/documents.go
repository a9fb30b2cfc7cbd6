package controlnode

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"larchscale/internal/fleet/configuration"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/session"
)

// documents is the module with the agreed configuration. Every change of a document goes into the history in the order of
// the log.
type documents struct {
	*consensus.TypedStateMachine[configuration.State, configuration.Entry, *configuration.State]
	baseModule
	node *Node
	host *driver.Host
}

func newDocuments(n *Node) *documents {
	return &documents{TypedStateMachine: consensus.NewTypedStateMachine[configuration.State, configuration.Entry](configurationPart), node: n}
}

// Start implements driver.Module.
func (d *documents) Start(h *driver.Host) { d.host = h }

// Apply implements consensus.StateMachine.
func (d *documents) Apply(index uint64, entry []byte) error {
	err := d.TypedStateMachine.Apply(index, entry)
	changed, ok := d.State.Changed()
	if !ok {
		return err
	}
	if d.node.sessions.restored { // the history is made anew of the whole state
		return err
	}
	key := session.ConfigurationPrefix + changed.Key
	if changed.Deleted {
		d.node.sessions.history.Delete(changed.Revision, key)
	} else {
		d.node.sessions.history.Put(changed.Revision, key, changed.Value)
	}
	return err
}

// Load implements consensus.StateMachine.
func (d *documents) Load(state []byte) error {
	err := d.TypedStateMachine.Load(state)
	d.node.sessions.restored = true
	return err
}

// each calls a function with each document as the watch has it.
func (d *documents) each(put func(key string, revision uint64, value []byte)) {
	for i := range d.State.Documents {
		document := &d.State.Documents[i]
		put(session.ConfigurationPrefix+document.Key, document.Revision, document.Value)
	}
}

// newest returns the revision of the newest change of a document, deletions included; 0 = there was none.
func (d *documents) newest() uint64 { return d.State.LastChange }

// Command is an operator's word on a document, as JSON.
type Command struct {
	Delete bool `json:",omitempty"`
	Key    string
	Value  []byte `json:",omitempty"`
	By     string
	Expect uint64 `json:",omitempty"` // revision that the document has to have; 0 = any, or none
}

// errNotReady is a fleet whose nodes do not all run a program that knows documents.
var errNotReady = errors.New("not all control nodes are heard of, or run a program that knows configuration documents")

// DecodeCommand implements driver.CommandHandler.
func (d *documents) DecodeCommand(word []byte) (any, error) {
	var command Command
	if err := json.Unmarshal(word, &command); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	entry := &configuration.Entry{Kind: configuration.Put, Key: command.Key, Value: command.Value, By: command.By, Expect: command.Expect, At: time.Now().UnixMilli()}
	if command.Delete {
		entry.Kind = configuration.Delete
	}
	if err := entry.Validate(); err != nil {
		return nil, err
	}
	if !d.Initialized() && !d.host.SupportedByAll() {
		return nil, errNotReady
	}
	return entry, nil
}

// DocumentStatus describes a document. Value is set only where a single one is asked for.
type DocumentStatus struct {
	Key      string
	Bytes    int
	Revision uint64
	By       string
	At       int64  // when, in milliseconds since 1970 by the proposer's clock
	Value    []byte `json:",omitempty"`
}

func newDocumentStatus(document *configuration.Document) DocumentStatus {
	return DocumentStatus{Key: document.Key, Bytes: len(document.Value), Revision: document.Revision, By: document.By, At: document.At}
}

// Status implements driver.CommandHandler: all documents without their values.
func (d *documents) Status() any {
	out := make([]DocumentStatus, len(d.State.Documents))
	for i := range d.State.Documents {
		out[i] = newDocumentStatus(&d.State.Documents[i])
	}
	return out
}

// Item implements driver.ItemReader: one document with its value; nil = there is none.
func (d *documents) Item(key string) any {
	document := d.State.Document(key)
	if document == nil {
		return nil
	}
	out := newDocumentStatus(document)
	out.Value = document.Value // never changed
	return out
}
