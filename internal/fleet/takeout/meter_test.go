package takeout

import "testing"

func TestMeter(t *testing.T) {
	var m Meter
	load, capacity := m.Read(1000, 0, -1, 200)
	if load != 0 || capacity != 200 {
		t.Fatalf("a guess: %v of %v", load, capacity)
	}
	served, now := uint64(0), int64(1000)
	for range 60 { // 100 a second with half of the cores
		now, served = now+1000, served+100
		load, capacity = m.Read(now, served, 0.5, 200)
	}
	if load < 99 || load > 101 || capacity < 195 || capacity > 205 {
		t.Errorf("half busy: %v of %v", load, capacity)
	}
	for range 60 { // nothing to do: it could still
		now += 1000
		load, capacity = m.Read(now, served, 0.01, 200)
	}
	if load > 1 || capacity < 195 {
		t.Errorf("idle: %v of %v", load, capacity)
	}
	if load, _ = m.Read(now+1000, 0, 0.5, 200); load > 1 { // a new process counts from 0
		t.Errorf("after a restart: %v", load)
	}
}

// The first busy reading replaces a guess that is far off: a box that has just come back must not look like ten.
func TestMeterForgetsItsGuess(t *testing.T) {
	var m Meter
	m.Read(1000, 0, 0.5, 4000)
	if load, capacity := m.Read(2000, 100, 0.5, 4000); load != 100 || capacity != 200 {
		t.Errorf("%v of %v", load, capacity)
	}
}
