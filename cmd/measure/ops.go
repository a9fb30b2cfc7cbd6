package main

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"larchscale/internal/standin"
)

type opsCmd struct {
	Callers int           `default:"8" help:"Callers that send one request a connection, each on a new one."`
	Load    time.Duration `default:"2s" help:"How long the door is measured under their load."`
}

// Run measures the operators' door, its drain and a handoff between two real processes on one address.
func (c opsCmd) Run(r *report) error {
	home, program, clean, err := built()
	if err != nil {
		return err
	}
	defer clean()
	sites := [2]*standin.Site{}
	for i := range sites {
		if sites[i], err = standin.NewSite(5 * time.Millisecond); err != nil {
			return err
		}
		defer sites[i].Close()
	}
	old, err := standin.NewBox(program, filepath.Join(home, "old"), "n1", sites[0], "")
	if err != nil {
		return err
	}
	if err := old.Start(); err != nil {
		return err
	}
	defer old.Kill()
	if _, err := until(old.Admin, "/healthcheck", http.StatusOK, 6*time.Second); err != nil {
		return err
	}
	l := standin.NewChurn(old.Listen, c.Callers)
	defer l.Stop()

	took, err := healthTimes(old.Admin, c.Load)
	if err != nil {
		return err
	}
	r.most("health answer, median", took[len(took)/2], "ms", 50)
	r.most("health answer, longest", took[len(took)-1], "ms", 1000)

	if err := drainTimes(r, old.Admin, l); err != nil {
		return err
	}

	next, err := old.Twin(filepath.Join(home, "next"), sites[1])
	if err != nil {
		return err
	}
	if err := next.Start(); err != nil {
		return err
	}
	defer next.Kill()
	if _, err := until(next.Admin, "/healthcheck", http.StatusOK, 6*time.Second); err != nil {
		return fmt.Errorf("the new process: %w", err)
	}
	before := l.Tally()
	sent := time.Now()
	select {
	case <-old.Term():
	case <-time.After(5 * time.Second):
		return errors.New("the old process did not end within 5 s of SIGTERM")
	}
	r.most("old process gone after SIGTERM", ms(time.Since(sent)), "ms", 3700)
	time.Sleep(time.Second)
	after := l.Stop()
	r.row("requests over the handoff", float64(after.Sent-before.Sent), "count")
	r.most("unheard over the handoff", float64(after.Unheard-before.Unheard), "count", 2)
	return nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

var door = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of the door and gives its status.
func call(method, addr, path string) (int, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return 0, err
	}
	res, err := door.Do(req)
	if err != nil {
		return 0, err
	}
	res.Body.Close()
	return res.StatusCode, nil
}

// healthTimes asks for health over and over for a while, and gives the times of the answers, sorted, in ms.
func healthTimes(addr string, d time.Duration) ([]float64, error) {
	var took []float64
	for end := time.Now().Add(d); time.Now().Before(end); {
		began := time.Now()
		code, err := call(http.MethodGet, addr, "/healthcheck")
		if err != nil || code != http.StatusOK {
			return nil, fmt.Errorf("health under load: %d %v", code, err)
		}
		took = append(took, ms(time.Since(began)))
		time.Sleep(10 * time.Millisecond)
	}
	slices.Sort(took)
	return took, nil
}

// until asks for path every 10 ms until it answers code, and gives how long that took.
func until(addr, path string, code int, within time.Duration) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < within {
		if c, err := call(http.MethodGet, addr, path); err == nil && c == code {
			return time.Since(began), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, fmt.Errorf("%s did not answer %d within %v", path, code, within)
}

// drainTimes calls the drain and its end, and measures how soon health follows; requests go on meanwhile.
func drainTimes(r *report, addr string, l *standin.Churn) error {
	for _, step := range []struct {
		path, name string
		want       int
		bound      float64
	}{{"/healthcheck/fail", "drain call to bad health", http.StatusServiceUnavailable, 100},
		{"/healthcheck/ok", "end of drain to good health", http.StatusOK, 2000}} {
		began := time.Now()
		if code, err := call(http.MethodPut, addr, step.path); err != nil || code != http.StatusOK {
			return fmt.Errorf("%s: %d %v", step.path, code, err)
		}
		if _, err := until(addr, "/healthcheck", step.want, 4*time.Second); err != nil {
			return err
		}
		r.most(step.name, ms(time.Since(began)), "ms", step.bound)
		if step.want == http.StatusServiceUnavailable {
			before := l.Tally()
			time.Sleep(500 * time.Millisecond)
			r.least("served in 0.5 s of drain", float64(l.Tally().Served-before.Served), "count", 1)
		}
	}
	return nil
}
