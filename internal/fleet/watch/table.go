package watch

import (
	"slices"
	"strings"
)

// table holds the newest update of each key, in order of keys. Its updates are never changed: a new one takes the place
// of the old one, so that a copy of the slice stays as it was.
type table struct {
	updates []*Update
	bytes   int // sum of their sizes
}

func compareKey(u *Update, key string) int { return strings.Compare(u.Key, key) }

// find gives the place of a key, and whether it is there.
func (t *table) find(key string) (int, bool) {
	return slices.BinarySearchFunc(t.updates, key, compareKey)
}

// get gives the update of a key; nil = unknown.
func (t *table) get(key string) *Update {
	i, ok := t.find(key)
	if !ok {
		return nil
	}
	return t.updates[i]
}

// set puts an update in; one that deletes takes its key out.
func (t *table) set(u *Update) {
	i, ok := t.find(u.Key)
	if ok {
		t.bytes -= t.updates[i].size()
	}
	switch {
	case u.Deleted && ok:
		t.updates = slices.Delete(t.updates, i, i+1)
	case u.Deleted:
	case ok:
		t.updates[i] = u
		t.bytes += u.size()
	default:
		t.updates = slices.Insert(t.updates, i, u)
		t.bytes += u.size()
	}
}

// append puts an update in behind all others: its key is the highest.
func (t *table) append(u *Update) {
	t.updates = append(t.updates, u)
	t.bytes += u.size()
}

// withPrefix gives the updates whose keys begin with a prefix: a part of the table, not to be kept.
func (t *table) withPrefix(prefix string) []*Update {
	begin, _ := t.find(prefix)
	rest := t.updates[begin:]
	end, _ := slices.BinarySearchFunc(rest, prefix, func(u *Update, prefix string) int {
		if strings.HasPrefix(u.Key, prefix) {
			return -1
		}
		return 1
	})
	return rest[:end]
}

// matching gives a copy of the references to the updates that an interest includes, in order of keys.
func (t *table) matching(interest *Interest) []*Update {
	var found []*Update
	for _, prefix := range interest.Prefixes {
		found = append(found, t.withPrefix(prefix)...)
	}
	for _, key := range interest.Keys {
		if u := t.get(key); u != nil {
			found = append(found, u)
		}
	}
	slices.SortFunc(found, func(a, b *Update) int { return strings.Compare(a.Key, b.Key) })
	return slices.Compact(found)
}
