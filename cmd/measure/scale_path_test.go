package main

import (
	"bufio"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/internal/capacity"
	"larchscale/internal/standin"
)

// Requests that go straight to the stand-ins are served, those that make a call included, and the work of each is known.
func TestBarePathServes(t *testing.T) {
	site, err := standin.NewSite(time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	bare, err := newBarePath(site)
	if err != nil {
		t.Fatal(err)
	}
	defer bare.close()
	for _, body := range []string{"a", "b", "c", "d", "e", "f"} { // each third run makes a call
		if end := bare.do(standin.Request{Handle: "handle-" + body, Class: "quote", Body: body}); end != "served" {
			t.Errorf("%s: %s", body, end)
		}
		if worked, ok := site.Worked(body); !ok || worked < time.Millisecond {
			t.Errorf("%s worked for %v, %v", body, worked, ok)
		}
	}
	if calls, wrong := site.Asked(); len(calls) != 1 || wrong != 0 {
		t.Errorf("calls %v, of them %d wrong", calls, wrong)
	}
}

// A request whose pool is gone is lost, and waits for nothing.
func TestBarePathLosesWhatHasNoPool(t *testing.T) {
	site, err := standin.NewSite(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	bare, err := newBarePath(site)
	if err != nil {
		t.Fatal(err)
	}
	end := make(chan string)
	go func() { end <- bare.do(standin.Request{Handle: "handle", Class: "quote", Body: "a"}) }()
	bare.close()
	site.Close()
	if got := <-end; got != "lost" {
		t.Errorf("it is %s", got)
	}
}

// A reply that is cut short, or has no sound size, is an error.
func TestReadReply(t *testing.T) {
	for text, want := range map[string]string{
		"1 HIT 4\r\ntaxi\r\n": "taxi", "1 HIT 0\r\n\r\n": "", "1 HIT 4\r\nta": "!", "1 HIT -1\r\n": "!", "1 HIT x\r\n": "!",
		"1 HIT 9999999\r\n": "!", "1 HIT\r\n": "!", "1 HIT 4": "!", "": "!",
	} {
		body, err := readReply(bufio.NewReader(strings.NewReader(text)))
		got := string(body)
		if err != nil {
			got = "!"
		}
		if got != want {
			t.Errorf("%q is read as %q, want %q", text, got, want)
		}
	}
}

// A recording has the median of the runs at each size and their spread, the sizes in order.
func TestPathRecord(t *testing.T) {
	record := newPathRecord(&scalePathCmd{Note: "A note."})
	for _, run := range []struct{ size, value float64 }{{100, 7}, {10, 3}, {10, 1}, {10, 2}} {
		record.add("path.test", "ms", "tenants", "", run.size, run.value)
	}
	path := filepath.Join(t.TempDir(), "capacity.json")
	if err := record.write(path); err != nil {
		t.Fatal(err)
	}
	recording, err := capacity.ReadRecording(path)
	if err != nil {
		t.Fatal(err)
	}
	measurement := recording.Find("path.test")
	if measurement == nil {
		t.Fatal("the measurement is not there")
	}
	want := []capacity.Point{{Size: 10, Value: 2, Spread: 2, Runs: 3}, {Size: 100, Value: 7, Runs: 1}}
	if diff := cmp.Diff(want, measurement.Points); diff != "" {
		t.Error(diff)
	}
	if measurement.Unit != "ms" || measurement.SizeUnit != "tenants" || !strings.HasPrefix(measurement.Note, "A note.") {
		t.Errorf("%+v", measurement)
	}
}

// A delay past its bound fails the run where the sender was in time, and is not judged where it was late: then the run
// fails for the sender.
func TestDelaysAreJudgedWhereTheSenderWasInTime(t *testing.T) {
	for name, run := range map[string]struct {
		sender, added float64
		past          bool
	}{
		"in time and within":  {0.1, 1, false},
		"in time and past":    {0.1, 2, true},
		"late and within":     {30, 1, true},
		"late and below zero": {30, -7, true},
	} {
		record := newPathRecord(&scalePathCmd{})
		record.add("path.sender.p99", "ms", "", "", 108, run.sender)
		record.add("path.added.p99", "ms", "", "", 108, run.added)
		measurement := &pathMeasurement{report: &report{}, record: record}
		measurement.loadRows(108)
		if measurement.report.past != run.past {
			t.Errorf("%s: past is %v", name, measurement.report.past)
		}
	}
}
