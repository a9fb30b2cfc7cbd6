package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/maintenance"
)

// sendReport reports on this server to all voters, as each of them may become the leader.
func (d *Driver) sendReport(ctx context.Context, now time.Time) {
	r := d.process.Report()
	r.Incarnation, r.Heard = d.incarnation, now.UnixMilli()
	d.reports[d.self.Name], d.lastReport = r, r
	data, err := cbor.Marshal(reportMessage{d.self.ID, r, d.moduleReports(now)})
	if err != nil {
		d.log.Error("fleet", "do", "report", "err", err)
		return
	}
	for _, m := range d.node.State().Members {
		if m.Voter && m.ID != d.self.ID {
			d.senderTo(ctx, m.ID).queueReport("/fleet/report", data)
		}
	}
}

// reportMessage is a report as it is sent.
type reportMessage struct {
	ID     uint64
	Report maintenance.Report
	Parts  map[string][]byte `cbor:",omitempty"` // of the modules, by name
}

// receiveReport records a report, with the time of this server's clock.
func (d *Driver) receiveReport(message reportMessage) error {
	m := d.node.State().Member(message.ID)
	if m == nil {
		return fmt.Errorf("a report of %x, which is no member: %w", message.ID, consensus.ErrMembership)
	}
	message.Report.Heard = time.Now().UnixMilli()
	d.reports[m.Name] = message.Report
	d.deliverReports(*m, message.Parts)
	return nil
}
