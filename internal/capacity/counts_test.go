package capacity

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"testing"

	"larchscale/control"
	"larchscale/internal/config"
	"larchscale/internal/core"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/ledger"
	"larchscale/internal/link"
)

// The bound of link is not exported: its Check tells it.
func TestLinkServers(t *testing.T) {
	for n, allowed := range map[int]bool{linkServers: true, linkServers + 1: false} {
		options := link.Options{Listen: "127.0.0.1:1"}
		for i := range n {
			options.Servers = append(options.Servers, fmt.Sprintf("server-%d=127.0.0.1:2", i))
		}
		if err := options.Check("x"); (err == nil) != allowed {
			t.Errorf("%d other servers: %v", n, err)
		}
	}
}

// What config sets for a server that has takeover and kept replies.
func TestMeshConnections(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	text := `[ledger.peers]
listen = "127.0.0.1:1"
[fleet]
dir = "x"
zone = "z"
take_over = true
[kept]
bytes = 1048576
[kept.classes]
fare = 1000
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	site := core.Config{Classes: []string{"fare"}, Control: control.Config{Classes: make([]control.Class, 1)}}
	platform := config.Config{Listen: "127.0.0.1:3", Site: site, Limits: config.Limits{MemoryMB: 64, Sockets: 512}}
	operator, err := config.LoadOperator(path, &platform)
	if err != nil {
		t.Fatal(err)
	}
	if got := operator.Ledger.Peers.ConnsPerServer; got != meshConnections {
		t.Errorf("%d connections to each other server, counted with %d", got, meshConnections)
	}
}

func TestVoters(t *testing.T) {
	if got := driver.Defaults().Voters; got != voters {
		t.Errorf("%d voters, counted with %d", got, voters)
	}
}

// Constants that the counts repeat, as they are not exported.
func TestConstantsOfOtherPackages(t *testing.T) {
	for _, c := range []struct{ file, name, value string }{
		{"../fleet/driver/driver.go", "reportEach", "10"},    // ticks of 100 ms: reportsPerSecond
		{"../fleet/consensus/node.go", "learnerTicks", "10"}, // the same: learnerHeartbeatsPerSecond
	} {
		if got := constant(t, c.file, c.name); got != c.value {
			t.Errorf("%s %s is %s, counted with %s", c.file, c.name, got, c.value)
		}
	}
}

// constant returns the literal of a constant of a source file.
func constant(t *testing.T, path, name string) string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	value := ""
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if ok && len(spec.Values) == 1 && spec.Names[0].Name == name {
			if literal, ok := spec.Values[0].(*ast.BasicLit); ok {
				value = literal.Value
			}
		}
		return true
	})
	return value
}

func TestCounts(t *testing.T) {
	target := Target()
	for name, c := range map[string]struct{ got, want float64 }{
		"mesh":        {meshDescriptors(target), 1 + 4*739 + 8 + 3*739},
		"fleet":       {fleetDescriptors(target), 1 + 2*739 + 8 + 739},
		"peers":       {peerRequests(target), 73.9},
		"answer":      {peerAnswerBytes(target), float64(740 * 25 * (len(ledger.EncodeDigests(make([]ledger.Digest, 2))) - len(ledger.EncodeDigests(make([]ledger.Digest, 1))) + 11 + 8 + 4 + 8 + 8))},
		"leader":      {leaderMessages(target), 3 * 739},
		"admissions":  {admissions(target), 740 * 739 / 2},
		"connections": {callerConnections(target), 7700 * 8 / 740.0},
		"imbalance":   {shardImbalance(target), 2 * 740 / 1024.0},
	} {
		if !near(c.got, c.want) {
			t.Errorf("%s: %g, want %g", name, c.got, c.want)
		}
	}
}
