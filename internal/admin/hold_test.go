package admin_test

import (
	"testing"
	"testing/synctest"

	"larchscale/internal/admin"
	"larchscale/internal/core"
)

// The health is held down as long as either holds it, and the core is sent only changes, the newest last.
func TestHealthIsHeldByEither(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []bool
		h := admin.NewHealthHolder(func(e core.Event) { reported = append(reported, e.(core.OperatorDrain).On) })
		for _, step := range []struct {
			who           int
			on            bool
			changed, held bool
		}{
			{admin.ByFleet, true, true, true},
			{admin.ByFleet, true, false, true},
			{admin.ByOperator, true, true, true},
			{admin.ByFleet, false, true, true},
			{admin.ByOperator, false, true, false},
			{admin.ByOperator, false, false, false},
		} {
			if got := h.Set(step.who, step.on); got != step.changed || h.Held() != step.held {
				t.Errorf("%+v: change %v, held %v", step, got, h.Held())
			}
			synctest.Wait()
		}
		h.Close()
		synctest.Wait()
		if len(reported) != 4 || reported[len(reported)-1] {
			t.Errorf("reported %v", reported)
		}
	})
}
