package maintenance

import "testing"

func TestMeter(t *testing.T) {
	var m Meter
	load, capacity := m.Update(1000, 0, -1, 200)
	if load != 0 || capacity != 200 {
		t.Fatalf("before any reading: load %v, capacity %v", load, capacity)
	}
	served, now := uint64(0), int64(1000)
	for range 60 { // 100 requests per second with half of the cores in use
		now, served = now+1000, served+100
		load, capacity = m.Update(now, served, 0.5, 200)
	}
	if load < 99 || load > 101 || capacity < 195 || capacity > 205 {
		t.Errorf("half busy: load %v, capacity %v", load, capacity)
	}
	for range 60 { // idle: the capacity stays
		now += 1000
		load, capacity = m.Update(now, served, 0.01, 200)
	}
	if load > 1 || capacity < 195 {
		t.Errorf("idle: load %v, capacity %v", load, capacity)
	}
	if load, _ = m.Update(now+1000, 0, 0.5, 200); load > 1 { // a new process counts its requests from 0
		t.Errorf("after a restart: load %v", load)
	}
}

// The first busy reading replaces a guess that is far too high, so a server that has just come back does not report
// several times its capacity.
func TestMeterReplacesItsGuess(t *testing.T) {
	var m Meter
	m.Update(1000, 0, 0.5, 4000)
	if load, capacity := m.Update(2000, 100, 0.5, 4000); load != 100 || capacity != 200 {
		t.Errorf("load %v, capacity %v", load, capacity)
	}
}
