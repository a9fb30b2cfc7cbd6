package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are the channels of the signals that the program answers, by what they ask for. Each has room for one, which
// is enough: no number of SIGHUPs takes the place of a SIGTERM.
type signals struct{ leave, reload chan os.Signal }

// catchSignals keeps the signals that the program answers from ending it by their default action, up to the very end:
// one may arrive after run has released its own channels, and the exit code must still tell how run ended. SIGPIPE is
// ignored: the end of whoever reads the log must not end the program.
func catchSignals() {
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
}

// notifySignals returns the channels on which the signals arrive from now on.
func notifySignals() signals {
	s := signals{leave: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// stop ends the delivery of signals to the channels.
func (s signals) stop() {
	signal.Stop(s.reload)
	signal.Stop(s.leave)
}
