package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/takeout"
)

// report tells all voters how this box stands: the leader is one of them, and the next one too.
func (d *Driver) report(ctx context.Context, now time.Time) {
	r := d.body.Look()
	r.Incarnation, r.Heard = d.inc, now.UnixMilli()
	d.reports[d.self.Name], d.stood = r, r
	data, err := cbor.Marshal(said{d.self.ID, r, d.reportParts(now)})
	if err != nil {
		d.log.Error("fleet", "do", "report", "err", err)
		return
	}
	for _, m := range d.node.State().Members {
		if m.Voter && m.ID != d.self.ID {
			d.to(ctx, m.ID).tell("/fleet/report", data)
		}
	}
}

// said is a report as it is sent.
type said struct {
	ID     uint64
	Report takeout.Report
	Parts  map[string][]byte `cbor:",omitempty"` // of the modules, by their names
}

// take notes a report. Its time is this box's.
func (d *Driver) take(x said) error {
	m := d.node.State().Member(x.ID)
	if m == nil {
		return fmt.Errorf("a report of %x, which is no member: %w", x.ID, agree.ErrMember)
	}
	x.Report.Heard = time.Now().UnixMilli()
	d.reports[m.Name] = x.Report
	d.heardParts(*m, x.Parts)
	return nil
}
