package controlnode

import (
	"log/slog"
	"testing"

	"larchscale/internal/fleet/configuration"
	"larchscale/internal/fleet/consensus"
)

// A node that gets raft's snapshot knows of the newest change also if that deleted a document: servers that have it are not
// behind, and those that do not have it are.
func TestTheNewestChangeIsKnownAfterASnapshot(t *testing.T) {
	before, after := New(Options{}, slog.New(slog.DiscardHandler)).documents, New(Options{}, slog.New(slog.DiscardHandler)).documents
	before.node.sessions.restored = true // nothing is published
	for i, entry := range []configuration.Entry{
		{Kind: configuration.Put, Key: "a", By: "staff"},
		{Kind: configuration.Put, Key: "b", By: "staff"},
		{Kind: configuration.Delete, Key: "b", By: "staff"},
		{Kind: configuration.Delete, Key: "b", By: "staff"}, // there is none any longer: no change
	} {
		data, err := consensus.Encode(&entry)
		if err != nil {
			t.Fatal(err)
		}
		if err := before.Apply(uint64(i+1), data); (err != nil) != (i == 3) {
			t.Fatalf("entry %d: %v", i+1, err)
		}
	}
	snapshot, err := before.Save()
	if err != nil {
		t.Fatal(err)
	}
	if err := after.Load(snapshot); err != nil {
		t.Fatal(err)
	}
	if before.newest() != 3 || after.newest() != 3 {
		t.Errorf("the newest change is at %d, after a snapshot at %d, want 3", before.newest(), after.newest())
	}
}
