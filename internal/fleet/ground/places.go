package ground

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/boottime"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/place"
)

const (
	// missFor is how long a box that is lost stays home to its slices: one that is only started anew is back by then,
	// and nothing moves.
	missFor = 10 * time.Second
	// moveEach is how often the leader looks for slices to move.
	moveEach = time.Second
)

// places is the module that settles which box is home of what.
type places struct {
	*agree.Agreed[place.State, place.Entry, *place.State]
	ground *Ground
	leases *leases
	host   *driver.Host
	whole  map[string]wholes        // by box, as reported
	missed map[string]time.Duration // boxes that are lost, since when this leader knows
	looked time.Duration
	began  time.Duration // when this leader first thought of a placement; 0 = it did not
}

// wholes tells of which slices a box has all records, a bit each, under which life.
type wholes struct {
	Life uint64
	Bits []byte
}

// Begin implements driver.Module.
func (p *places) Begin(h *driver.Host) {
	p.host, p.whole, p.missed = h, map[string]wholes{}, map[string]time.Duration{}
}

// Apply implements agree.Part: each view comes in turn.
func (p *places) Apply(index uint64, entry []byte) error {
	err := p.Agreed.Apply(index, entry)
	p.ground.publish(p.leases, p, false)
	return err
}

// Applied implements driver.Module.
func (p *places) Applied(time.Time) {}

// Tick implements driver.Module.
func (p *places) Tick(time.Time) {
	if _, leads := p.host.Leads(); !leads {
		clear(p.missed)
		p.began = 0
	}
}

// Lead implements driver.Module.
func (p *places) Lead(at time.Time) {
	now := boottime.Now()
	if !p.leases.Began() || now-p.looked < moveEach || p.State.Homes == nil && !p.gathered(now) {
		return
	}
	p.looked = now
	p.whole[p.host.Self().Name] = p.mine()
	var boxes []place.Member
	for i := range p.leases.State.Boxes {
		b := &p.leases.State.Boxes[i]
		if !b.Lost {
			delete(p.missed, b.Name)
		} else if since, ok := p.missed[b.Name]; !ok {
			p.missed[b.Name] = now
		} else if now-since >= missFor {
			continue
		}
		boxes = append(boxes, place.Member{Name: b.Name, Zone: b.Zone, Weight: 1})
	}
	e, err := place.Next(&p.State, boxes, max(1, p.ground.opt.Moves), p.settled)
	if err != nil {
		p.host.Log().Error("fleet", "do", "place", "err", err)
		return
	}
	if e == nil {
		return
	}
	if p.host.Propose(*e, true) == nil {
		p.host.Log().Info("fleet", "do", "place", "changes", len(e.Changes), "why", e.Why)
	}
}

// gathered tells that the first placement may be made: every member knows the part and lives, or those that do not were
// waited for. Made earlier, it would be made again for each that comes.
func (p *places) gathered(now time.Duration) bool {
	if p.began == 0 {
		p.began = now
	}
	lives := 0
	for _, m := range p.host.Members() {
		if b := p.leases.State.Box(m.Name); b != nil && !b.Lost {
			lives++
		}
	}
	return p.host.Ready() && (lives == len(p.host.Members()) && now-p.began >= missFor/4 || now-p.began >= missFor)
}

// settled tells that all living homes of a slice have all its records.
func (p *places) settled(slice int) bool {
	first, second := p.State.Pair(slice)
	for _, name := range [2]string{first, second} {
		w := p.whole[name]
		if name != "" && !(p.leases.State.Lives(name, w.Life) && slice/8 < len(w.Bits) && w.Bits[slice/8]>>(slice%8)&1 == 1) {
			return false
		}
	}
	return true
}

// mine tells of which slices this box has all records.
func (p *places) mine() wholes {
	w := wholes{Life: p.leases.holder.Life(), Bits: make([]byte, place.Slices/8)}
	for i := range place.Slices {
		if p.ground.opt.Whole == nil || p.ground.opt.Whole(i) {
			w.Bits[i/8] |= 1 << (i % 8)
		}
	}
	return w
}

// Report implements driver.Module.
func (p *places) Report(time.Time) []byte {
	if !p.Began() {
		return nil
	}
	data, err := cbor.Marshal(p.mine())
	if err != nil {
		p.host.Log().Error("fleet", "do", "report", "err", err)
	}
	return data
}

// Heard implements driver.Module.
func (p *places) Heard(from agree.Member, report []byte, _ time.Time) {
	var w wholes
	if len(report) == 0 {
		return
	}
	if err := cbor.Unmarshal(report, &w); err != nil || len(w.Bits) != place.Slices/8 {
		p.host.Log().Debug("fleet", "do", "report", "from", from.Name, "bytes", len(report), "err", err)
		return
	}
	p.whole[from.Name] = w
}

// Read implements driver.Module.
func (p *places) Read(uint64, time.Time) {}

// Receive implements driver.Module: homes say nothing to each other here.
func (p *places) Receive(agree.Member, []byte, time.Time) {}

// End implements driver.Module.
func (p *places) End() {}

// Lines implements driver.Module.
func (p *places) Lines(time.Time) []byte {
	v := p.ground.View()
	if v == nil {
		return nil
	}
	homes, bare := 0, 0
	self := p.host.Self().Name
	for i := range place.Slices {
		first, second := v.Homes(i)
		if first == self || second == self {
			homes++
		}
		if second == "" {
			bare++
		}
	}
	return fmt.Appendf(nil, "fleet.epoch=%d\nfleet.homes=%d\nfleet.bare=%d\n", v.Epoch, homes, bare)
}
