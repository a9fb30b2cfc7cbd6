package core

import "slices"

// nameIndex maps names to their position in a list in constant time. It is immutable once built, so several
// goroutines may read it.
type nameIndex map[string]int

// newNameIndex builds the index of a list. A duplicate name maps to its first position.
func newNameIndex(names []string) nameIndex {
	index := make(nameIndex, len(names))
	for position, name := range names {
		if _, found := index[name]; !found {
			index[name] = position
		}
	}
	return index
}

// find returns the position of a name in the list from which the index was built; -1 = not in the list. With a nil
// index, which was not built, it searches linearly.
func (index nameIndex) find(names []string, name string) int {
	if index == nil {
		return slices.Index(names, name)
	}
	if position, found := index[name]; found {
		return position
	}
	return -1
}
