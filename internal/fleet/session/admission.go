package session

import (
	"math/rand/v2"
	"time"
)

// Bounds of the retry delay sent with a refusal.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// admission limits the rate at which sessions open. It is a token bucket; a refused server is also told when a
// token is likely to be available, which is later the more servers have been refused.
type admission struct {
	tokensPerSecond float64
	burst           float64
	tokens          float64
	queuedOpens     float64 // refused opens that are not yet due to retry
	refilledAt      time.Duration
	random          *rand.Rand
}

func newAdmission(rate, burst int, random *rand.Rand) *admission {
	return &admission{tokensPerSecond: float64(rate), burst: float64(burst), tokens: float64(burst), random: random}
}

// take removes a token. With none left it returns the delay after which the server should retry.
func (a *admission) take(now time.Duration) (retryAfter time.Duration, ok bool) {
	refill := a.tokensPerSecond * max(0, now-a.refilledAt).Seconds()
	a.refilledAt = max(a.refilledAt, now)
	a.tokens = min(a.burst, a.tokens+refill)
	a.queuedOpens = max(0, a.queuedOpens-refill)
	if a.tokens >= 1 {
		a.tokens--
		return 0, true
	}
	a.queuedOpens++
	wait := a.queuedOpens / a.tokensPerSecond * float64(time.Second)
	return min(minRetryAfter+jitter(a.random, time.Duration(wait)), maxRetryAfter), false
}

// jitter returns a random duration within 25% of mean.
func jitter(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.75 + random.Float64()/2))
}
