package control

import (
	"math"
	"testing"
	"time"
)

// The error names the first invalid field, with its index in a list, and its value.
func TestCheckNamesTheField(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"":                                      func(*Config) {},
		"control: Config.Cores is -1":           func(c *Config) { c.Cores = -1 },
		"control: Config.Classes[0].Aim is -1s": func(c *Config) { c.Classes[0].Aim = -time.Second },
		"control: Config.Classes[1].Worth is NaN":   func(c *Config) { c.Classes[1].Worth = math.NaN() },
		"control: Config.Classes[1].LateWorth is 2": func(c *Config) { c.Classes[1].LateWorth = 2; c.Tenants[0].Share = 2 },
		"control: Config.Classes[1].Effect is 3":    func(c *Config) { c.Classes[1].Effect = Unsafe + 1 },
		"control: Config.Tenants[2].Share is 1.5":   func(c *Config) { c.Tenants[2].Share = 1.5 },
		"control: Config.Tenants[1].Quota is +Inf":  func(c *Config) { c.Tenants[1].Quota = math.Inf(1) },
		"control: Config.Stopping is 3":             func(c *Config) { c.Stopping = StopPauses + 1 },
		"control: Config.ColdFrom is -0.5":          func(c *Config) { c.ColdFrom = -0.5 },
		"control: Config.Quantum is -1ns":           func(c *Config) { c.Quantum = -1 },
	} {
		config := Config{Classes: make([]Class, 2), Tenants: make([]Tenant, 3)}
		change(&config)
		got := ""
		if err := config.Check(); err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
