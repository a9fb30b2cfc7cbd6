package traffic

import (
	"log/slog"
	"net/http"
	"testing"

	"larchscale/internal/link"
)

// TestCountsAgreeWithKernel holds the counts of both ends of a connection against TCP_INFO and against each other.
func TestCountsAgreeWithKernel(t *testing.T) {
	server, client := NewCounter(), NewCounter()
	log := slog.New(slog.DiscardHandler)
	front, err := link.New(link.Options{Listen: "127.0.0.1:0"}, log)
	if err != nil {
		t.Fatal(err)
	}
	front.Observe(server.Observer())
	listener, err := front.Listen()
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	handler := server.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, 5000)) }))
	go func() {
		defer close(served)
		front.Serve(t.Context(), listener, handler)
	}()
	back, err := link.New(link.Options{}, log)
	if err != nil {
		t.Fatal(err)
	}
	back.Observe(client.Observer())
	dialled := back.Dial("server", listener.Addr().String())
	const requests = 20
	for range requests {
		if _, err := dialled.Post(t.Context(), "/test", make([]byte, 3000)); err != nil {
			t.Fatal(err)
		}
	}
	for name, counter := range map[string]*Counter{"server": server, "client": client} {
		if check, err := counter.Check(); err != nil || check.CountedIn == 0 || check.CountedOut == 0 {
			t.Errorf("%s: %+v, %v", name, check, err)
		}
	}
	s, c := server.Totals(), client.Totals()
	if s.BytesIn != c.BytesOut || s.BytesOut != c.BytesIn {
		t.Errorf("the server counted %d in and %d out, the client %d out and %d in", s.BytesIn, s.BytesOut, c.BytesOut, c.BytesIn)
	}
	if s.BytesIn < requests*3000 || s.BytesOut < requests*5000 || s.Connections != 1 || c.Connections != 1 {
		t.Errorf("%+v and %+v", s, c)
	}
	if s.RequestsIn["/test"] != requests || c.RequestsOut["/test"] != requests {
		t.Errorf("%v answered, %v sent, not %d", s.RequestsIn, c.RequestsOut, requests)
	}
	if d := s.Since(s); d.BytesIn != 0 || d.RequestsIn["/test"] != 0 {
		t.Errorf("since itself: %+v", d)
	}
	dialled.Close()
}
