package watch

import (
	"slices"
	"strings"
)

// table holds the newest update of each key, in order of keys. Updates are replaced and never modified, so that a
// copy of the slice stays valid.
type table struct {
	updates []*Update
	bytes   int // total size of the updates
}

func compareKey(u *Update, key string) int { return strings.Compare(u.Key, key) }

// find returns the index of a key, and whether the key exists.
func (t *table) find(key string) (int, bool) {
	return slices.BinarySearchFunc(t.updates, key, compareKey)
}

// get returns the update of a key; nil = the key does not exist.
func (t *table) get(key string) *Update {
	i, ok := t.find(key)
	if !ok {
		return nil
	}
	return t.updates[i]
}

// set inserts or replaces an update. A deletion removes its key.
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

// append adds an update whose key is greater than all others.
func (t *table) append(u *Update) {
	t.updates = append(t.updates, u)
	t.bytes += u.size()
}

// withPrefix returns the updates whose keys have a prefix. The result shares memory with the table and must not be
// kept.
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

// matching returns a new slice of the updates that an interest includes, in order of keys.
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
