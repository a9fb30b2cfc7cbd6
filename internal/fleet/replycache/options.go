package replycache

import (
	"fmt"
	"maps"
	"slices"

	"larchscale/internal/callcache"
	"larchscale/internal/core"
)

// Bounds of what an operator may set, and of what is kept.
const (
	leastBytes = 64 << 10
	longest    = 3_600_000 // ms
	maxReply   = 16 << 10  // bytes of a reply that is kept, as of one that the index may give
	askShare   = 0.1       // of the time left that a home may take to answer
)

// Options are the operator's table [kept].
type Options struct {
	Bytes   int64            `toml:"bytes"`   // of all replies kept; 0 = off
	Classes map[string]int64 `toml:"classes"` // how long replies of a class's calls are kept, ms
}

// Defaults have nothing kept.
func Defaults() Options { return Options{Classes: map[string]int64{}} }

// Check finds what cannot be at a site whose limits leave at most so many bytes.
func (o *Options) Check(site *core.Config, most int64) error {
	for _, name := range slices.Sorted(maps.Keys(o.Classes)) {
		if site.ClassIndex(name) < 0 {
			return fmt.Errorf("kept.classes: the settings have no class %q", name)
		}
		if ms := o.Classes[name]; ms < 1 || ms > longest {
			return fmt.Errorf("kept.classes: %q for %d ms, 1 to %d", name, ms, longest)
		}
	}
	switch {
	case o.Bytes != 0 && (o.Bytes < leastBytes || o.Bytes > most):
		return fmt.Errorf("kept.bytes is %d, 0 or %d to %d, a sixteenth of the memory limit", o.Bytes, leastBytes, most)
	case o.Bytes != 0 && len(o.Classes) == 0:
		return fmt.Errorf("kept.bytes without kept.classes")
	case len(o.Classes) == 0:
		return nil
	}
	x := *o
	x.Bytes = max(x.Bytes, leastBytes) // what is off is checked as well
	_, err := x.store(site)
	return err
}

// store makes the box's store of replies.
func (o *Options) store(site *core.Config) (*callcache.Cache, error) {
	k := callcache.Options{Self: self, Bytes: o.Bytes, MaxReply: maxReply, OwnerTimeShare: askShare}
	for _, name := range slices.Sorted(maps.Keys(o.Classes)) {
		k.Classes = append(k.Classes, callcache.Class{Name: name, TTL: o.Classes[name], Effect: site.Control.Classes[site.ClassIndex(name)].Effect})
	}
	return callcache.New(k)
}
