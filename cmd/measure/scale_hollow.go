package main

import (
	"os"
	"os/signal"
	"syscall"

	"larchscale/internal/measure/hollow"
)

// scaleHollowCmd runs hollow servers for the measurement that started it.
type scaleHollowCmd struct{}

// Run serves the parent until its end. An interrupt is the parent's to handle.
func (scaleHollowCmd) Run() error {
	signal.Ignore(os.Interrupt, syscall.SIGTERM)
	return hollow.Serve(os.Stdin, os.Stdout)
}
