package worker

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage is what a process has used, as the kernel counts it.
type Usage struct {
	At          time.Time
	CPU         time.Duration // user and system, since the process began
	Resident    uint64        // bytes
	Descriptors int
	Goroutines  int
	DiskBytes   uint64 // written to block devices, since the process began
}

// ReadUsage reads that of the own process.
func ReadUsage() (u Usage, err error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return u, fmt.Errorf("usage: %w", err)
	}
	u.At = time.Now()
	u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	u.Goroutines = runtime.NumGoroutine()
	resident, residentErr := field("/proc/self/status", "VmRSS:")
	u.Resident = resident << 10 // given in KiB
	var diskErr, listErr error
	u.DiskBytes, diskErr = field("/proc/self/io", "write_bytes:")
	list, listErr := os.ReadDir("/proc/self/fd")
	u.Descriptors = len(list)
	return u, errors.Join(residentErr, diskErr, listErr)
}

// field reads a number from a file of /proc with one name and value a line.
func field(path, name string) (uint64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("usage: %w", err)
	}
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), name); ok {
			return strconv.ParseUint(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		}
	}
	return 0, fmt.Errorf("usage: %s has no %s", path, name)
}

// clockTicks is the unit of /proc/*/stat: USER_HZ is 100 on every architecture that Go supports.
const clockTicks = 100

// ReadUsageOf reads that of another process, by its id. Goroutines are not known; CPU has a resolution of 10 ms.
func ReadUsageOf(id int) (u Usage, err error) {
	directory := fmt.Sprintf("/proc/%d/", id)
	u.At = time.Now()
	var cpuErr, diskErr error
	u.CPU, cpuErr = processorTime(directory + "stat")
	resident, residentErr := field(directory+"status", "VmRSS:")
	u.Resident = resident << 10
	u.DiskBytes, diskErr = field(directory+"io", "write_bytes:")
	list, listErr := os.ReadDir(directory + "fd")
	u.Descriptors = len(list)
	return u, errors.Join(cpuErr, residentErr, diskErr, listErr)
}

// The places of user and system time in /proc/*/stat, after the name of the program.
const (
	userField   = 11
	systemField = 12
)

// processorTime reads user and system time of all threads of a process.
func processorTime(path string) (time.Duration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("usage: %w", err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // a name may have spaces
	if len(fields) <= systemField {
		return 0, fmt.Errorf("usage: %s has %d fields", path, len(fields))
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, errors.Join(userErr, systemErr)
}
