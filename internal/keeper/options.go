// Package keeper keeps the ledger's files: it takes entries from the core's loop, writes them in groups off
// that loop, and gets over disks that are slow, full or broken. What it writes and when is the ledger's to say.
package keeper

import (
	"errors"
	"fmt"
	"time"

	"larchscale/internal/ledger"
)

// Options are the operator's table [ledger].
type Options struct {
	Dir       string `toml:"dir"`
	Mode      string `toml:"mode"`
	OnFailure string `toml:"on_failure"`
	Period    string `toml:"period"`
	Zone      string `toml:"time_zone"`
	GraceS    int    `toml:"grace_s"`
	Keep      int    `toml:"keep_periods"`
	SyncMs    int    `toml:"sync_ms"`
	WriteMs   int    `toml:"write_ms"`
	SegmentKB int    `toml:"segment_kb"`
	DiskKB    int    `toml:"disk_kb"`
	ExportMs  int    `toml:"export_ms"`
}

// The words of mode and on_failure.
const (
	Strict  = "strict"
	Relaxed = "relaxed"
	Refuse  = "refuse"
	Gap     = "gap"
)

// Defaults are the options that a file need not name. Without a directory there is no ledger.
func Defaults() Options {
	return Options{Mode: Relaxed, OnFailure: Gap, Period: "month", Zone: "Asia/Kolkata", GraceS: 60, Keep: 24,
		SyncMs: 1000, WriteMs: 100, SegmentKB: 4096, DiskKB: 32768, ExportMs: 60_000}
}

// Check finds what cannot be.
func (o *Options) Check() error {
	if o.Dir == "" {
		return nil
	}
	for _, b := range []struct {
		name            string
		is, least, most int
	}{{"grace_s", o.GraceS, 1, 3600}, {"keep_periods", o.Keep, 1, 1000}, {"sync_ms", o.SyncMs, 0, 60_000}, {"write_ms", o.WriteMs, 1, 10_000},
		{"segment_kb", o.SegmentKB, 64, 1 << 20}, {"disk_kb", o.DiskKB, 1024, 1 << 24}, {"export_ms", o.ExportMs, 10, 86_400_000}} {
		if b.is < b.least || b.is > b.most {
			return fmt.Errorf("ledger.%s is %d, %d to %d", b.name, b.is, b.least, b.most)
		}
	}
	switch {
	case o.Mode != Strict && o.Mode != Relaxed:
		return fmt.Errorf("ledger.mode is %q: strict or relaxed", o.Mode)
	case o.OnFailure != Refuse && o.OnFailure != Gap:
		return fmt.Errorf("ledger.on_failure is %q: refuse or gap", o.OnFailure)
	case o.SegmentKB*4 > o.DiskKB:
		return errors.New("ledger.disk_kb is less than four times ledger.segment_kb")
	}
	if _, err := ledger.NewCalendar(o.Period, o.Zone); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

const cellBytes = 128 // of a sum in the snapshot, at most

// policy is what the book is told. On the disk are at most the old segment, the new one with the book and the
// batches that wait, and what comes until it is full: so batches may take
// a quarter, and the book itself an eighth.
func (o *Options) policy() ledger.Policy {
	cal, _ := ledger.NewCalendar(o.Period, o.Zone) // checked
	return ledger.Policy{Calendar: cal, Grace: int64(o.GraceS) * 1000, Keep: o.Keep,
		ExportEvery: int64(o.ExportMs), MaxPending: o.DiskKB << 10 / 4, MaxCells: o.DiskKB << 10 / 8 / cellBytes}
}

func (o *Options) ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
