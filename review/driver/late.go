package main

import (
	"fmt"
	"os"
	"time"
)

const (
	longRun   = 3 * time.Second         // a request of 260 to 460 ms on a machine that is 9 times slower
	lateBound = 1500 * time.Millisecond // between the two pieces of the pool's first notice on a link
)

// boundInPieces: one app server without an operator's file; its link to the worker pool breaks, and the first notice on the
// next one comes in two pieces.
func boundInPieces(o *options, log *record) error {
	f := &fleet{ran: &runs{}}
	b, err := newBox(o, log, "n1", longRun, f.ran)
	if err != nil {
		return err
	}
	defer b.close()
	f.boxes = []*box{b}
	if err := os.WriteFile(b.operatorPath, nil, 0o600); err != nil {
		return err
	}
	if err := b.start(); err != nil {
		return err
	}
	if err := until(10*time.Second, b.up); err != nil {
		return fmt.Errorf("the server does not come up: %w", err)
	}
	time.Sleep(3 * time.Second)
	writes := []*write{newWrite("booking", 1), newWrite("booking", 2), newWrite("booking", 3)}
	wait := followAll(writes, b, f.boxes, log)
	if err := f.waitRunning(writes); err != nil {
		return fmt.Errorf("the work does not begin: %w", err)
	}
	time.Sleep(intoTheir)
	b.pool.breakLink(o.causes("break"), o.causes("pieces"))
	wait()
	return f.allServed(writes, log)
}
