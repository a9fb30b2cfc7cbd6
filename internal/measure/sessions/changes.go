package sessions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
)

const (
	// putWithin is how long one node has to have a change agreed before another one is asked.
	putWithin = time.Second
	// inForceWithin is how long changes may take until they are in force everywhere, for the measurement to go on.
	inForceWithin = 60 * time.Second
	percentile99  = 99
)

// ErrChanges are changes that are not in force everywhere.
var ErrChanges = errors.New("changes are not in force everywhere")

// Put has a change agreed, at one node after the other. A change that is asked for again has no second effect.
func (f *Fleet) Put(ctx context.Context, key string, first int) error {
	data, err := json.Marshal(controlnode.Command{Key: key, Value: []byte("value of " + key), By: "measure"})
	if err != nil {
		return fmt.Errorf("change %s: %w", key, err)
	}
	word := driver.Command{Part: controlnode.ConfigurationPart, Data: data}
	for end := time.Now().Add(inForceWithin); ; first++ {
		node := f.Nodes[first%len(f.Nodes)]
		err := node.order(ctx, word, first/len(f.Nodes))
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(end):
			return fmt.Errorf("change %s at %s: %w", key, node.Name, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(lookEvery):
		}
	}
}

// order gives the node an operator's word on one of its connections.
func (n *Node) order(ctx context.Context, word driver.Command, connection int) error {
	ctx, cancel := context.WithTimeout(ctx, putWithin)
	defer cancel()
	return driver.SendCommand(ctx, n.operators[connection%len(n.operators)], word)
}

// Changes are how long changes took until they were in force at all hollow servers, from when they were asked for.
type Changes struct {
	times  []time.Duration
	agreed []time.Duration // until the node that was asked said that it is agreed
}

// Agreed99 is the 99th percentile of the times until changes were agreed.
func (c *Changes) Agreed99() time.Duration { return percentile(c.agreed) }

// Percentile99 is that of the changes.
func (c *Changes) Percentile99() time.Duration { return percentile(c.times) }

// percentile is the 99th of sorted times; 0 = there are none.
func percentile(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[(len(times)*percentile99-1)/100]
}

// Most is the time of the slowest change.
func (c *Changes) Most() time.Duration { return c.times[len(c.times)-1] }

// Median is the time of the change in the middle.
func (c *Changes) Median() time.Duration { return c.times[len(c.times)/2] }

// Change has documents change at a rate, and waits until all changes are in force at all servers. Each has a key of its
// own that begins with name.
func (f *Fleet) Change(ctx context.Context, name string, count int, every time.Duration) (*Changes, error) {
	asked := make([]time.Time, count)
	agreed := make([]time.Duration, count)
	errs := make([]error, count)
	var all sync.WaitGroup
	clock := time.NewTicker(every)
	defer clock.Stop()
	for i := range count {
		asked[i] = time.Now()
		all.Go(func() {
			errs[i] = f.Put(ctx, changeKey(name, i), i)
			agreed[i] = time.Since(asked[i])
		})
		if i < count-1 {
			select {
			case <-ctx.Done():
				all.Wait()
				return nil, ctx.Err()
			case <-clock.C:
			}
		}
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	times, err := f.inForce(ctx, name, asked)
	slices.Sort(times)
	slices.Sort(agreed)
	return &Changes{times, agreed}, err
}

func changeKey(name string, i int) string { return fmt.Sprintf("%s/%04d", name, i) }

// inForce waits until changes are in force at all hollow servers, and the real ones have told the leader so.
func (f *Fleet) inForce(ctx context.Context, name string, asked []time.Time) (times []time.Duration, err error) {
	var arrivals map[string]Arrival
	err = f.Await(ctx, inForceWithin, func() (bool, string) {
		var err error
		if arrivals, err = f.arrivals(); err != nil {
			return false, err.Error()
		}
		for i := range asked {
			if key := changeKey(name, i); arrivals[key].Servers != f.options.hollow() {
				return false, fmt.Sprintf("%s is in force at %d of %d hollow servers", key, arrivals[key].Servers, f.options.hollow())
			}
		}
		return f.Agreed()
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrChanges, err)
	}
	for i, at := range asked {
		times = append(times, arrivals[changeKey(name, i)].Last.Sub(at))
	}
	return times, nil
}

// arrivals are those of all hollow servers since the last record.
func (f *Fleet) arrivals() (map[string]Arrival, error) {
	list, err := each(f.workers, call[map[string]Arrival](methodArrivals))
	out := map[string]Arrival{}
	for _, of := range list {
		for key, arrival := range of {
			known := out[key]
			known.Servers += arrival.Servers
			if arrival.Last.After(known.Last) {
				known.Last = arrival.Last
			}
			out[key] = known
		}
	}
	return out, err
}

// Agreed tells that all control nodes have the same documents, and that all servers told the leader that they have the
// newest in force.
func (f *Fleet) Agreed() (bool, string) {
	statuses, err := each(f.Nodes, (*Node).Sessions)
	if err != nil {
		return false, err.Error()
	}
	leads := false
	for i := range statuses {
		s := &statuses[i]
		if s.Digest != statuses[0].Digest {
			return false, fmt.Sprintf("%s and %s have different documents", s.Node, statuses[0].Node)
		}
		if s.Leads && s.Servers == f.options.Servers && s.Behind == 0 {
			leads = true
		}
	}
	return leads, "no leader has heard that all servers have the newest documents in force"
}
