package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// struck are how many writes are in hand at the box that is killed.
const struck = 6

// takeOver has a fleet of three lose n1 with keyed writes in hand, whose callers repeat them at the others. before is
// called once the fleet is whole, after once n1 is dead. The worker pool of n1 lives on.
func (p *play) takeOver(how plan, before func(boxes []*box) error, after func(lost *box) error) (boxes []*box, writes []*write, err error) {
	if boxes, err = p.newBoxes(3, how, p.fleetTables("take_over = true\n")); err != nil {
		return nil, nil, err
	}
	if err = p.startAll(boxes); err != nil {
		return nil, nil, err
	}
	if err = p.found(boxes[0]); err != nil {
		return nil, nil, err
	}
	if err = p.whole(boxes); err != nil {
		return nil, nil, err
	}
	p.note("the fleet is whole")
	lost := boxes[0]
	if err = before(boxes); err != nil {
		return nil, nil, err
	}
	writes = newWrites("struck", struck)
	var callers sync.WaitGroup
	for _, w := range writes {
		callers.Go(func() { p.follow(w, boxes) })
	}
	err = until("the writes run", 2*time.Second, func() bool {
		for _, w := range writes {
			if runs, _ := lost.pool.seen(w.Body); runs == 0 {
				return false
			}
		}
		return true
	})
	if err != nil {
		return nil, nil, err
	}
	if p.trouble {
		lost.kill()
		p.note("n1 killed")
		if err = after(lost); err != nil {
			return nil, nil, err
		}
	}
	callers.Wait()
	for _, w := range writes {
		_, end := lost.pool.seen(w.Body)
		p.note("%q: its caller was left with %q; %d runs, the newest at the pool of n1 ended %q", w.Body, w.end, runsOf(w, boxes), end)
	}
	return boxes, writes, nil
}

// runsOf tells how often a write has run at all pools.
func runsOf(w *write, boxes []*box) (runs int) {
	for _, b := range boxes {
		n, _ := b.pool.seen(w.Body)
		runs += n
	}
	return runs
}

// ranTwice tells which writes ran more than once.
func ranTwice(boxes []*box, writes []*write) (broken []string) {
	for _, w := range writes {
		if runs := runsOf(w, boxes); runs > 1 {
			broken = append(broken, fmt.Sprintf("%q, a keyed write with one token, ran %d times", w.Body, runs))
		}
	}
	return broken
}

// lostWork tells which writes nobody has the result of.
func lostWork(boxes []*box, writes []*write) (broken []string) {
	for _, w := range writes {
		if _, end := boxes[0].pool.seen(w.Body); w.end != "served" {
			broken = append(broken, fmt.Sprintf("%q was in hand at n1, whose worker pool lives, and is lost: its caller was left with %q, its run ended %q", w.Body, w.end, end))
		}
	}
	return broken
}

// warmUp has every box serve a keyed write.
func (p *play) warmUp(boxes []*box) error {
	for i, w := range newWrites(warm, len(boxes)) {
		if p.follow(w, boxes[i:i+1]); w.end != "served" {
			return void("a write before the disruption was %s", w.end)
		}
	}
	return nil
}

// staysDown leaves a lost box down.
func staysDown(*box) error { return nil }

// playBack has a box come back without its disk 6 s after its death, while its runs end one after the other.
func playBack(p *play) ([]string, error) {
	how := plan{before: 5800 * time.Millisecond, step: 100 * time.Millisecond}
	inService := func(boxes []*box) error {
		for range 10 {
			if err := p.warmUp(boxes); err != nil {
				return err
			}
		}
		return nil
	}
	boxes, writes, err := p.takeOver(how, inService, func(lost *box) error {
		if !set("BACK") {
			return nil
		}
		time.Sleep(6 * time.Second)
		if set("WIPE") {
			if err := os.RemoveAll(p.fleetDir(lost.Name)); err != nil {
				return err
			}
			p.note("what the fleet kept at n1 is gone")
		}
		if err := lost.start(); err != nil {
			return void("%v", err)
		}
		p.note("n1 started")
		return nil
	})
	return ranTwice(boxes, writes), err
}

// playFirst loses a box that has just started: none of its runs has ended or made a call yet.
func playFirst(p *play) ([]string, error) {
	boxes, writes, err := p.takeOver(plan{before: 2 * time.Second}, func(boxes []*box) error {
		if set("FRESH") {
			return nil
		}
		return p.warmUp(boxes)
	}, staysDown)
	return ranTwice(boxes, writes), err
}

// playCalls has the runs of a lost box make a call below after its loss.
func playCalls(p *play) ([]string, error) {
	how := plan{before: 6 * time.Second, after: 300 * time.Millisecond, calls: set("CALLS"), most: deadline + time.Second}
	boxes, writes, err := p.takeOver(how, p.warmUp, staysDown)
	return lostWork(boxes, writes), err
}
