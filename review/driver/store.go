package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"larchscale/internal/standin/keystore"
)

// The case of app servers with one store of keys.

const (
	storeLate   = 2 * time.Second         // that a part of what goes to the store and comes from it is late
	storeShare  = 0.15                    // this part
	storeWrites = 1400                    // keyed requests
	storeRate   = 24                      // a second, to all servers
	storeWork   = 1200 * time.Millisecond // of a run
	repeatAfter = 3 * time.Second         // from the first answer on the client asks the other server
)

// slowStore: the way to the shared store is slow, and clients repeat what they sent.
func slowStore(o *options, log *record) error {
	ran := &runs{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	go keystore.New().Serve(listener)
	var boxes []*box
	var ways []*slowLink
	for _, name := range []string{"n1", "n2", "n3", "n4", "n5", "n6"} {
		b, err := newBox(o, log, name, storeWork, ran)
		if err != nil {
			return err
		}
		defer b.close()
		way, err := newSlowLink(listener.Addr().String(), storeShare, storeLate)
		if err != nil {
			return err
		}
		defer way.close()
		text := fmt.Sprintf("[store]\nredis = %q\n", way.listener.Addr().String())
		if err := errors.Join(os.WriteFile(b.operatorPath, []byte(text), 0o600), b.start()); err != nil {
			return err
		}
		boxes, ways = append(boxes, b), append(ways, way)
	}
	if err := until(20*time.Second, func() bool { return !slices.ContainsFunc(boxes, func(b *box) bool { return !b.up() }) }); err != nil {
		return fmt.Errorf("the servers do not come up: %w", err)
	}
	if o.causes("slow") {
		for _, way := range ways {
			way.slow.Store(true)
		}
		log.note("from now on %v of what goes to the store and comes from it is %v late", storeShare, storeLate)
	}
	var all sync.WaitGroup
	var writes []*write
	for i := range storeWrites {
		w := newWrite("booking", i)
		writes = append(writes, w)
		first, other := boxes[i%len(boxes)], boxes[(i+1)%len(boxes)]
		all.Go(func() { askTwice(w, first, other, log) })
		time.Sleep(time.Second / storeRate)
	}
	all.Wait()
	f := &fleet{boxes: boxes, ran: ran}
	for i, way := range ways {
		log.note("to and from the store of %s: %d pieces late", boxes[i].name, way.delayed.Load())
	}
	twice, unserved := f.account(writes, log)
	log.note("%d writes: %d not served, %d ran twice", len(writes), unserved, twice)
	if twice > 0 {
		return fmt.Errorf("%w: %d of %d keyed writes ran twice", errBroken, twice, len(writes))
	}
	return nil
}

// askTwice sends a write to one server, again after each refusal once its backoff is over, and, some time after the
// first answer that is no refusal, once to the other server.
func askTwice(w *write, first, other *box, log *record) {
	for time.Since(w.first) < giveUp-2*time.Second {
		if end := try(w, first.name, first.listen, log); end != "refused" {
			break
		}
		time.Sleep(w.backoff)
	}
	time.Sleep(repeatAfter)
	if time.Since(w.first) < giveUp-time.Second {
		try(w, other.name, other.listen, log)
	}
}
