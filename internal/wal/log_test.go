package wal_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"larchscale/internal/faultfs"
	_ "larchscale/internal/scenario/fixed"
	"larchscale/internal/wal"
)

var owner = wal.Owner{1, 2, 3}

func open(t testing.TB, disk wal.FS) (*wal.Log, []string, wal.Recovery, error) {
	t.Helper()
	var got []string
	log, recovered, err := wal.Open(wal.Options{FS: disk, Owner: owner}, func(_ uint64, _ wal.Position, b []byte) error {
		got = append(got, string(b))
		return nil
	})
	return log, got, recovered, err
}

func must[T any](t testing.TB, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// diskWithLog returns a disk with a log that holds the record "keep" and then groups of records, each of them synced.
func diskWithLog(t testing.TB, groups ...[]string) *faultfs.Disk {
	t.Helper()
	disk := faultfs.New(1)
	log, _, _, err := open(t, disk)
	if err == nil {
		_, err = log.Roll([]byte("keep"))
	}
	for _, g := range groups {
		var b [][]byte
		for _, r := range g {
			b = append(b, []byte(r))
		}
		if err == nil {
			_, err = log.Append(b...)
		}
		if err == nil {
			err = log.Sync()
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return disk
}

var groups = [][]string{{"one", "two"}, {"three"}, {"", "five", string(bytes.Repeat([]byte("6"), 200))}, {"seven"}, {"eight"}}

func recordsOf(n int) []string {
	out := []string{"keep"}
	for _, g := range groups[:n] {
		out = append(out, g...)
	}
	return out
}

const firstSegment = "0000000001.wal"

// Checks that a segment truncated at any byte yields a sequence of complete groups and never part of one.
func TestTruncationAtEveryByte(t *testing.T) {
	whole := diskWithLog(t, groups...).Bytes(firstSegment)
	for n := range whole {
		disk := faultfs.New(1)
		disk.Put(firstSegment, whole[:n])
		_, got, _, err := open(t, disk)
		if n < 40 { // the file gets its name once the header is durable, so this is damage
			if err == nil {
				t.Fatalf("%d: no error", n)
			}
			continue
		}
		if err != nil {
			t.Fatalf("%d: %v", n, err)
		}
		ok := len(got) == 0
		for i := range len(groups) + 1 {
			ok = ok || cmp.Equal(got, recordsOf(i))
		}
		if !ok {
			t.Fatalf("%d: %q", n, got)
		}
	}
}

// Checks that a flipped bit is reported as damage if a later frame shows that the byte was durable. In the last frame
// damage cannot be told from a torn write, so the frame is cut off.
func TestBitFlipInEveryByte(t *testing.T) {
	whole := diskWithLog(t, groups...).Bytes(firstSegment)
	for n := range whole {
		for _, bit := range []byte{1, 0x80} {
			disk := faultfs.New(1)
			b := bytes.Clone(whole)
			b[n] ^= bit
			disk.Put(firstSegment, b)
			_, got, r, err := open(t, disk)
			var damage *wal.DamageError
			switch {
			case errors.As(err, &damage), errors.Is(err, wal.ErrOtherOwner), errors.Is(err, wal.ErrNewer):
			case err != nil:
				t.Fatalf("%d: %v", n, err)
			case r.TornTail == nil || !cmp.Equal(got, recordsOf(len(groups)-1)):
				t.Fatalf("%d: not detected: %q", n, got)
			}
		}
	}
}

// Checks that a log of another owner, of a newer version or under another segment's name is refused.
func TestOtherOwnerAndNewerFormat(t *testing.T) {
	disk := diskWithLog(t, groups...)
	if _, _, err := wal.Open(wal.Options{FS: disk, Owner: wal.Owner{9}}, nil); !errors.Is(err, wal.ErrOtherOwner) {
		t.Errorf("foreign: %v", err)
	}
	newer := disk.Bytes(firstSegment)
	newer[8] = 2
	binary.LittleEndian.PutUint32(newer[36:], crc32.Checksum(newer[:36], crc32.MakeTable(crc32.Castagnoli)))
	e := faultfs.New(1)
	e.Put(firstSegment, newer)
	if _, _, _, err := open(t, e); !errors.Is(err, wal.ErrNewer) || !strings.Contains(err.Error(), firstSegment) {
		t.Errorf("newer: %v", err)
	}
	disk.Put("0000000007.wal", disk.Bytes(firstSegment))
	if _, _, _, err := open(t, disk); !errors.Is(err, wal.ErrOtherOwner) {
		t.Errorf("another segment's name: %v", err)
	}
}

// Checks that after a failed sync or write nothing counts as durable until a new segment is written, and that the new
// segment does not depend on the old one.
func TestFailureIsStickyUntilRoll(t *testing.T) {
	for _, op := range []string{"sync", "write"} {
		for _, errno := range []error{syscall.EIO, syscall.ENOSPC} {
			disk := diskWithLog(t)
			log, _, _, _ := open(t, disk)
			must(t, 0, func() error { _, err := log.Roll([]byte("a")); return err }())
			disk.FailWith(func(o string, _ int) error {
				if o == op {
					return errno
				}
				return nil
			})
			_, err := log.Append([]byte("b"))
			if err == nil {
				err = log.Sync()
			}
			if !errors.Is(err, errno) || !errors.Is(err, wal.ErrFailed) {
				t.Fatalf("%s: %v", op, err)
			}
			if _, err := log.Roll([]byte("a+b")); !errors.Is(err, errno) {
				t.Fatalf("%s: roll: %v", op, err)
			}
			disk.FailWith(nil)
			if log.Sync() == nil {
				t.Fatalf("%s: a second sync succeeds", op)
			}
			if _, err := log.Append([]byte("c")); err == nil {
				t.Fatalf("%s: a failed log accepts records", op)
			}
			must(t, 0, func() error { _, err := log.Roll([]byte("a+b")); return err }())
			disk.CutPower()
			disk.Restart()
			if _, got, _, err := open(t, disk); err != nil || !cmp.Equal(got, []string{"a+b"}) {
				t.Fatalf("%s: %q, %v", op, got, err)
			}
		}
	}
}

// Checks that after a power failure at any operation of a roll either the old segment or the new one is complete.
func TestPowerCutAtEveryOperationOfARoll(t *testing.T) {
	for seed := range uint64(20) {
		for n := 1; ; n++ {
			disk := faultfs.New(seed)
			log, _, _, _ := open(t, disk)
			must(t, 0, func() error { _, err := log.Roll([]byte("old")); return err }())
			must(t, 0, func() error { _, err := log.Append([]byte("more")); return err }())
			must(t, 0, log.Sync())
			startOps := disk.Ops()
			disk.FailWith(func(_ string, op int) error {
				if op-startOps == n {
					return faultfs.ErrPower
				}
				return nil
			})
			_, err := log.Roll([]byte("new"), []byte("kept"))
			completed := disk.Ops()-startOps < n
			disk.CutPower()
			disk.Restart()
			_, got, _, err2 := open(t, disk)
			isOld, isNew := cmp.Equal(got, []string{"old", "more"}), cmp.Equal(got, []string{"new", "kept"})
			if err2 != nil || !isOld && !isNew || err == nil && isOld {
				t.Fatalf("seed %d, operation %d: %q, %v; roll: %v", seed, n, got, err2, err)
			}
			if completed {
				break
			}
		}
	}
}

// Compares a log with a model: synced records must exist after a power failure and written records after a kill, in
// order and with nothing else.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := faultfs.New(rapid.Uint64().Draw(t, "seed"))
		var log *wal.Log
		var written []string // the first synced of these records are durable
		synced, n := 0, 0
		reopen := func() {
			var got []string
			var err error
			log, _, err = wal.Open(wal.Options{FS: disk, Owner: owner}, func(_ uint64, _ wal.Position, b []byte) error {
				got = append(got, string(b))
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			if len(got) < synced || len(got) > len(written) || !cmp.Equal(got, written[:len(got)]) && len(got) > 0 {
				t.Fatalf("got %q of %q, %d synced", got, written, synced)
			}
			written = written[:len(got)]
			if _, err := log.Roll(encodeAll(written)...); err != nil {
				t.Fatal(err)
			}
			synced = len(written)
		}
		reopen()
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				var group []string
				for range rapid.IntRange(1, 4).Draw(t, "records") {
					n++
					group = append(group, fmt.Sprintf("%d%s", n, bytes.Repeat([]byte("x"), rapid.IntRange(0, 600).Draw(t, "size"))))
				}
				at, err := log.Append(encodeAll(group)...)
				if err != nil {
					t.Fatal(err)
				}
				for i, p := range at {
					if b, err := log.ReadAt(p); err != nil || string(b) != group[i] {
						t.Fatalf("%v: %q, %v", p, b, err)
					}
				}
				written = append(written, group...)
			},
			"sync": func(t *rapid.T) {
				if err := log.Sync(); err != nil {
					t.Fatal(err)
				}
				synced = len(written)
			},
			"roll": func(t *rapid.T) {
				if _, err := log.Roll(encodeAll(written)...); err != nil {
					t.Fatal(err)
				}
				synced = len(written)
			},
			"kill":  func(*rapid.T) { disk.Kill(); synced = len(written); reopen() },
			"power": func(*rapid.T) { disk.CutPower(); disk.Restart(); reopen() },
		})
	})
}

func encodeAll(list []string) (out [][]byte) {
	for _, s := range list {
		out = append(out, []byte(s))
	}
	return out
}

// Checks that reading a segment of arbitrary bytes ends without a panic.
func FuzzOpen(f *testing.F) {
	f.Add(diskWithLog(f, groups...).Bytes(firstSegment))
	f.Fuzz(func(t *testing.T, b []byte) {
		disk := faultfs.New(1)
		disk.Put(firstSegment, b)
		open(t, disk)
	})
}

func BenchmarkAppend(b *testing.B) {
	disk := wal.Dir(b.TempDir())
	log, _, err := wal.Open(wal.Options{FS: disk, Owner: owner}, nil)
	if err == nil {
		_, err = log.Roll()
	}
	if err != nil {
		b.Fatal(err)
	}
	r := make([]byte, 28)
	rand.NewChaCha8([32]byte{}).Read(r)
	for b.Loop() {
		if _, err := log.Append(r); err != nil {
			b.Fatal(err)
		}
	}
}
