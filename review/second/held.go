package main

import (
	"fmt"
	"net/http"
	"time"

	"larchscale/internal/standin"
)

// playHeld has an operator drain n2 at its door before a plan takes out another box, with one box missing at most.
func playHeld(p *play) ([]string, error) {
	boxes, err := p.newBoxes(3, plan{before: 20 * time.Millisecond}, p.fleetTables(""))
	if err != nil {
		return nil, err
	}
	if err := p.startAll(boxes); err != nil {
		return nil, err
	}
	if err := p.found(boxes[0]); err != nil {
		return nil, err
	}
	err = until("all boxes are in", 40*time.Second, func() bool {
		for _, b := range boxes {
			if f := standin.Stats(b.Admin); f["fleet.members"] != 3 || f["fleet.voters"] != 3 || f["fleet.out"] != 0 || f["fleet.known"] != 1 {
				return false
			}
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // reports of all are there
	if p.trouble {
		q, err := http.NewRequest(http.MethodPut, "http://"+boxes[1].Admin+"/healthcheck/fail", nil)
		if err != nil {
			return nil, err
		}
		res, err := http.DefaultClient.Do(q)
		if err != nil {
			return nil, void("%v", err)
		}
		res.Body.Close()
		p.note("PUT /healthcheck/fail at n2: %s", res.Status)
		time.Sleep(4 * time.Second) // longer than silent_ms: the fleet has heard of it
	}
	if code, _ := p.ctl(nil, "fleet", "take-out", "disks", "--operator", boxes[0].Operator(), "--boxes", "n3", "--most", "1", "--floor", "0", "--by", "rana", "--reason", "new disks"); code != 0 {
		return nil, void("the plan was not taken")
	}
	was := ""
	gone := false
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var away []string
		for _, b := range boxes {
			if standin.Health(b.Admin) != http.StatusOK {
				away = append(away, b.Name)
			}
		}
		if now := fmt.Sprint(away); now != was {
			p.note("no at the door: %v", away)
			was = now
		}
		gone = gone || len(away) > 0
		if len(away) > 1 {
			p.ctl(nil, "fleet", "status", "--operator", boxes[0].Operator())
			return []string{fmt.Sprintf("the plan allows one box missing, and %v are drained at a time", away)}, nil
		}
	}
	p.ctl(nil, "fleet", "status", "--operator", boxes[0].Operator())
	if !gone {
		return nil, void("nothing was taken out")
	}
	return nil, nil
}
