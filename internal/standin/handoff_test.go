package standin_test

import (
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"larchscale/internal/standin"
)

// healthy waits for the door of b to say 200.
func healthy(t *testing.T, b *standin.Box) {
	t.Helper()
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if res, err := c.Get("http://" + b.Admin + "/healthcheck"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
	}
	t.Fatalf("%s never said yes: %s", b.Admin, b.Log())
}

// A second process of the box starts on the same address while callers use a new connection a request; at its
// yes the old one gets SIGTERM. At most two requests go unheard, as the operators allow an upgrade: where the
// kernel cannot steer, a connection whose handshake crosses the close of the old listener is reset (seen: 1 in
// 6 runs of about 1,500 requests). The old process ends well before the kill.
func TestHandoffBetweenTwoProcesses(t *testing.T) {
	var sites [2]*standin.Site
	for i := range sites {
		s, err := standin.NewSite(time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		sites[i] = s
	}
	old, err := standin.NewBox(program, t.TempDir(), "n1", sites[0], "")
	if err != nil {
		t.Fatal(err)
	}
	if err := old.Start(); err != nil {
		t.Fatal(err)
	}
	defer old.Kill()
	healthy(t, old)

	churn := standin.NewChurn(old.Listen, 4)
	defer churn.Stop()

	next, err := old.Twin(filepath.Join(t.TempDir(), "next"), sites[1])
	if err != nil {
		t.Fatal(err)
	}
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	defer next.Kill()
	healthy(t, next)
	before := churn.Tally()
	began := time.Now()
	select {
	case <-old.Term():
	case <-time.After(3700 * time.Millisecond):
		t.Fatalf("the old process did not end before the kill: %s", old.Log())
	}
	took := time.Since(began)
	time.Sleep(500 * time.Millisecond)
	after := churn.Stop()
	if n := after.Unheard; n > 2 || after.Sent-before.Sent < 50 {
		t.Fatalf("%d of %d requests unheard, %d over the handoff; old gone after %v\nold: %s", n, after.Sent,
			after.Sent-before.Sent, took, old.Log())
	}
	if code, _ := old.Stop(); code != 0 {
		t.Errorf("the old process ended with %d", code)
	}
}
