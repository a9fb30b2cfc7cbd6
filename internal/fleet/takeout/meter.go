package takeout

// Meter estimates how much a box carries and could carry, from what it has served and how busy its cores were.
type Meter struct {
	at       int64
	served   uint64
	load     float64
	capacity float64
	learned  bool // capacity is no guess any longer
}

const (
	meterLearn = 0.2  // weight of the newest reading
	meterBusy  = 0.05 // share of the cores under which a reading says nothing of the capacity
)

// Read takes the requests served so far and the share of the cores in use (negative = unknown) at a time, and gives
// requests a second: what the box carries, and what it could. Until it was busy enough to tell, the guess stands.
func (m *Meter) Read(now int64, served uint64, use, guess float64) (load, capacity float64) {
	if m.capacity == 0 {
		m.capacity = guess
	}
	if d := float64(now-m.at) / 1000; m.at > 0 && d > 0 && served >= m.served {
		rate := float64(served-m.served) / d
		if m.load == 0 {
			m.load = rate
		}
		m.load += meterLearn * (rate - m.load)
		if use >= meterBusy && m.load > 0 {
			now := m.load / min(1, use)
			if !m.learned { // the guess may be far over what a box carries: nothing of it stays
				m.capacity, m.learned = now, true
			}
			m.capacity += meterLearn * (now - m.capacity)
		}
	}
	m.at, m.served = now, served
	return m.load, max(m.capacity, m.load)
}
