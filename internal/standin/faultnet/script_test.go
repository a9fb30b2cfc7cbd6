package faultnet

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A script that was printed is read as it was; what is none is an error.
func TestAScriptIsReadAsItWasPrinted(t *testing.T) {
	for seed := range uint64(50) {
		s := Draw(seed, []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}, 40)
		got, err := Parse(s.String())
		if diff := cmp.Diff(s.String(), got.String()); err != nil || diff != "" || len(s) != 40 {
			t.Fatalf("seed %d, %d steps: %v\n%s", seed, len(s), err, diff)
		}
	}
	for _, text := range []string{"", "x", "1s", "soon kill n1", "-1s kill n1", "1s break n1", "1s kill", "1s drop n1", "1s heal n1", "1s part"} {
		if _, err := Parse(text); !errors.Is(err, ErrScript) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
