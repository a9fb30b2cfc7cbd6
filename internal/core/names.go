package core

import "slices"

// nameIndex finds the place of a name in a list in constant time. It is not changed once it is built, so that several
// goroutines may read it.
type nameIndex map[string]int

// newNameIndex builds the index of a list. A name that the list has twice keeps its first place.
func newNameIndex(names []string) nameIndex {
	index := make(nameIndex, len(names))
	for place, name := range names {
		if _, found := index[name]; !found {
			index[name] = place
		}
	}
	return index
}

// find returns the place of a name in the list that the index was built of; -1 = the list does not have it. A nil index
// is one that was not built: the names are searched one by one.
func (x nameIndex) find(names []string, name string) int {
	if x == nil {
		return slices.Index(names, name)
	}
	if place, found := x[name]; found {
		return place
	}
	return -1
}
