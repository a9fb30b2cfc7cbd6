package admin_test

import (
	"fmt"
	"strings"
	"testing"

	"larchscale/internal/admin"
	"larchscale/internal/core"
)

// With many classes each has its four lines with its own counts.
func TestLinesOfManyClasses(t *testing.T) {
	classes, figures := manyClasses(4500)
	lines := strings.Split(string(admin.Lines(classes, figures)), "\n")
	const afterClasses = 16 // svc.active, three of calls, six of the core, five of the pool, and the empty text after the last newline
	if len(lines) != 4*len(classes)+afterClasses {
		t.Fatalf("%d lines for %d classes", len(lines), len(classes))
	}
	for metric, name := range []string{"ok", "shed", "errors", "tries"} {
		for i, class := range classes {
			want := fmt.Sprintf("svc.%s.%s=%d", name, class, (metric+1)*10_000+i)
			if got := lines[metric*len(classes)+i]; got != want {
				t.Fatalf("line %q, want %q", got, want)
			}
		}
	}
}

func BenchmarkLines(b *testing.B) {
	for _, count := range []int{3, 100, 1000, 4500} {
		classes, figures := manyClasses(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				admin.Lines(classes, figures)
			}
		})
	}
}

// manyClasses returns classes whose counts all differ.
func manyClasses(count int) ([]string, *core.Metrics) {
	classes := make([]string, count)
	counts := make([][]uint64, 4)
	for i := range classes {
		classes[i] = fmt.Sprintf("class-%05d", i)
		for metric := range counts {
			counts[metric] = append(counts[metric], uint64((metric+1)*10_000+i))
		}
	}
	return classes, &core.Metrics{OK: counts[0], Shed: counts[1], Errors: counts[2], Tries: counts[3]}
}
