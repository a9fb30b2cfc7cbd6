package capacity

import (
	"errors"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
)

// The committed page is what its data and this code give: a figure that is written by hand, or left behind, fails here.
func TestCommittedPage(t *testing.T) {
	recording, err := ReadRecording("../../docs/capacity.json")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	generated, err := Generate(string(page), recording)
	if err != nil {
		t.Fatal(err)
	}
	if generated == string(page) {
		return
	}
	was, now := strings.Split(string(page), "\n"), strings.Split(generated, "\n")
	for i := range was {
		if i >= len(now) || was[i] != now[i] {
			t.Fatalf("docs/CAPACITY.md line %d differs from docs/capacity.json (make capacity rewrites it):\n%s", i+1, was[i])
		}
	}
	t.Fatal("docs/CAPACITY.md differs from docs/capacity.json: make capacity rewrites it")
}

// The order in which the page's prose lists what growth meets is that of the walls.
func TestOrderOfWallsInWords(t *testing.T) {
	recording, err := ReadRecording("../../docs/capacity.json")
	if err != nil {
		t.Fatal(err)
	}
	walls, err := Walls(Rows(recording), Bounds(), recording, Target())
	if err != nil {
		t.Fatal(err)
	}
	order := [][]string{
		{"learner.follower.bytes", "learner.leader.bytes", "learner.follower.cpu", "learner.leader.cpu"},
		{"counted.peers.bytes", "ledger.server.cpu.asked"},
		{"counted.callers.all", "counted.mesh.descriptors"},
		{"ledger.MaxNames"},
		{"maintenance.MaxBoxes", "lease.MaxBoxes", "placement.MaxBoxes"},
		{"learner.leader.rss"},
		{"takeover.Shards"},
		{"counted.status.bytes"},
	}
	before := 0.0
	for _, group := range order {
		first := math.Inf(1)
		for _, w := range walls {
			if slices.ContainsFunc(group, func(name string) bool { return strings.HasPrefix(w.What, "`"+name) }) {
				first = min(first, w.Servers)
			}
		}
		if math.IsInf(first, 1) || first < before {
			t.Errorf("%v is met at %g servers, after what is met at %g: reorder the list of docs/CAPACITY.md", group, first, before)
		}
		before = first
	}
}

// Every figure that a suspect rests on is one that the page has or waits for.
func TestSuspectsNameRows(t *testing.T) {
	rows := Rows(&Recording{})
	for _, s := range Suspects() {
		if s.Verdict == "" && len(s.Rows) == 0 {
			t.Errorf("%s: neither a verdict nor figures", s.Text)
		}
		for _, id := range s.Rows {
			if _, err := findRow(rows, id); err != nil {
				t.Errorf("%s: %v", s.Text, err)
			}
		}
	}
}

func TestVerdictFollowsTheFigures(t *testing.T) {
	suspect := Suspect{Text: "x", Rows: []string{"learner.server.bytes"}}
	for value, want := range map[float64]Verdict{5000: Confirmed, 2000: RuledOut} {
		recording := recorded(t, Measurement{Name: "learner.server.bytes", Unit: "bytes/s", SizeUnit: "servers", Points: points(740, value)})
		if got, _, err := judge(suspect, Rows(recording), recording, Target()); got != want || err != nil {
			t.Errorf("%g: %s, %v", value, got, err)
		}
	}
	if got, _, err := judge(suspect, Rows(&Recording{}), &Recording{}, Target()); got != Unmeasured || err != nil {
		t.Error(got, err)
	}
}

// What is not measured yet might confirm the suspect.
func TestNothingIsRuledOutByHalfOfTheFigures(t *testing.T) {
	suspect := Suspect{Text: "x", Rows: []string{"learner.server.bytes", "learner.leases.server.bytes"}}
	recording := recorded(t, Measurement{Name: "learner.server.bytes", Unit: "bytes/s", SizeUnit: "servers", Points: points(740, 2000)})
	if got, _, err := judge(suspect, Rows(recording), recording, Target()); got != Unmeasured || err != nil {
		t.Error(got, err)
	}
}

func TestReplaceSection(t *testing.T) {
	page := "a\n<!-- capacity:x begin -->\nold\n<!-- capacity:x end -->\nb\n"
	got, err := replaceSection(page, "x", "new\n")
	if want := "a\n<!-- capacity:x begin -->\nnew\n<!-- capacity:x end -->\nb\n"; got != want || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	for _, bad := range []string{"", page + page, "<!-- capacity:x end -->\n<!-- capacity:x begin -->\n"} {
		if _, err := replaceSection(bad, "x", ""); !errors.Is(err, ErrPage) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
