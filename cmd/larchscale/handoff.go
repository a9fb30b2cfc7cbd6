package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/handoff"
	"larchscale/internal/sock"
)

// claimStartFile marks this process as the newest of its server. It comes before the address is bound: once it is, an
// older process finds this one. If the rest of the start fails, the lock on the file ends with this process.
func (s *server) claimStartFile() {
	file, err := handoff.Claim(filepath.Join(os.TempDir(), handoff.FileName(s.config.Name)))
	if err != nil {
		s.log.Warn("start file", "do", "claim", "err", err)
	}
	s.startFile = file
	s.onClose(file.Close)
}

// awaitLeave waits for the first signal to leave, which decides how this process ends.
func (s *server) awaitLeave() {
	<-s.signals.leave
	if s.experiments != nil {
		s.experiments.Leave()
	}
	s.leave()
}

// leave hands off to the newer process of this server if there is one, and else drains.
func (s *server) leave() {
	found, err := s.startFile.Inspect()
	if err != nil {
		s.log.Warn("start file", "do", "look", "err", err)
	}
	successor, ok := found.Successor()
	if !ok {
		s.core.Send(core.Drain{})
		return
	}
	kill := handoff.KillDelay(s.deadlines())
	s.log.Info("handing off", "to", successor, "kill_ms", kill.Milliseconds())
	if err := steer(s.listeners); err != nil {
		s.log.Warn("handing off", "err", err)
	}
	s.core.Send(core.Handoff{KillAfter: kill})
}

// deadlines returns the deadline of each class of requests.
func (s *server) deadlines() []time.Duration {
	classes := s.config.Site.Control.Classes
	deadlines := make([]time.Duration, len(classes))
	for i, class := range classes {
		deadlines[i] = class.Deadline
	}
	return deadlines
}

// steer has the kernel give the new connections of every front to the successor; err names each that it does not.
func steer(listeners []net.Listener) (err error) {
	for _, l := range listeners {
		if e := sock.Steer(l, 1); e != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", l.Addr(), e))
		}
	}
	return err
}
