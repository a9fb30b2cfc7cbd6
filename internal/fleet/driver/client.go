package driver

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"slices"
	"time"

	"larchscale/internal/fleet/takeout"
	"larchscale/internal/link"
)

// State asks a box how the fleet stands.
func State(ctx context.Context, c *link.Client) (s Status, err error) {
	text, err := c.Get(ctx, "/fleet/state", nil)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}

// Stands asks a box how a module's part stands, into s.
func Stands(ctx context.Context, c *link.Client, part string, s any) error {
	text, err := c.Get(ctx, "/fleet/state", url.Values{"part": {part}})
	if err == nil {
		err = json.Unmarshal(text, s)
	}
	return err
}

// Item asks a box for one item of a module's part, into s; false = there is none.
func Item(ctx context.Context, c *link.Client, part, key string, s any) (found bool, err error) {
	text, err := c.Get(ctx, "/fleet/state", url.Values{"part": {part}, "key": {key}})
	if errors.Is(err, link.ErrNotFound) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, s)
	}
	return err == nil, err
}

// Say gives a box an operator's word. An error tells what became of it, or that the box did not answer.
func Say(ctx context.Context, c *link.Client, w Word) error {
	body, err := json.Marshal(w)
	if err != nil {
		return err
	}
	text, err := c.Post(ctx, "/fleet/command", body)
	if err != nil {
		return err
	}
	var a Answer
	if err := json.Unmarshal(text, &a); err != nil {
		return err
	}
	if a.Error != "" {
		return errors.New(a.Error)
	}
	return nil
}

// Would tells what follows from a plan, were it asked for now: its order and what the first box would wait for, as
// far as the asked box's reports go. Nothing is changed.
func Would(s Status, p takeout.Plan, now time.Time) (d struct {
	Order []takeout.Place
	Waits []takeout.Wait
}, err error) {
	work := s.State.Clone()
	if err := work.Apply(s.Index+1, &takeout.Entry{Kind: takeout.Propose, Plan: p}); err != nil {
		return d, err
	}
	v := takeout.View{Now: now.UnixMilli(), Self: s.Leader, Silent: int64(s.SilentMs), Reports: s.Reports}
	for range 2 { // its order first, then the grant
		next := takeout.Next(&work, v)
		d.Waits = slices.DeleteFunc(next.Waits, func(w takeout.Wait) bool { return w.Plan != p.ID })
		for i := range next.Entries {
			if e := &next.Entries[i]; e.Kind == takeout.Arrange && e.Plan.ID == p.ID {
				d.Order = e.Order
				if err := work.Apply(work.Index+1, e); err != nil {
					return d, err
				}
			}
		}
	}
	return d, nil
}
