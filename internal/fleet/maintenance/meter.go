package maintenance

// Meter estimates how many requests per second a server serves and could serve, from the requests it has served and
// the use of its cores.
type Meter struct {
	lastRead int64
	served   uint64
	load     float64
	capacity float64
	measured bool // capacity is measured, not guessed
}

const (
	meterWeight = 0.2  // weight of the newest reading in the moving averages
	meterMinUse = 0.05 // core use under which a reading says nothing about the capacity
)

// Update takes the number of requests served so far and the share of the cores in use (negative = unknown) at a time,
// and returns the load and the capacity in requests per second. The capacity is the guess until the server was busy
// enough to measure it.
func (m *Meter) Update(now int64, served uint64, use, guess float64) (load, capacity float64) {
	if m.capacity == 0 {
		m.capacity = guess
	}
	if seconds := float64(now-m.lastRead) / 1000; m.lastRead > 0 && seconds > 0 && served >= m.served {
		rate := float64(served-m.served) / seconds
		if m.load == 0 {
			m.load = rate
		}
		m.load += meterWeight * (rate - m.load)
		if use >= meterMinUse && m.load > 0 {
			measured := m.load / min(1, use)
			if !m.measured { // the guess may be far above the real capacity: it is replaced, not averaged
				m.capacity, m.measured = measured, true
			}
			m.capacity += meterWeight * (measured - m.capacity)
		}
	}
	m.lastRead, m.served = now, served
	return m.load, max(m.capacity, m.load)
}
