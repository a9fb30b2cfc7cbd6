package driver

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"slices"
	"time"

	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/link"
)

// FetchStatus asks a server for its status.
func FetchStatus(ctx context.Context, c *link.Client) (s Status, err error) {
	body, err := c.Get(ctx, "/fleet/state", nil)
	if err == nil {
		err = json.Unmarshal(body, &s)
	}
	return s, err
}

// FetchModuleStatus asks a server for the status of a module, and decodes it into s.
func FetchModuleStatus(ctx context.Context, c *link.Client, module string, s any) error {
	body, err := c.Get(ctx, "/fleet/state", url.Values{"part": {module}})
	if err == nil {
		err = json.Unmarshal(body, s)
	}
	return err
}

// FetchItem asks a server for one item of a module's state, and decodes it into s; false = there is none.
func FetchItem(ctx context.Context, c *link.Client, module, key string, s any) (found bool, err error) {
	body, err := c.Get(ctx, "/fleet/state", url.Values{"part": {module}, "key": {key}})
	if errors.Is(err, link.ErrNotFound) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(body, s)
	}
	return err == nil, err
}

// SendCommand sends a command of an operator to a server. It returns the command's error, or that the server did not
// answer.
func SendCommand(ctx context.Context, c *link.Client, command Command) error {
	request, err := json.Marshal(command)
	if err != nil {
		return err
	}
	body, err := c.Post(ctx, "/fleet/command", request)
	if err != nil {
		return err
	}
	var answer CommandResult
	if err := json.Unmarshal(body, &answer); err != nil {
		return err
	}
	if answer.Error != "" {
		return errors.New(answer.Error)
	}
	return nil
}

// PredictPlan predicts what a plan would lead to if it were proposed now: the order of its servers, and what its first
// grant would wait for, as far as the reports in the status tell. Nothing is changed.
func PredictPlan(status Status, plan maintenance.Plan, now time.Time) (outcome struct {
	Order []maintenance.OrderItem
	Waits []maintenance.Wait
}, err error) {
	work := status.State.Clone()
	if err := work.Apply(status.Index+1, &maintenance.Entry{Kind: maintenance.Propose, Plan: plan}); err != nil {
		return outcome, err
	}
	view := maintenance.View{Now: now.UnixMilli(), Self: status.Leader, SilentAfter: int64(status.SilentMs), Reports: status.Reports}
	for range 2 { // the first round arranges the order, the second one grants
		next := maintenance.Next(&work, view)
		outcome.Waits = slices.DeleteFunc(next.Waits, func(w maintenance.Wait) bool { return w.Plan != plan.ID })
		for i := range next.Entries {
			if e := &next.Entries[i]; e.Kind == maintenance.Arrange && e.Plan.ID == plan.ID {
				outcome.Order = e.Order
				if err := work.Apply(work.Index+1, e); err != nil {
					return outcome, err
				}
			}
		}
	}
	return outcome, nil
}
