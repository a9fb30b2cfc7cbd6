package main

import "context"

// events has events happen to a fleet.
func (c *scaleSessionsCmd) events(context.Context, *report) error { return nil }
