package core_test

import (
	"fmt"
	"slices"
	"testing"

	"larchscale/internal/core"
)

// A name is found at its first position and an unknown one is not found, both with the indexes and before they are
// built.
func TestNamesMapToFirstPosition(t *testing.T) {
	lists := map[string][]string{
		"none":       nil,
		"one":        {"a"},
		"several":    {"a", "b", "c"},
		"duplicates": {"a", "b", "a", "c", "b"},
		"empty name": {"a", "", "b"},
		"similar":    {"a", "A", "a ", " a"},
		"many":       manyNames(5000),
	}
	for kind, names := range lists {
		site := core.Config{Classes: names, Tenants: names}
		for _, built := range []string{"before", "after"} {
			for _, name := range append(slices.Clone(names), "", "unknown", "A", "a\x00") {
				want := slices.Index(names, name)
				if got := site.ClassIndex(name); got != want {
					t.Errorf("%s, %s IndexNames: Class(%q) = %d, want %d", kind, built, name, got, want)
				}
				if got := site.TenantIndex(name); got != want {
					t.Errorf("%s, %s IndexNames: Tenant(%q) = %d, want %d", kind, built, name, got, want)
				}
			}
			site.IndexNames()
		}
	}
}

// Classes and tenants have separate names: the name of a tenant is not a class.
func TestClassesAndTenantsAreIndexedSeparately(t *testing.T) {
	site := core.Config{Classes: []string{"quote", "book"}, Tenants: []string{"north", "quote"}}
	site.IndexNames()
	for name, want := range map[string][2]int{"quote": {0, 1}, "book": {1, -1}, "north": {-1, 0}, "": {-1, -1}} {
		if got := [2]int{site.ClassIndex(name), site.TenantIndex(name)}; got != want {
			t.Errorf("%q: class and tenant index %v, want %v", name, got, want)
		}
	}
}

// A lookup does not allocate, however many names there are.
func TestLookupsDoNotAllocate(t *testing.T) {
	site := core.Config{Classes: manyNames(4500), Tenants: manyNames(42_000)}
	site.IndexNames()
	allocations := testing.AllocsPerRun(100, func() {
		site.ClassIndex("name-04499")
		site.TenantIndex("unknown")
	})
	if allocations != 0 {
		t.Errorf("%v allocations per two lookups, want 0", allocations)
	}
}

// The time of a lookup does not depend on the number of names.
func BenchmarkTenantLookup(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 4500, 10_000, 42_000} {
		site := core.Config{Tenants: manyNames(count)}
		names := slices.Clone(site.Tenants)
		b.Run(fmt.Sprint("searched/", count), func(b *testing.B) { lookUp(b, &site, names) })
		indexed := site
		indexed.IndexNames()
		b.Run(fmt.Sprint("indexed/", count), func(b *testing.B) { lookUp(b, &indexed, names) })
	}
}

// lookUp looks up names spread over the whole list.
func lookUp(b *testing.B, site *core.Config, names []string) {
	const stride = 7919 // a prime, so that it reaches all positions
	position := 0
	for b.Loop() {
		position = (position + stride) % len(names)
		if site.TenantIndex(names[position]) != position {
			b.Fatal("wrong index")
		}
	}
}

func manyNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("name-%05d", i)
	}
	return names
}
