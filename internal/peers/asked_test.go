package peers_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"larchscale/internal/capacity"
	"larchscale/internal/ledger"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/link"
	"larchscale/internal/peers"
	"larchscale/internal/scenario/certs"
)

var (
	recordingPath = flag.String("capacity", "", "recording that BenchmarkAsked puts its measurement into")
	revision      = flag.String("revision", "", "of the program, for the recording")
)

// stubLedger is a ledger that has digests of all servers of a fleet.
type stubLedger struct {
	digests []ledger.Digest
	states  [][]byte
}

func (k *stubLedger) PeriodStates(context.Context) ([]ledger.Digest, [][]byte, error) {
	return k.digests, k.states, nil
}

func newStubLedger(servers int) *stubLedger {
	known := &stubLedger{}
	for server := range servers {
		for period := range ledgerstore.Defaults().KeepPeriods + 1 {
			known.digests = append(known.digests, ledger.Digest{Box: fmt.Sprintf("server-%04d", server), Start: 1_790_000_000_000 + int64(period),
				Seq: 1_000_000, Closed: 1_790_000_000_000, Gone: 1_700_000_000_000})
		}
	}
	known.states = make([][]byte, len(known.digests))
	return known
}

// newAskingPeer starts two servers on loopback with mutual TLS and returns the one that asks the other.
func newAskingPeer(b *testing.B, servers int) *peers.Peers {
	b.Helper()
	dir, warnings := b.TempDir(), &bytes.Buffer{}
	log := slog.New(slog.NewTextHandler(warnings, &slog.HandlerOptions{Level: slog.LevelWarn}))
	ca, _, authority := certs.New(b, dir, "authority", nil)
	options := func(name string) peers.Options {
		cert, key, _ := certs.New(b, dir, name, authority)
		out := peers.Defaults()
		out.Options = link.Options{Listen: "127.0.0.1:0", CA: ca, Cert: cert, Key: key}
		return out
	}
	newLink := func(o peers.Options) *link.Link {
		l, err := link.New(o.Options, log)
		if err != nil {
			b.Fatal(err)
		}
		return l
	}
	asked := options("asked")
	asked.Servers = []string{"asking=127.0.0.1:1"}
	askedLink := newLink(asked)
	listener, err := askedLink.Listen()
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		askedLink.Serve(ctx, listener, peers.New(asked, "asked", newStubLedger(servers), askedLink, log))
	}()
	b.Cleanup(func() {
		cancel()
		<-ended
		if warnings.Len() > 0 {
			b.Errorf("a request failed: %s", warnings)
		}
	})
	asking := options("asking")
	asking.Servers = []string{"asked=" + listener.Addr().(*net.TCPAddr).String()}
	return peers.New(asking, "asking", newStubLedger(0), newLink(asking), log)
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAsked measures the processor time of one request for digests and its answer, both sides together, by the
// number of servers that the asked one knows. This is the cost to a server of each request that it makes and each
// that it answers.
func BenchmarkAsked(b *testing.B) {
	values := map[int][]float64{}
	for _, servers := range []int{0, 50, 100, 200, 400} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			asking := newAskingPeer(b, servers)
			ctx := context.Background()
			asking.AskAll(ctx)
			b.ResetTimer()
			before := processorTime(b)
			for range b.N {
				asking.AskAll(ctx)
			}
			each := float64((processorTime(b) - before).Nanoseconds()) / 1000 / float64(b.N)
			b.ReportMetric(each, "cpu-us/op")
			if b.N > 1 { // the first iteration of a benchmark is a single request
				values[servers] = append(values[servers], each)
			}
		})
	}
	record(b, values)
}

// record adds the measurement to the recording named by the flag.
func record(b *testing.B, values map[int][]float64) {
	b.Helper()
	if *recordingPath == "" {
		return
	}
	m := capacity.Measurement{Name: "ledger.server.cpu.asked", Unit: "us", SizeUnit: "servers", Revision: *revision, Cores: runtime.NumCPU(),
		Command: "go test -run '^$' -bench Asked -benchtime 100x -count 3 ./internal/peers -capacity FILE",
		Note:    "both sides of one request, mutual TLS on loopback; without the encoding of the asked server's own periods"}
	recording, err := capacity.ReadRecording(*recordingPath)
	if err != nil {
		b.Fatal(err)
	}
	for servers, of := range values {
		slices.Sort(of)
		m.Points = append(m.Points, capacity.Point{Size: float64(servers), Value: of[len(of)/2], Spread: of[len(of)-1] - of[0], Runs: len(of)})
	}
	slices.SortFunc(m.Points, func(a, b capacity.Point) int { return int(a.Size - b.Size) })
	if err := recording.Put(m); err != nil {
		b.Fatal(err)
	}
	if err := recording.Write(*recordingPath); err != nil {
		b.Fatal(err)
	}
}
