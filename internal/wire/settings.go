package wire

import (
	"encoding/json"
	"fmt"
)

// Settings configures an instance when it starts. Times are in microseconds; unknown keys are ignored.
type Settings struct {
	Servers        int
	QuantumUs      float64
	OverShareWorth float64
	RequestClasses []struct {
		AimUs, GiveUpUs, MemorySpanUs float64
		Importance, LateWorth         float64
		Effect, Name                  string
	}
	Tenants []struct {
		Name                string
		Fraction, QuotaPerS float64
	}
	FamilyInfo struct {
		Advert, Below, Preemption string
		CallsOut, DepWindowUs     float64
		ClassCalls                []bool
		ClassSkipWorth            []float64
		Cpus, Upstreams           int
		FullChecks, HangupSeen    bool
		JustStarted               bool
		HeardForUs, KeepaliveMaxUs,
		KeyKb, LingersUs, MemoryKb, RunFactor float64
		OwnStats []string
	}
	Limits struct {
		MaxRetryAfterUs float64
		RetryAfter      bool
	}
	Safety struct {
		AnswerSlackUs, ColdFrom, ColdUs, DrainGraceUs,
		FallMultiple, FallUs float64
	}
}

// ParseSettings parses the settings of one instance. Absent keys are zero.
func ParseSettings(text []byte) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %v", err)
	}
	return s, nil
}
