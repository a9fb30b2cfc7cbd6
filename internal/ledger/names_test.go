package ledger

import (
	"fmt"
	"slices"
	"testing"
)

// numberedNames returns count distinct names, numbered from a first one.
func numberedNames(from, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("name-%05d", from+i)
	}
	return names
}

// Proposed names are numbered in their order, without duplicates; known names keep their numbers.
func TestProposedNamesAreNumberedOnce(t *testing.T) {
	b := NewBook("n1", ID{1}, testPolicy(t, "hour", "Asia/Kolkata"), start)
	names, err := b.ProposeNames([]string{"", "south", "north", "south", ""}, []string{"book", "book"})
	mustApply(t, b, names, err)
	names, err = b.ProposeNames([]string{"east", "north", "east"}, []string{"quote", "book"})
	mustApply(t, b, names, err)
	if want := []string{"", "south", "north", "east"}; !slices.Equal(b.stands, want) {
		t.Errorf("stands %q, want %q", b.stands, want)
	}
	if want := []string{"book", "quote"}; !slices.Equal(b.classes, want) {
		t.Errorf("classes %q, want %q", b.classes, want)
	}
	if names, err := b.ProposeNames([]string{"east"}, []string{"quote"}); names != nil || err != nil {
		t.Errorf("known names were proposed again: %q, %v", names, err)
	}
}

// A ledger accepts MaxNames names of each kind and no more, in one proposal or several.
func TestNamesAreBounded(t *testing.T) {
	for kind, propose := range map[string]func(b *Book, names []string) ([]byte, error){
		"stands":  func(b *Book, names []string) ([]byte, error) { return b.ProposeNames(names, nil) },
		"classes": func(b *Book, names []string) ([]byte, error) { return b.ProposeNames(nil, names) },
	} {
		b := NewBook("n1", ID{1}, testPolicy(t, "hour", "Asia/Kolkata"), start)
		for _, count := range []int{MaxNames + 1, 42_000} {
			if _, err := propose(b, numberedNames(0, count)); err == nil {
				t.Errorf("%d %s were accepted", count, kind)
			}
		}
		names, err := propose(b, numberedNames(0, MaxNames))
		mustApply(t, b, names, err)
		if _, err := propose(b, numberedNames(MaxNames, 1)); err == nil {
			t.Errorf("more %s than MaxNames were accepted", kind)
		}
	}
}

// Measures how long it takes to refuse too many names: a server that starts with them waits for it.
func BenchmarkProposeTooManyNames(b *testing.B) {
	names := numberedNames(0, 42_000)
	book := NewBook("n1", ID{1}, testPolicy(b, "hour", "Asia/Kolkata"), start)
	for b.Loop() {
		if _, err := book.ProposeNames(names, nil); err == nil {
			b.Fatal("accepted too many names")
		}
	}
}
