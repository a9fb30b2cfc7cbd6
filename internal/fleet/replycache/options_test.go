package replycache_test

import (
	"strings"
	"testing"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/fleet/replycache"
)

// What cannot be kept, or not so much, or not for so long, is said; what is right is taken, and so is nothing.
func TestWhatAnOperatorMaySet(t *testing.T) {
	site := &core.Config{Classes: []string{"fare", "book"}, Control: control.Config{Classes: []control.Class{{}, {Effect: control.Keyed}}}}
	for want, o := range map[string]replycache.Options{
		"":                     {},
		"<nil>":                {Bytes: 1 << 20, Classes: map[string]int64{"fare": 1}},
		`no class "far"`:       {Bytes: 1 << 20, Classes: map[string]int64{"far": 1}},
		`"book" writes`:        {Classes: map[string]int64{"book": 1}},
		`"fare" for 0 ms`:      {Bytes: 1 << 20, Classes: map[string]int64{"fare": 0}},
		`"fare" for 3600001`:   {Bytes: 1 << 20, Classes: map[string]int64{"fare": 3_600_001}},
		"kept.bytes is 65535":  {Bytes: 65535, Classes: map[string]int64{"fare": 1}},
		"is 2097153":           {Bytes: 2<<20 + 1, Classes: map[string]int64{"fare": 1}},
		"without kept.classes": {Bytes: 1 << 20},
	} {
		err := o.Check(site, 2<<20)
		if good := want == "" || want == "<nil>"; good != (err == nil) || !good && !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %q", o, err, want)
		}
	}
}
