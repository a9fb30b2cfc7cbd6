package capacity

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func recorded(t *testing.T, measurements ...Measurement) *Recording {
	t.Helper()
	r := &Recording{}
	for _, m := range measurements {
		m.Command = "bin/measure test"
		if err := r.Put(m); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

func rowOf(t *testing.T, recording *Recording, id string) *Row {
	t.Helper()
	row, err := findRow(Rows(recording), id)
	if err != nil {
		t.Fatal(err)
	}
	return row
}

func cellOf(t *testing.T, recording *Recording, id string, size Size) Cell {
	t.Helper()
	cell, err := rowOf(t, recording, id).Cell(recording, size)
	if err != nil {
		t.Fatal(err)
	}
	return cell
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Abs(b) }

func TestCellOfAFit(t *testing.T) {
	recording := recorded(t, Measurement{Name: "learner.leader.cpu", Unit: "cores", SizeUnit: "servers",
		Points: points(50, 0.005, 100, 0.01, 200, 0.02, 300, 0.03)})
	cell := cellOf(t, recording, "learner.leader.cpu", Target())
	if cell.Provenance != Fitted || !near(cell.Value, 7.4) || !cell.Beyond {
		t.Errorf("%+v", cell)
	}
	row := rowOf(t, recording, "learner.leader.cpu")
	if share, ok := cell.Share(row.Budget); !ok || !near(share, 7.4/1.3) {
		t.Errorf("share %g, %v", share, ok)
	}
}

func TestCellWithoutAFitKeepsTheMeasuredSize(t *testing.T) {
	recording := recorded(t, Measurement{Name: "learner.server.bytes", Unit: "bytes/s", SizeUnit: "servers", Points: points(100, 3000, 300, 3500)})
	cell := cellOf(t, recording, "learner.server.bytes", Target())
	if cell.Provenance != Measured || cell.PointSize != 300 || cell.AtSize {
		t.Errorf("%+v", cell)
	}
	if _, ok := cell.Share(rowOf(t, recording, "learner.server.bytes").Budget); ok {
		t.Error("a value at 300 servers has a share at 740")
	}
	if text := formatCell(cell, "KB/s"); text != "(3.42 KB/s at 300 servers)" {
		t.Error(text)
	}
}

func TestCellOfEachRequest(t *testing.T) {
	recording := recorded(t, Measurement{Name: "path.cpu.request", Unit: "us", SizeUnit: "requests/s", Points: points(108, 500)})
	cell := cellOf(t, recording, "path.cpu.request", Target())
	if want := 500e-6 * 80_000 / 740 * 100; !near(cell.Value, want) || cell.Provenance != Measured || !cell.AtSize {
		t.Errorf("%+v, want %g", cell, want)
	}
}

// A measurement on a machine that is too busy for its budget decides nothing.
func TestUnsteadyPointsDecideNothing(t *testing.T) {
	bare := Measurement{Name: "path.bare.p99", Unit: "ms", SizeUnit: "requests/s", Points: []Point{{Size: 108, Value: 120, Runs: 3}}}
	quiet := bare
	quiet.Points = []Point{{Size: 108, Value: 0.5, Runs: 3}}
	for name, c := range map[string]struct {
		point  Point
		bare   Measurement
		decide bool
	}{
		"steady":     {Point{Size: 108, Value: 1, Spread: 0.1, Runs: 3}, quiet, true},
		"spread":     {Point{Size: 108, Value: 1, Spread: 0.6, Runs: 3}, quiet, false},
		"below zero": {Point{Size: 108, Value: -1, Runs: 3}, quiet, false},
		"floor":      {Point{Size: 108, Value: 1, Spread: 0.1, Runs: 3}, bare, false},
	} {
		recording := recorded(t, c.bare, Measurement{Name: "path.added.p99", Unit: "ms", SizeUnit: "requests/s", Points: []Point{c.point}})
		row := rowOf(t, recording, "path.added.p99")
		if _, ok := cellOf(t, recording, "path.added.p99", Target()).Share(row.Budget); ok != c.decide {
			t.Errorf("%s: decides %v", name, ok)
		}
	}
}

func TestCellNotMeasured(t *testing.T) {
	cell := cellOf(t, &Recording{}, "session.leader.cpu", Target())
	if cell.Provenance != NotMeasured || formatCell(cell, "x") != "not measured" {
		t.Errorf("%+v", cell)
	}
}

func TestCellRefusesUnits(t *testing.T) {
	recording := recorded(t, Measurement{Name: "a.b", Unit: "bytes", Points: points(1, 1)})
	row := Row{ID: "a.b", Measurement: "a.b", Unit: "s"}
	if _, err := row.Cell(recording, Target()); !errors.Is(err, ErrUnit) {
		t.Error(err)
	}
}

// A measurement that nobody named beforehand has a row under its role.
func TestRowsTakeUnknownNames(t *testing.T) {
	for name, role := range map[string]Role{"session.leader.watches": Leader, "path.cpu.connect": RequestPath, "pathbefore.added.p99": Superseded,
		"learner.shared.rss": ServerControl, "learner.leases.follower.cpu": Follower, "session.zone.return": Fleet, "caller.retries": Caller} {
		recording := recorded(t, Measurement{Name: name, Unit: "us", SizeUnit: "servers", Points: points(740, 1)})
		row := rowOf(t, recording, name)
		if row.Role != role {
			t.Errorf("%s: role %s, want %s", name, row.Role, role)
		}
		if _, err := Tables(recording); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestRowsAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, row := range Rows(&Recording{}) {
		if seen[row.ID] || row.Role == "" || row.Aspect == "" || row.Quantity == "" {
			t.Errorf("%+v", row)
		}
		seen[row.ID] = true
	}
}

func TestWallOfAFit(t *testing.T) {
	recording := recorded(t, Measurement{Name: "learner.leader.cpu", Unit: "cores", SizeUnit: "servers",
		Points: points(50, 0.005, 100, 0.01, 200, 0.02)})
	wall, ok, err := RowWall(rowOf(t, recording, "learner.leader.cpu"), recording, Target())
	if err != nil || !ok || math.Abs(wall.Servers-130) > 0.01 {
		t.Errorf("%+v, %v, %v", wall, ok, err)
	}
}

func TestWallOfMeasuredPoints(t *testing.T) {
	recording := recorded(t, Measurement{Name: "learner.leader.cpu", Unit: "cores", SizeUnit: "servers", Points: points(50, 0.005, 200, 0.02)})
	wall, ok, err := RowWall(rowOf(t, recording, "learner.leader.cpu"), recording, Target())
	if err != nil || !ok || wall.Servers != 200 || !strings.HasPrefix(wall.How, "at most") {
		t.Errorf("%+v, %v, %v", wall, ok, err)
	}
}

func TestWallThatIsNotMet(t *testing.T) {
	recording := recorded(t, Measurement{Name: "session.server.cpu", Unit: "cores", SizeUnit: "servers", Points: points(50, 0.001, 100, 0.001, 740, 0.001)})
	if wall, ok, err := RowWall(rowOf(t, recording, "session.server.cpu"), recording, Target()); ok || err != nil {
		t.Errorf("%+v, %v", wall, err)
	}
}

func TestWallsAreOrdered(t *testing.T) {
	walls, err := Walls(Rows(&Recording{}), Bounds(), &Recording{}, Target())
	if err != nil || len(walls) < len(Bounds()) {
		t.Fatal(walls, err)
	}
	for i := range walls[1:] {
		if walls[i].Servers > walls[i+1].Servers {
			t.Errorf("%g before %g", walls[i].Servers, walls[i+1].Servers)
		}
	}
}

func TestFormatNumber(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 5: "5", 148: "148", 1.234: "1.23", 0.0123: "0.0123", 1234567: "1,234,567", -1234: "-1,234", 12.345: "12.3", 0.00001: "1.00e-05", 999.6: "1,000"} {
		if got := formatNumber(value); got != want {
			t.Errorf("%g: %s, want %s", value, got, want)
		}
	}
}
