package session

import (
	"math/rand/v2"
	"time"
)

// Times of refusals.
const (
	leastRetryAfter = 50 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
)

// admission paces the opening of sessions: a token bucket, and for those that it refuses a time at which there is likely to
// be a token, later the more have been refused.
type admission struct {
	rate   float64 // tokens a second
	burst  float64
	tokens float64
	queue  float64 // refused, and not due back yet
	at     time.Duration
	random *rand.Rand
}

func newAdmission(rate, burst int, random *rand.Rand) *admission {
	return &admission{rate: float64(rate), burst: float64(burst), tokens: float64(burst), random: random}
}

// take takes a token; with none left it returns how long to stay away.
func (a *admission) take(now time.Duration) (retryAfter time.Duration, ok bool) {
	refill := a.rate * max(0, now-a.at).Seconds()
	a.at = max(a.at, now)
	a.tokens = min(a.burst, a.tokens+refill)
	a.queue = max(0, a.queue-refill)
	if a.tokens >= 1 {
		a.tokens--
		return 0, true
	}
	a.queue++
	wait := a.queue / a.rate * float64(time.Second)
	return min(leastRetryAfter+jitter(a.random, time.Duration(wait)), maxRetryAfter), false
}

// jitter returns a duration within a quarter of a mean.
func jitter(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.75 + random.Float64()/2))
}
