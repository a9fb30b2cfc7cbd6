package main

import (
	"fmt"
	"syscall"
	"time"
)

// The cases of keyed work that outlives its box.

const (
	runTime   = 400 * time.Millisecond  // of a keyed request: 260 to 460 ms on average
	poolDown  = time.Second             // that a killed worker pool takes to start anew
	boxDown   = 8 * time.Second         // that a killed app server takes to come back: 6 to 19 s
	silence   = 1500 * time.Millisecond // that an app server stands still: a fifth of them for up to 6 s
	intoTheir = 150 * time.Millisecond  // when the box is killed, from the begin of the runs
)

// waitRunning waits until all writes have begun to run.
func (f *fleet) waitRunning(writes []*write) error {
	return until(3*time.Second, func() bool {
		for _, w := range writes {
			if len(f.ran.of(w.body)) == 0 {
				return false
			}
		}
		return true
	})
}

// account says how each write ended, and how often it ran.
func (f *fleet) account(writes []*write, log *record) (twice, unserved int) {
	for _, w := range writes {
		ran := f.ran.of(w.body)
		log.note("END of %q: %d tries, last answer %q, ran %d times: %v", w.body, w.tries, w.lastAnswer, len(ran), ran)
		if len(ran) > 1 {
			twice++
		}
		if w.result != resultOf(w.body) {
			unserved++
		}
	}
	return twice, unserved
}

// firstNotice: the box dies while the first work since its start runs.
func firstNotice(o *options, log *record) error {
	f, err := newFleet(o, log, runTime)
	if err != nil {
		return err
	}
	defer f.close()
	victim, others := f.boxes[4], f.boxes[:4]
	writes := []*write{newWrite("booking", 1)}
	wait := followAll(writes, victim, others, log)
	if err := f.waitRunning(writes); err != nil {
		return fmt.Errorf("the work does not begin: %w", err)
	}
	if o.causes("kill") {
		time.Sleep(intoTheir)
		victim.kill()
	}
	wait()
	return f.allServed(writes, log)
}

// poolMoved: the platform moves the worker pool of a box to another address by SIGHUP, and the box dies later.
func poolMoved(o *options, log *record) error {
	f, err := newFleet(o, log, runTime)
	if err != nil {
		return err
	}
	defer f.close()
	victim, others := f.boxes[4], f.boxes[:4]
	before := []*write{newWrite("booking before", 1), newWrite("booking before", 2)}
	followAll(before, victim, others, log)()
	if o.causes("move") {
		if err := victim.pool.move(); err != nil {
			return err
		}
		if err := victim.writeConfig(); err != nil {
			return err
		}
		log.note("%s: SIGHUP", victim.name)
		if err := victim.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		time.Sleep(10 * time.Second)
	}
	after := []*write{newWrite("booking after", 1), newWrite("booking after", 2)}
	followAll(after, victim, others, log)()
	writes := []*write{newWrite("booking", 1), newWrite("booking", 2), newWrite("booking", 3)}
	wait := followAll(writes, victim, others, log)
	if err := f.waitRunning(writes); err != nil {
		return fmt.Errorf("the work does not begin: %w", err)
	}
	if o.causes("kill") {
		time.Sleep(intoTheir)
		victim.kill()
		time.Sleep(boxDown)
		if err := victim.start(); err != nil {
			return err
		}
	}
	wait()
	if _, unserved := f.account(append(before, after...), log); unserved > 0 {
		return fmt.Errorf("%d writes beside the disruption were not served", unserved)
	}
	return f.allServed(writes, log)
}

// allServed holds that all writes ran once and were served: their pool lived.
func (f *fleet) allServed(writes []*write, log *record) error {
	twice, unserved := f.account(writes, log)
	if twice > 0 || unserved > 0 {
		return fmt.Errorf("%w: of %d accepted writes whose worker pool lived, %d ran twice and %d were not served", errBroken, len(writes), twice, unserved)
	}
	return nil
}

// poolAnew: the box is killed along with its worker pool, and the worker pool is back first, from nothing.
func poolAnew(o *options, log *record) error {
	f, err := newFleet(o, log, runTime)
	if err != nil {
		return err
	}
	defer f.close()
	victim, others := f.boxes[4], f.boxes[:4]
	before := []*write{newWrite("booking before", 1), newWrite("booking before", 2)}
	followAll(before, victim, others, log)()
	writes := []*write{newWrite("booking", 1), newWrite("booking", 2), newWrite("booking", 3)}
	wait := followAll(writes, victim, others, log)
	if err := f.waitRunning(writes); err != nil {
		return fmt.Errorf("the work does not begin: %w", err)
	}
	if o.causes("kill") {
		time.Sleep(intoTheir)
		victim.pool.die()
		victim.kill()
		time.Sleep(poolDown)
		if err := victim.pool.rise(); err != nil {
			return err
		}
		time.Sleep(boxDown - poolDown)
		if err := victim.start(); err != nil {
			return err
		}
	}
	wait()
	if twice, _ := f.account(append(before, writes...), log); twice > 0 {
		return fmt.Errorf("%w: %d of %d keyed writes ran twice", errBroken, twice, len(before)+len(writes))
	}
	return nil
}

// withdrawnClaim: one app server stands still for a while, so that claims wait; the clients hang up and ask again; once it
// goes on, the app server that they ask dies.
func withdrawnClaim(o *options, log *record) error {
	f, err := newFleet(o, log, runTime)
	if err != nil {
		return err
	}
	defer f.close()
	victim, still, others := f.boxes[4], f.boxes[3], f.boxes[:4]
	before := []*write{newWrite("booking before", 1), newWrite("booking before", 2)}
	followDesks(before, victim, others, log)()
	var writes []*write
	for i := range 20 {
		writes = append(writes, newWrite("booking", i))
	}
	if o.causes("still") {
		if err := still.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		log.note("%s: its process stands still", still.name)
	}
	wait := followDesks(writes, victim, others, log)
	time.Sleep(silence)
	if o.causes("still") {
		if err := still.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		log.note("%s: its process goes on", still.name)
	}
	if o.causes("kill") {
		time.Sleep(intoTheir)
		victim.kill()
		time.Sleep(boxDown)
		if err := victim.start(); err != nil {
			return err
		}
	}
	wait()
	if twice, _ := f.account(append(before, writes...), log); twice > 0 {
		return fmt.Errorf("%w: %d of %d keyed writes ran twice", errBroken, twice, len(before)+len(writes))
	}
	return nil
}
