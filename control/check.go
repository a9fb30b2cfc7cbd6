package control

import (
	"fmt"
	"math"
	"time"
)

// Check returns an error that names the first invalid field of c and its value, or nil.
func (c *Config) Check() error {
	var err error
	list, index := "", 0 // list and index of the element under check; "" = a field of c itself
	invalid := func(field string, value any) {
		if err != nil {
			return
		}
		if list != "" {
			field = fmt.Sprintf("%s[%d].%s", list, index, field)
		}
		err = fmt.Errorf("control: Config.%s is %v", field, value)
	}
	duration := func(field string, d time.Duration) {
		if d < 0 {
			invalid(field, d)
		}
	}
	amount := func(field string, x float64) {
		if !(x >= 0) || math.IsInf(x, 1) {
			invalid(field, x)
		}
	}
	fraction := func(field string, x float64) {
		if !(x >= 0 && x <= 1) {
			invalid(field, x)
		}
	}
	for _, n := range []struct {
		field string
		value int
	}{{"Servers", c.Servers}, {"Callers", c.Callers}, {"Cores", c.Cores}} {
		if n.value < 0 {
			invalid(n.field, n.value)
		}
	}
	for i, k := range c.Classes {
		list, index = "Classes", i
		duration("Aim", k.Aim)
		duration("Deadline", k.Deadline)
		duration("Window", k.Window)
		amount("Worth", k.Worth)
		fraction("LateWorth", k.LateWorth)
		fraction("SkipWorth", k.SkipWorth)
		if k.Effect > Unsafe {
			invalid("Effect", k.Effect)
		}
	}
	for i, t := range c.Tenants {
		list, index = "Tenants", i
		fraction("Share", t.Share)
		amount("Quota", t.Quota)
	}
	list = ""
	if c.Advert > AdvertWeight {
		invalid("Advert", c.Advert)
	}
	if c.Stopping > StopPauses {
		invalid("Stopping", c.Stopping)
	}
	fraction("ColdFrom", c.ColdFrom)
	fraction("OverWorth", c.OverWorth)
	amount("Memory", c.Memory)
	amount("RunFactor", c.RunFactor)
	amount("KeyMemory", c.KeyMemory)
	amount("Crowd", c.Crowd)
	amount("CallShare", c.CallShare)
	duration("ColdFor", c.ColdFor)
	duration("CrowdFor", c.CrowdFor)
	duration("CallWindow", c.CallWindow)
	duration("CallLingers", c.CallLingers)
	duration("DrainGrace", c.DrainGrace)
	duration("Slack", c.Slack)
	duration("HeardFor", c.HeardFor)
	duration("MaxAdvice", c.MaxAdvice)
	duration("IdleMax", c.IdleMax)
	duration("Quantum", c.Quantum)
	return err
}
