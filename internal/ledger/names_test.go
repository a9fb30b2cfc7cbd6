package ledger

import (
	"fmt"
	"slices"
	"testing"
)

// numberedNames are count names, the first of them from.
func numberedNames(from, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("name-%05d", from+i)
	}
	return names
}

// Names that are proposed get numbers in their order, each once; those that are known keep theirs.
func TestProposedNamesAreNumberedOnce(t *testing.T) {
	b := NewBook("n1", ID{1}, policy(t, "hour", "Asia/Kolkata"), start)
	names, err := b.ProposeNames([]string{"", "south", "north", "south", ""}, []string{"book", "book"})
	apply1(t, b, names, err)
	names, err = b.ProposeNames([]string{"east", "north", "east"}, []string{"quote", "book"})
	apply1(t, b, names, err)
	if want := []string{"", "south", "north", "east"}; !slices.Equal(b.stands, want) {
		t.Errorf("stands %q, want %q", b.stands, want)
	}
	if want := []string{"book", "quote"}; !slices.Equal(b.classes, want) {
		t.Errorf("classes %q, want %q", b.classes, want)
	}
	if names, err := b.ProposeNames([]string{"east"}, []string{"quote"}); names != nil || err != nil {
		t.Errorf("known names are proposed again: %q, %v", names, err)
	}
}

// A book takes MaxNames of each kind and not one more, in one proposal or several.
func TestNamesAreBounded(t *testing.T) {
	for kind, propose := range map[string]func(b *Book, names []string) ([]byte, error){
		"stands":  func(b *Book, names []string) ([]byte, error) { return b.ProposeNames(names, nil) },
		"classes": func(b *Book, names []string) ([]byte, error) { return b.ProposeNames(nil, names) },
	} {
		b := NewBook("n1", ID{1}, policy(t, "hour", "Asia/Kolkata"), start)
		for _, count := range []int{MaxNames + 1, 42_000} {
			if _, err := propose(b, numberedNames(0, count)); err == nil {
				t.Errorf("%d %s are taken", count, kind)
			}
		}
		names, err := propose(b, numberedNames(0, MaxNames))
		apply1(t, b, names, err)
		if _, err := propose(b, numberedNames(MaxNames, 1)); err == nil {
			t.Errorf("one of %s beyond the bound is taken", kind)
		}
	}
}

// The time to refuse more names than a book takes, which a server that starts with them waits for.
func BenchmarkProposeTooManyNames(b *testing.B) {
	names := numberedNames(0, 42_000)
	book := NewBook("n1", ID{1}, policy(b, "hour", "Asia/Kolkata"), start)
	for b.Loop() {
		if _, err := book.ProposeNames(names, nil); err == nil {
			b.Fatal("taken")
		}
	}
}
