// Package boottime reads the clock of leases: it goes on while the machine is suspended, and nobody sets it.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started. It means nothing to another machine.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("the clock of leases: %v", err)) // it has been there since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
