// Package ledgerstore stores the ledger on disk: it takes entries from the core's loop, writes them in groups on its own
// goroutine, and recovers from disks that are slow, full or failing. What is written and when is decided by package
// ledger.
package ledgerstore

import (
	"errors"
	"fmt"
	"time"

	"larchscale/internal/ledger"
)

// Options is the table [ledger] of the operator's configuration.
type Options struct {
	Dir         string `toml:"dir"`
	Mode        string `toml:"mode"`
	OnFailure   string `toml:"on_failure"`
	Period      string `toml:"period"`
	TimeZone    string `toml:"time_zone"`
	GraceS      int    `toml:"grace_s"`
	KeepPeriods int    `toml:"keep_periods"`
	SyncMs      int    `toml:"sync_ms"`
	WriteMs     int    `toml:"write_ms"`
	SegmentKB   int    `toml:"segment_kb"`
	DiskKB      int    `toml:"disk_kb"`
	ExportMs    int    `toml:"export_ms"`
}

// The values of the settings mode and on_failure.
const (
	Strict    = "strict"
	Relaxed   = "relaxed"
	Refuse    = "refuse"
	RecordGap = "gap"
)

// Defaults returns the options that apply where the operator's file sets none. Without a directory there is no
// ledger.
func Defaults() Options {
	return Options{Mode: Relaxed, OnFailure: RecordGap, Period: "month", TimeZone: "Asia/Kolkata", GraceS: 60, KeepPeriods: 24,
		SyncMs: 1000, WriteMs: 100, SegmentKB: 4096, DiskKB: 32768, ExportMs: 60_000}
}

// Check returns an error for settings that are out of range or contradict each other.
func (o *Options) Check() error {
	if o.Dir == "" {
		return nil
	}
	for _, bound := range []struct {
		name             string
		value, low, high int
	}{{"grace_s", o.GraceS, 1, 3600}, {"keep_periods", o.KeepPeriods, 1, 1000}, {"sync_ms", o.SyncMs, 0, 60_000}, {"write_ms", o.WriteMs, 1, 10_000},
		{"segment_kb", o.SegmentKB, 64, 1 << 20}, {"disk_kb", o.DiskKB, 1024, 1 << 24}, {"export_ms", o.ExportMs, 10, 86_400_000}} {
		if bound.value < bound.low || bound.value > bound.high {
			return fmt.Errorf("ledger.%s is %d, must be %d to %d", bound.name, bound.value, bound.low, bound.high)
		}
	}
	switch {
	case o.Mode != Strict && o.Mode != Relaxed:
		return fmt.Errorf("ledger.mode is %q, must be strict or relaxed", o.Mode)
	case o.OnFailure != Refuse && o.OnFailure != RecordGap:
		return fmt.Errorf("ledger.on_failure is %q, must be refuse or gap", o.OnFailure)
	case o.SegmentKB*4 > o.DiskKB:
		return errors.New("ledger.disk_kb is less than four times ledger.segment_kb")
	}
	if _, err := ledger.NewCalendar(o.Period, o.TimeZone); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

const sumBytes = 128 // upper bound of the size of one sum in a snapshot

// policy returns the limits for the in-memory ledger. The disk holds at most the old segment, the new one with the
// ledger's snapshot and the pending batches, and the records that follow until it is full. Batches may therefore take
// a quarter of the disk budget, and the snapshot an eighth.
func (o *Options) policy() ledger.Policy {
	cal, _ := ledger.NewCalendar(o.Period, o.TimeZone) // validated by Check
	return ledger.Policy{Calendar: cal, Grace: int64(o.GraceS) * 1000, Keep: o.KeepPeriods,
		ExportEvery: int64(o.ExportMs), MaxPending: o.DiskKB << 10 / 4, MaxCells: o.DiskKB << 10 / 8 / sumBytes}
}

func (o *Options) milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
