package route_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"larchscale/client/route"
	"larchscale/internal/capacity"
)

var (
	recordTo = flag.String("capacity", "", "recording that BenchmarkMembers puts its measurements into")
	revision = flag.String("revision", "", "of the program, for the recording")
)

func membersOf(n int) []route.Member {
	members := make([]route.Member, n)
	for i := range members {
		members[i] = route.Member{Name: fmt.Sprintf("server-%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:4567", i/250, i%250)}
	}
	return members
}

// BenchmarkMembers measures a caller's table by the servers that it knows: its memory, a new list of one server less,
// and the choice of a server.
func BenchmarkMembers(b *testing.B) {
	series := map[string]map[int][]float64{"caller.heap": {}, "caller.list.time": {}, "caller.pick.time": {}}
	for _, servers := range []int{100, 200, 400, 740, 1000} {
		b.Run(fmt.Sprintf("heap/%d", servers), func(b *testing.B) {
			each := heapOfTable(servers) // once, whatever b.N is
			b.ReportMetric(each, "heap-B")
			if b.N > 1 {
				series["caller.heap"][servers] = append(series["caller.heap"][servers], each)
			}
		})
		b.Run(fmt.Sprintf("list/%d", servers), func(b *testing.B) {
			table, lists := tableOf(servers), [2][]route.Member{membersOf(servers), membersOf(servers - 1)}
			b.ResetTimer()
			for i := range b.N {
				table.Set(lists[1-i%2], time.Duration(i)*time.Second)
			}
			keep(b, series["caller.list.time"], servers)
		})
		b.Run(fmt.Sprintf("pick/%d", servers), func(b *testing.B) {
			table, random := tableOf(servers), rand.New(rand.NewPCG(1, 1))
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i) * time.Millisecond
				member, ok, _ := table.Pick(route.Ask{}, now, random)
				if !ok {
					b.Fatal("no server")
				}
				table.Ended(member.Name, route.End{}, now)
			}
			keep(b, series["caller.pick.time"], servers)
		})
	}
	record(b, series)
}

// keep notes the time of an operation in microseconds; the first try of a benchmark, of one operation, is left out.
func keep(b *testing.B, of map[int][]float64, servers int) {
	if b.N > 1 {
		of[servers] = append(of[servers], float64(b.Elapsed().Nanoseconds())/1000/float64(b.N))
	}
}

func tableOf(servers int) *route.Table {
	table := route.New(route.Defaults(), "caller")
	table.Set(membersOf(servers), 0)
	return table
}

// heapOfTable is the live bytes of one table, the mean of many.
func heapOfTable(servers int) float64 {
	const tables = 64
	members := membersOf(servers)
	kept := make([]*route.Table, tables)
	before := liveHeap()
	for i := range kept {
		kept[i] = route.New(route.Defaults(), "caller")
		kept[i].Set(members, 0)
	}
	after := liveHeap()
	runtime.KeepAlive(kept)
	runtime.KeepAlive(members)
	return float64(after-before) / tables
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// record puts the measurements into the recording of the flag.
func record(b *testing.B, series map[string]map[int][]float64) {
	b.Helper()
	if *recordTo == "" {
		return
	}
	recording, err := capacity.ReadRecording(*recordTo)
	if err != nil {
		b.Fatal(err)
	}
	units := map[string]string{"caller.heap": "bytes", "caller.list.time": "us", "caller.pick.time": "us"}
	notes := map[string]string{"caller.heap": "live heap of one table, without connections", "caller.list.time": "a new list, one server more or less", "caller.pick.time": "a choice and its end"}
	for name, values := range series {
		m := capacity.Measurement{Name: name, Unit: units[name], SizeUnit: "servers", Revision: *revision, Cores: runtime.NumCPU(), Note: notes[name],
			Command: "go test -run '^$' -bench Members -benchtime 200x -count 3 ./client/route -capacity FILE"}
		for servers, of := range values {
			slices.Sort(of)
			m.Points = append(m.Points, capacity.Point{Size: float64(servers), Value: of[len(of)/2], Spread: of[len(of)-1] - of[0], Runs: len(of)})
		}
		slices.SortFunc(m.Points, func(a, b capacity.Point) int { return int(a.Size - b.Size) })
		if err := recording.Put(m); err != nil {
			b.Fatal(err)
		}
	}
	if err := recording.Write(*recordTo); err != nil {
		b.Fatal(err)
	}
}
