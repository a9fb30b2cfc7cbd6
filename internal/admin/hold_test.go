package admin_test

import (
	"testing"
	"testing/synctest"

	"larchscale/internal/admin"
	"larchscale/internal/core"
)

// A box is held as long as either holds it, and the core hears of changes alone, the newest last.
func TestTwoMayHoldABox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []bool
		h := admin.NewHolder(func(e core.Event) { told = append(told, e.(core.Hold).On) })
		for _, k := range []struct {
			who         int
			on          bool
			change, now bool
		}{
			{admin.ByFleet, true, true, true},
			{admin.ByFleet, true, false, true},
			{admin.ByOperator, true, true, true},
			{admin.ByFleet, false, true, true},
			{admin.ByOperator, false, true, false},
			{admin.ByOperator, false, false, false},
		} {
			if got := h.Hold(k.who, k.on); got != k.change || h.Held() != k.now {
				t.Errorf("%+v: change %v, held %v", k, got, h.Held())
			}
			synctest.Wait()
		}
		h.Close()
		synctest.Wait()
		if len(told) != 4 || told[len(told)-1] {
			t.Errorf("told %v", told)
		}
	})
}
