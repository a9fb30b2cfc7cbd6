package control

import (
	"fmt"
	"math"
	"time"
)

// Check tells what of a Config cannot be, naming the field and its value.
func (c *Config) Check() error {
	var err error
	list, index := "", 0 // the element that is looked at; "" = a field of c itself
	bad := func(field string, value any) {
		if err != nil {
			return
		}
		if list != "" {
			field = fmt.Sprintf("%s[%d].%s", list, index, field)
		}
		err = fmt.Errorf("control: Config.%s is %v", field, value)
	}
	span := func(field string, d time.Duration) {
		if d < 0 {
			bad(field, d)
		}
	}
	size := func(field string, x float64) {
		if !(x >= 0) || math.IsInf(x, 1) {
			bad(field, x)
		}
	}
	share := func(field string, x float64) {
		if !(x >= 0 && x <= 1) {
			bad(field, x)
		}
	}
	for _, n := range []struct {
		field string
		value int
	}{{"Servers", c.Servers}, {"Callers", c.Callers}, {"Cores", c.Cores}} {
		if n.value < 0 {
			bad(n.field, n.value)
		}
	}
	for i, k := range c.Classes {
		list, index = "Classes", i
		span("Aim", k.Aim)
		span("Deadline", k.Deadline)
		span("Window", k.Window)
		size("Worth", k.Worth)
		share("LateWorth", k.LateWorth)
		share("SkipWorth", k.SkipWorth)
		if k.Effect > Unsafe {
			bad("Effect", k.Effect)
		}
	}
	for i, t := range c.Tenants {
		list, index = "Tenants", i
		share("Share", t.Share)
		size("Quota", t.Quota)
	}
	list = ""
	if c.Advert > AdvertWeight {
		bad("Advert", c.Advert)
	}
	if c.Stopping > StopHolds {
		bad("Stopping", c.Stopping)
	}
	share("ColdFrom", c.ColdFrom)
	share("OverWorth", c.OverWorth)
	size("Memory", c.Memory)
	size("RunFactor", c.RunFactor)
	size("KeyMemory", c.KeyMemory)
	size("Crowd", c.Crowd)
	size("CallShare", c.CallShare)
	span("ColdFor", c.ColdFor)
	span("CrowdFor", c.CrowdFor)
	span("CallWindow", c.CallWindow)
	span("CallLingers", c.CallLingers)
	span("DrainGrace", c.DrainGrace)
	span("Slack", c.Slack)
	span("HeardFor", c.HeardFor)
	span("MaxAdvice", c.MaxAdvice)
	span("IdleMax", c.IdleMax)
	span("Quantum", c.Quantum)
	return err
}
