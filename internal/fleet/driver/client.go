package driver

import (
	"context"
	"encoding/json"
	"errors"

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
