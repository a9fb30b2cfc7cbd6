package hollow

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"larchscale/internal/measure/traffic"
	"larchscale/internal/measure/worker"
)

// The methods of a worker that runs hollow servers.
const (
	methodListen   = "listen"
	methodStart    = "start"
	methodFound    = "found"
	methodStanding = "standing"
	methodDigests  = "digests"
	methodTraffic  = "traffic"
	methodCheck    = "check"
	methodCommit   = "commit"
)

// Begin has servers take part in the fleet.
type Begin struct {
	Addresses map[string]string // of all servers, by name
	Doors     []string          // servers that are asked to let others in
}

// Commits ask for entries that change nothing, at a rate.
type Commits struct {
	Count int
	Every time.Duration
}

// Digest is what a server holds. Its index is that of the last entry of plans and members; entries of leases and placement
// do not raise it.
type Digest struct{ Index, Sum uint64 }

// Digests are what the servers of a worker hold.
type Digests struct {
	Digests  []Digest // those that differ
	Unspoken int      // servers whose process the log does not know, as the first server sees it
}

// host runs the servers of one worker.
type host struct {
	counter *traffic.Counter
	servers []*Server
}

// Serve runs hollow servers for a parent process until its input ends.
func Serve(input io.Reader, output io.Writer) error {
	h := &host{counter: traffic.NewCounter()}
	defer h.stop()
	return worker.Serve(input, output, map[string]worker.Method{
		methodListen:   worker.Typed(h.listen),
		methodStart:    worker.Typed(h.start),
		methodFound:    worker.Typed(func(struct{}) (struct{}, error) { return struct{}{}, h.servers[0].Found() }),
		methodStanding: worker.Typed(func(struct{}) (Standing, error) { return h.standing(), nil }),
		methodDigests:  worker.Typed(func(struct{}) (Digests, error) { return h.digests() }),
		methodTraffic:  worker.Typed(func(struct{}) (traffic.Totals, error) { return h.counter.Totals(), nil }),
		methodCheck:    worker.Typed(func(struct{}) (traffic.KernelCheck, error) { return h.counter.Check() }),
		methodCommit:   worker.Typed(h.commit),
	})
}

func (h *host) stop() {
	var all sync.WaitGroup
	for _, s := range h.servers {
		all.Go(s.Stop)
	}
	all.Wait()
}

// listen opens the ports of all servers and gives their addresses by name.
func (h *host) listen(configs []Config) (map[string]string, error) {
	if len(configs) == 0 || len(configs) > MaxPerProcess {
		return nil, fmt.Errorf("%d servers, 1 to %d can be", len(configs), MaxPerProcess)
	}
	addresses := map[string]string{}
	for _, config := range configs {
		s, err := Listen(config, h.counter)
		if err != nil {
			return nil, err
		}
		h.servers = append(h.servers, s)
		addresses[config.Name] = s.Address()
	}
	return addresses, nil
}

func (h *host) start(start Begin) (struct{}, error) {
	for _, s := range h.servers {
		if err := s.Start(start.Addresses, start.Doors); err != nil {
			return struct{}{}, err
		}
	}
	return struct{}{}, nil
}

func (h *host) standing() (out Standing) {
	for _, s := range h.servers {
		out = out.Join(s.standing())
	}
	return out
}

func (h *host) digests() (out Digests, err error) {
	seen := map[Digest]bool{}
	for i, s := range h.servers {
		status, err := s.Status()
		if err != nil {
			return out, err
		}
		digest := Digest{status.Index, status.Digest}
		if !seen[digest] {
			seen[digest] = true
			out.Digests = append(out.Digests, digest)
		}
		for _, box := range status.Boxes {
			if i == 0 && box.Incarnation == 0 {
				out.Unspoken++
			}
		}
	}
	return out, nil
}

// commit has the first server ask for entries, and waits until all are committed.
func (h *host) commit(c Commits) (struct{}, error) {
	errs := make([]error, c.Count)
	var all sync.WaitGroup
	clock := time.NewTicker(c.Every)
	defer clock.Stop()
	for i := range errs {
		<-clock.C
		all.Go(func() { errs[i] = h.servers[0].Commit() })
	}
	all.Wait()
	return struct{}{}, errors.Join(errs...)
}
