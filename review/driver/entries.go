package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Scenarios of faults that the project's records name.

const firstLossShown = 10 * time.Second // by when the loss of a home is agreed, and claims go on

// begun returns how many of the writes have begun to run.
func (f *fleet) begun(writes []*write) (n int) {
	for _, w := range writes {
		if len(f.ran.of(w.body)) > 0 {
			n++
		}
	}
	return n
}

// secondLoss: as withdrawnClaim, but the first app server dies too. The second one dies once the claims that waited for the
// first are won.
func secondLoss(o *options, log *record) error {
	f, err := newFleet(o, log, runTime)
	if err != nil {
		return err
	}
	defer f.close()
	victim, first, others := f.boxes[4], f.boxes[3], f.boxes[:3]
	var writes []*write
	for i := range 20 {
		writes = append(writes, newWrite("booking", i))
	}
	if o.causes("kill") {
		first.kill()
	}
	wait := followDesks(writes, victim, others, log)
	if o.causes("kill") {
		time.Sleep(1500 * time.Millisecond)
		before := f.begun(writes)
		if err := until(firstLossShown, func() bool { return f.begun(writes) > before }); err != nil {
			log.note("no claim waited for the app server that died first: %d of %d run", before, len(writes))
		}
		time.Sleep(intoTheir)
		victim.kill()
	}
	wait()
	if twice, _ := f.account(writes, log); twice > 0 {
		return fmt.Errorf("%w: %d of %d keyed writes ran twice", errBroken, twice, len(writes))
	}
	return nil
}

// backAtOnce: an app server dies with work in hand and is started again at once; its worker pool lives.
func backAtOnce(o *options, log *record) error {
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
		victim.kill()
		time.Sleep(time.Second)
		if err := victim.start(); err != nil {
			return err
		}
	}
	wait()
	return f.allServed(writes, log)
}

// ledgerReplaced: an app server with a ledger is replaced, process by process.
func ledgerReplaced(o *options, log *record) error {
	ran := &runs{}
	b, err := newBox(o, log, "n1", runTime, ran)
	if err != nil {
		return err
	}
	defer b.close()
	b.temp = filepath.Join(b.dir, "shared")
	if err := os.MkdirAll(b.temp, 0o700); err != nil {
		return err
	}
	text := ""
	if o.causes("ledger") {
		text = fmt.Sprintf("[ledger]\ndir = %q\n", filepath.Join(b.dir, "ledger"))
	}
	if err := errors.Join(os.WriteFile(b.operatorPath, []byte(text), 0o600), b.start()); err != nil {
		return err
	}
	if err := until(10*time.Second, b.up); err != nil {
		return fmt.Errorf("the server does not come up: %w", err)
	}
	replaced := *o
	replaced.dir = filepath.Join(o.dir, "next")
	next, err := newBox(&replaced, log, "n1", runTime, ran)
	if err != nil {
		return err
	}
	defer next.close()
	next.listen, next.temp, next.operatorPath = b.listen, b.temp, b.operatorPath
	if err := errors.Join(next.writeConfig(), next.start()); err != nil {
		return err
	}
	if err := until(6*time.Second, next.up); err != nil {
		select {
		case <-next.ended:
			return fmt.Errorf("%w: the new process has ended: %v", errBroken, next.cmd.ProcessState)
		default:
			return fmt.Errorf("%w: the new process does not say yes within 6 s", errBroken)
		}
	}
	return nil
}

// silentLink: the link to the worker pool stays open and brings nothing any longer; the pool lives and takes new links.
func silentLink(o *options, log *record) error {
	ran := &runs{}
	b, err := newBox(o, log, "n1", runTime, ran)
	if err != nil {
		return err
	}
	defer b.close()
	if err := errors.Join(os.WriteFile(b.operatorPath, nil, 0o600), b.start()); err != nil {
		return err
	}
	if err := until(10*time.Second, b.up); err != nil {
		return fmt.Errorf("the server does not come up: %w", err)
	}
	served := func(name string, n int) (n1 int) {
		for i := range n {
			w := newWrite(name, i)
			if try(w, b.name, b.listen, log) == "served" {
				n1++
			}
		}
		return n1
	}
	if served("before", 3) != 3 {
		return errors.New("the server does not serve")
	}
	if o.causes("silent") {
		b.pool.silence()
	}
	time.Sleep(30 * time.Second)
	if served("after", 3) == 0 {
		return fmt.Errorf("%w: nothing is served 30 s after the link went silent; up: %v", errBroken, b.up())
	}
	return nil
}
