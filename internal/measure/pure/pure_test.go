package pure

import (
	"testing"

	"larchscale/internal/fleet/maintenance"
)

func TestMeasure(t *testing.T) {
	c, err := Measure(30)
	if err != nil {
		t.Fatal(err)
	}
	if c.Look <= 0 || c.Arrange <= 0 || c.Named < 0 || c.Digest <= 0 || c.SnapshotBytes < 30*len("server0001") {
		t.Errorf("%+v", c)
	}
	if err := Admitted(maintenance.MaxBoxes); err != nil {
		t.Error(err)
	}
	if Admitted(maintenance.MaxBoxes+1) == nil {
		t.Error("more than the most were admitted")
	}
}
