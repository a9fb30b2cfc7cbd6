package config

import (
	"fmt"
	"strings"
	"testing"
)

// platformWith is a platform's file with so many tenants and repeatable classes.
func platformWith(tenants, classes int) []byte {
	list := func(prefix string, count int) string {
		entries := make([]string, count)
		for i := range entries {
			entries[i] = fmt.Sprintf(`{"Name":"%s-%05d"}`, prefix, i)
		}
		return strings.Join(entries, ",")
	}
	return fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:2","seed":"1","stop_ms":100,
		"settings":{"Tenants":[%s],"RequestClasses":[%s]}}`, list("tenant", tenants), list("class", classes))
}

// The names of a configuration are looked up in the indexes that Parse builds: a lookup finds what Parse read, not what
// the list says since.
func TestParseIndexesTheNames(t *testing.T) {
	c, err := Parse(platformWith(100, 10))
	if err != nil {
		t.Fatal(err)
	}
	c.Site.Tenants[99], c.Site.Classes[9] = "changed", "changed"
	if tenant, class := c.Site.TenantIndex("tenant-00099"), c.Site.ClassIndex("class-00009"); tenant != 99 || class != 9 {
		t.Errorf("the last tenant is at %d, the last class at %d", tenant, class)
	}
}

// Two tenants of one name are taken, and requests of that name are the first one's.
func TestTenantsOfOneName(t *testing.T) {
	c, err := Parse([]byte(`{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:2","seed":"1","stop_ms":100,
		"settings":{"Tenants":[{"Name":"south"},{"Name":"north"},{"Name":"north"}],"RequestClasses":[{"Name":"quote"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if place := c.Site.TenantIndex("north"); place != 1 || len(c.Site.Tenants) != 3 {
		t.Errorf("north is at %d of %d tenants", place, len(c.Site.Tenants))
	}
}

// The bounds of a server follow from its limits, not from the number of names.
func TestBoundsDoNotGrowWithNames(t *testing.T) {
	few, err := Parse(platformWith(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	many, err := Parse(platformWith(42_000, 4500))
	if err != nil {
		t.Fatal(err)
	}
	if few.Site.Bounds != many.Site.Bounds || few.Limits != many.Limits {
		t.Errorf("%+v and %+v with many names, %+v and %+v with few", many.Site.Bounds, many.Limits, few.Site.Bounds, few.Limits)
	}
}

// The time to read a configuration, which is most of a start and of a reload.
func BenchmarkParse(b *testing.B) {
	for _, size := range []struct{ tenants, classes int }{{10, 3}, {42_000, 3}, {10, 4500}, {42_000, 4500}} {
		text := platformWith(size.tenants, size.classes)
		b.Run(fmt.Sprintf("%d tenants, %d classes", size.tenants, size.classes), func(b *testing.B) {
			for b.Loop() {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
