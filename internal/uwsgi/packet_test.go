package uwsgi

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
)

// Whatever comes, a packet is read within its bounds or is an error, and a request's figures are sound.
func FuzzReadPacket(f *testing.F) {
	opt := Defaults()
	site := core.Site{Classes: []string{"quote", "book"},
		Control: control.Config{Classes: []control.Class{{Worth: 1}, {Worth: 3, Effect: control.Keyed}}}}
	f.Add(append(Packet("PATH_INFO", "/book", "CONTENT_LENGTH", "2", opt.Vars.Token, "k", opt.Vars.Rank, "0.5"), "ab"...))
	f.Add([]byte("\x00\x04\x00\x00\x09\x00ab"))
	f.Fuzz(func(t *testing.T, p []byte) {
		v, body, err := readPacket(bufio.NewReader(bytes.NewReader(p)), opt.MaxBody)
		if err != nil {
			return
		}
		q, problem := opt.request(v, body, &site, time.Now())
		if q.Class < 0 || problem != "" {
			return
		}
		if len(q.Body) > opt.MaxBody || !(q.Memory > 0) || !(q.Rank >= 0 && q.Rank <= 1) || q.Budget < 0 || site.Keyed(q.Class) && q.Token == "" {
			t.Fatalf("%q was taken as %+v", p, q)
		}
	})
}

// Whatever a server below sends, a response is read within its bounds or is an error.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("Status: 503\r\nX-Not-Run: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		if _, _, body, err := readResponse(bufio.NewReader(bytes.NewReader(p))); err == nil && len(body) > len(p) {
			t.Fatalf("%d bytes out of %d", len(body), len(p))
		}
	})
}

// The rank is an equal band for each worth, the lowest first, and in it a place that is the user's own.
func TestStanding(t *testing.T) {
	site := core.Site{Control: control.Config{Classes: []control.Class{{Worth: 1}, {Worth: 1}, {Worth: 3}}}}
	places := map[float64]bool{}
	for _, user := range []string{"a", "b", "c", "desk 1", "desk 2"} {
		low, high := standing(&site, 0, user), standing(&site, 2, user)
		if low != standing(&site, 1, user) || !(low >= 0 && low < 0.5) || high != low+0.5 {
			t.Errorf("%s: %v and %v", user, low, high)
		}
		places[low] = true
	}
	if len(places) != 5 {
		t.Errorf("five users in %d places", len(places))
	}
}
