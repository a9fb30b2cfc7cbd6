package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case of clients that send the same again as soon as it is turned away.

const (
	smallMemoryMB = 64
	smallSockets  = 512
	shortWork     = 30 * time.Millisecond // of a run, so that the worker pool can do about 190 a second
	ourRate       = 30                    // keyed requests of the usual balancer a second
	calmTime      = 5 * time.Second       // before the bad clients come
	badTime       = 40 * time.Second      // for which they stay
	badClients    = 40
	bodySize      = 2000 // bytes, of 2 KiB at most; a result is a little larger
	watchInterval = 100 * time.Millisecond
)

// anonymousKB returns the anonymous memory of a process, in KB: what the program has in use, without the mapped program
// and without files. It returns 0 if the process has ended.
func anonymousKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// sameAgain: one app server without an operator's file, a usual balancer, and clients that send at full speed, each
// request on a new connection, and the same again as soon as it is turned away. The platform kills the process once its
// memory is over the limit.
func sameAgain(o *options, log *record) error {
	ran := &runs{}
	b, err := newBox(o, log, "n1", shortWork, ran)
	if err != nil {
		return err
	}
	defer b.close()
	b.memoryMB, b.sockets = smallMemoryMB, smallSockets
	b.pool.quiet = true
	if err := errors.Join(b.writeConfig(), os.WriteFile(b.operatorPath, nil, 0o600), b.start()); err != nil {
		return err
	}
	if err := until(20*time.Second, b.up); err != nil {
		return fmt.Errorf("the server does not come up: %w", err)
	}
	var all sync.WaitGroup
	var over atomic.Bool
	end := time.Now().Add(calmTime + badTime)
	ours, bad := &tally{}, &tally{}
	all.Go(func() {
		for n := 0; time.Now().Before(end) && !over.Load(); n++ {
			all.Go(func() { ours.add(sendQuietly(bigWrite("usual", n), b)) })
			time.Sleep(time.Second / ourRate)
		}
	})
	if o.causes("bad") {
		time.AfterFunc(calmTime, func() { log.note("%d bad clients come", badClients) })
		for i := range badClients {
			all.Go(func() {
				time.Sleep(calmTime)
				for n := 0; time.Now().Before(end) && !over.Load(); n++ {
					w := bigWrite(fmt.Sprintf("bad %d", i), n)
					for time.Now().Before(end) && !over.Load() {
						end := sendQuietly(w, b)
						bad.add(end)
						if end != "refused" {
							break
						}
					}
				}
			})
		}
	}
	peak := 0
	for n := 0; time.Now().Before(end) && !over.Load(); n++ {
		kb := anonymousKB(b.cmd.Process.Pid)
		peak = max(peak, kb)
		if n%20 == 0 {
			log.note("memory %d KB of %d KB; the usual balancer: %s; bad clients: %s", kb, smallMemoryMB<<10, ours, bad)
		}
		if kb > smallMemoryMB<<10 {
			log.note("memory %d KB is over the limit of %d KB: the platform kills the process", kb, smallMemoryMB<<10)
			over.Store(true)
			b.kill()
		}
		time.Sleep(watchInterval)
	}
	all.Wait()
	log.note("END: memory at most %d KB of %d KB; the usual balancer: %s; bad clients: %s", peak, smallMemoryMB<<10, ours, bad)
	if over.Load() {
		return fmt.Errorf("%w: the app server was killed for memory, %d KB of %d KB", errBroken, peak, smallMemoryMB<<10)
	}
	return nil
}

// bigWrite makes a keyed request with a body of bodySize.
func bigWrite(name string, n int) *write {
	w := newWrite(name, n)
	w.body += strings.Repeat(".", bodySize-len(w.body))
	return w
}

// sendQuietly makes one try, without a line in the record.
func sendQuietly(w *write, b *box) string {
	end, _ := send(w, b.listen, fmt.Sprintf("%016x", rand.Uint64()), giveUp)
	return end
}

// tally counts how tries ended.
type tally struct {
	mu sync.Mutex
	by map[string]int
}

func (t *tally) add(end string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.by == nil {
		t.by = map[string]int{}
	}
	t.by[end]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.by)
}
