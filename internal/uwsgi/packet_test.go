package uwsgi

import (
	"bufio"
	"bytes"
	"math"
	"testing"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
)

// Any input is read as a packet within the limits or is an error, and the values of a request are in range.
func FuzzReadPacket(f *testing.F) {
	opt := Defaults()
	site := core.Config{Classes: []string{"quote", "book"},
		Control: control.Config{Classes: []control.Class{{Worth: 1}, {Worth: 3, Effect: control.Keyed}}}}
	bands := newRankBands(site.Control.Classes)
	f.Add(append(EncodeHead("PATH_INFO", "/book", "CONTENT_LENGTH", "2", opt.Vars.Token, "k", opt.Vars.Rank, "0.5"), "ab"...))
	f.Add([]byte("\x00\x04\x00\x00\x09\x00ab"))
	f.Fuzz(func(t *testing.T, p []byte) {
		variables, body, err := readPacket(bufio.NewReader(bytes.NewReader(p)), opt.MaxBody, func(int) bool { return true })
		if err != nil {
			return
		}
		q, problem := opt.request(variables, body, &site, bands, time.Now())
		if q.Class < 0 || problem != "" {
			return
		}
		if len(q.Body) > opt.MaxBody || !(q.Memory > 0) || !(q.Rank >= 0 && q.Rank <= 1) || q.Budget < 0 || site.Keyed(q.Class) && q.Token == "" {
			t.Fatalf("%q was accepted as %+v", p, q)
		}
	})
}

// Any input of a downstream server is read as a response within the limits or is an error.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("Status: 503\r\nX-Not-Run: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		if _, _, body, err := readResponse(bufio.NewReader(bytes.NewReader(p))); err == nil && len(body) > len(p) {
			t.Fatalf("a body of %d bytes from %d bytes of input", len(body), len(p))
		}
	})
}

// Each worth has an equal band of ranks, the lowest worth first, and each user has its own position in the band.
func TestRankBands(t *testing.T) {
	bands := newRankBands([]control.Class{{Worth: 1}, {Worth: 1}, {Worth: 3}})
	positions := map[float64]bool{}
	for _, user := range []string{"a", "b", "c", "desk 1", "desk 2"} {
		low, high := bands.rank(0, user), bands.rank(2, user)
		if low != bands.rank(1, user) || !(low >= 0 && low < 0.5) || high != low+0.5 {
			t.Errorf("%s: %v and %v", user, low, high)
		}
		positions[low] = true
	}
	if len(positions) != 5 {
		t.Errorf("five users have %d positions", len(positions))
	}
}

// With many classes the band index of each is the number of distinct worths below its own.
func TestRankBandsOfManyClasses(t *testing.T) {
	classes := make([]control.Class, 4500)
	for i := range classes {
		classes[i].Worth = float64(i * 7919 % 37)
	}
	bands := newRankBands(classes)
	if bands.count != 37 {
		t.Fatalf("%v bands for 37 worths", bands.count)
	}
	for i, class := range classes {
		if rank := bands.rank(i, "user"); math.Floor(rank*37) != class.Worth {
			t.Fatalf("class %d of worth %v has rank %v", i, class.Worth, rank)
		}
	}
}
