package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"larchscale/internal/measure/pure"
)

type scaleStatesCmd struct {
	Sizes    []int  `default:"100,295,740,1480" help:"Servers of each state."`
	Repeats  int    `default:"3" help:"Readings of each."`
	JSON     string `name:"json" help:"File of recorded measurements that these are added to."`
	Revision string `help:"Of the program, as it is recorded."`
}

// Run times what the leader works out, and what is encoded, on states of each size.
func (c scaleStatesCmd) Run(r *report) error {
	slices.Sort(c.Sizes)
	series := newSeries()
	for _, servers := range c.Sizes {
		if err := pure.Admitted(servers); err != nil {
			progress("%d servers: the state is written down, as the rules do not admit it: %v", servers, err)
		}
		for range c.Repeats {
			costs, err := pure.Measure(servers)
			if err != nil {
				return fmt.Errorf("%d servers: %w", servers, err)
			}
			const note = "CPU of one call, without I/O"
			series.add("next.cpu", "µs", note+": takeout.Next, a plan in order", servers, 1e6*costs.Look.Seconds())
			series.add("next.arrange.cpu", "µs", note+": takeout.Next, a plan without an order", servers, 1e6*costs.Arrange.Seconds())
			series.add("named.cpu", "µs", note+": agree.State.Named, the last member", servers, 1e6*costs.Named.Seconds())
			series.add("digest.cpu", "µs", note+": agree.Node.Digest, a snapshot encoded and summed", servers, 1e6*costs.Digest.Seconds())
			series.add("snapshot.bytes", "bytes", "as raft sends it, members and plans alone", servers, float64(costs.SnapshotBytes))
		}
	}
	series.report(r)
	return recordSeries(c.JSON, "learner.", fmt.Sprintf("bin/measure scale states --sizes %s --repeats %d", joined(c.Sizes), c.Repeats), c.Revision, series)
}

func joined(numbers []int) string {
	text := make([]string, len(numbers))
	for i, n := range numbers {
		text[i] = strconv.Itoa(n)
	}
	return strings.Join(text, ",")
}
