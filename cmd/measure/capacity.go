package main

import (
	"errors"
	"fmt"
	"os"

	"larchscale/internal/capacity"
)

type capacityCmd struct {
	Data  string `default:"docs/capacity.json" help:"Recorded measurements."`
	Page  string `default:"docs/CAPACITY.md" help:"Page whose generated tables are rewritten."`
	Check bool   `help:"Rewrite nothing; fail when a table differs from the data."`
}

// errDiffers is a page that is not what its data give.
var errDiffers = errors.New("the tables differ from the data: run measure capacity")

// Run rewrites the generated tables of the page.
func (c capacityCmd) Run() error {
	recording, err := capacity.ReadRecording(c.Data)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	generated, err := capacity.Generate(string(page), recording)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", c.Page, err)
	case generated == string(page):
		return nil
	case c.Check:
		return fmt.Errorf("%s: %w", c.Page, errDiffers)
	}
	return os.WriteFile(c.Page, []byte(generated), 0o644)
}
