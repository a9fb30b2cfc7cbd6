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

func open(t testing.TB, d wal.FS) (*wal.Log, []string, wal.Recovered, error) {
	t.Helper()
	var got []string
	l, r, err := wal.Open(wal.Options{FS: d, Owner: owner}, func(_ uint64, _ wal.Position, b []byte) error {
		got = append(got, string(b))
		return nil
	})
	return l, got, r, err
}

func must[T any](t testing.TB, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// filled is a disk whose log holds the checkpoint "keep" and then groups of records, each of them synced.
func filled(t testing.TB, groups ...[]string) *faultfs.Disk {
	t.Helper()
	d := faultfs.New(1)
	l, _, _, err := open(t, d)
	if err == nil {
		_, err = l.Roll([]byte("keep"))
	}
	for _, g := range groups {
		var b [][]byte
		for _, r := range g {
			b = append(b, []byte(r))
		}
		if err == nil {
			_, err = l.Append(b...)
		}
		if err == nil {
			err = l.Sync()
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return d
}

var groups = [][]string{{"one", "two"}, {"three"}, {"", "five", string(bytes.Repeat([]byte("6"), 200))}, {"seven"}, {"eight"}}

func flat(n int) []string {
	out := []string{"keep"}
	for _, g := range groups[:n] {
		out = append(out, g...)
	}
	return out
}

const first = "0000000001.wal"

// A file cut at any byte gives whole groups from the start on, and never a part of one.
func TestCutAtEveryByte(t *testing.T) {
	whole := filled(t, groups...).Bytes(first)
	for n := range whole {
		d := faultfs.New(1)
		d.Put(first, whole[:n])
		_, got, _, err := open(t, d)
		if n < 40 { // the name comes after the header is on the disk: this is damage
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
			ok = ok || cmp.Equal(got, flat(i))
		}
		if !ok {
			t.Fatalf("%d: %q", n, got)
		}
	}
}

// A flipped byte before what a later frame calls synced is named as damage. In the last frame it cannot be
// told from a torn write, and they are cut.
func TestFlipOfEveryByte(t *testing.T) {
	whole := filled(t, groups...).Bytes(first)
	for n := range whole {
		for _, bit := range []byte{1, 0x80} {
			d := faultfs.New(1)
			b := bytes.Clone(whole)
			b[n] ^= bit
			d.Put(first, b)
			_, got, r, err := open(t, d)
			var damage *wal.DamageError
			switch {
			case errors.As(err, &damage), errors.Is(err, wal.ErrForeign), errors.Is(err, wal.ErrNewer):
			case err != nil:
				t.Fatalf("%d: %v", n, err)
			case r.Cut == nil || !cmp.Equal(got, flat(len(groups)-1)):
				t.Fatalf("%d: unseen: %q", n, got)
			}
		}
	}
}

// A log is its owner's; what a later version or another box wrote is not read.
func TestForeignAndNewer(t *testing.T) {
	d := filled(t, groups...)
	if _, _, err := wal.Open(wal.Options{FS: d, Owner: wal.Owner{9}}, nil); !errors.Is(err, wal.ErrForeign) {
		t.Errorf("foreign: %v", err)
	}
	newer := d.Bytes(first)
	newer[8] = 2
	binary.LittleEndian.PutUint32(newer[36:], crc32.Checksum(newer[:36], crc32.MakeTable(crc32.Castagnoli)))
	e := faultfs.New(1)
	e.Put(first, newer)
	if _, _, _, err := open(t, e); !errors.Is(err, wal.ErrNewer) || !strings.Contains(err.Error(), first) {
		t.Errorf("newer: %v", err)
	}
	d.Put("0000000007.wal", d.Bytes(first))
	if _, _, _, err := open(t, d); !errors.Is(err, wal.ErrForeign) {
		t.Errorf("another segment's name: %v", err)
	}
}

// After a failed sync or write nothing is promised until a new segment stands, and that rests on nothing of
// the old one.
func TestFailureIsStickyUntilRoll(t *testing.T) {
	for _, op := range []string{"sync", "write"} {
		for _, errno := range []error{syscall.EIO, syscall.ENOSPC} {
			d := filled(t)
			l, _, _, _ := open(t, d)
			must(t, 0, func() error { _, err := l.Roll([]byte("a")); return err }())
			d.FailWith(func(o string, _ int) error {
				if o == op {
					return errno
				}
				return nil
			})
			_, err := l.Append([]byte("b"))
			if err == nil {
				err = l.Sync()
			}
			if !errors.Is(err, errno) || !errors.Is(err, wal.ErrFailed) {
				t.Fatalf("%s: %v", op, err)
			}
			if _, err := l.Roll([]byte("a+b")); !errors.Is(err, errno) {
				t.Fatalf("%s: roll: %v", op, err)
			}
			d.FailWith(nil)
			if l.Sync() == nil {
				t.Fatalf("%s: a second sync promises", op)
			}
			if _, err := l.Append([]byte("c")); err == nil {
				t.Fatalf("%s: a failed log takes records", op)
			}
			must(t, 0, func() error { _, err := l.Roll([]byte("a+b")); return err }())
			d.CutPower()
			d.Restart()
			if _, got, _, err := open(t, d); err != nil || !cmp.Equal(got, []string{"a+b"}) {
				t.Fatalf("%s: %q, %v", op, got, err)
			}
		}
	}
}

// Power fails at every operation of a roll: the old segment is there whole, or the new one.
func TestPowerCutAtEveryOperationOfARoll(t *testing.T) {
	for seed := range uint64(20) {
		for n := 1; ; n++ {
			d := faultfs.New(seed)
			l, _, _, _ := open(t, d)
			must(t, 0, func() error { _, err := l.Roll([]byte("old")); return err }())
			must(t, 0, func() error { _, err := l.Append([]byte("more")); return err }())
			must(t, 0, l.Sync())
			from := d.Ops()
			d.FailWith(func(_ string, op int) error {
				if op-from == n {
					return faultfs.ErrPower
				}
				return nil
			})
			_, err := l.Roll([]byte("new"), []byte("kept"))
			over := d.Ops()-from < n
			d.CutPower()
			d.Restart()
			_, got, _, err2 := open(t, d)
			old, fresh := cmp.Equal(got, []string{"old", "more"}), cmp.Equal(got, []string{"new", "kept"})
			if err2 != nil || !old && !fresh || err == nil && old {
				t.Fatalf("seed %d, operation %d: %q, %v; roll: %v", seed, n, got, err2, err)
			}
			if over {
				break
			}
		}
	}
}

// machine is a log beside a model of it: what was synced must be there after a power cut, what was written
// after a kill, in order, with nothing else.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := faultfs.New(rapid.Uint64().Draw(t, "seed"))
		var l *wal.Log
		var all []string // written, and how many of them are synced
		synced, n := 0, 0
		reopen := func() {
			var got []string
			var err error
			l, _, err = wal.Open(wal.Options{FS: d, Owner: owner}, func(_ uint64, _ wal.Position, b []byte) error {
				got = append(got, string(b))
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			if len(got) < synced || len(got) > len(all) || !cmp.Equal(got, all[:len(got)]) && len(got) > 0 {
				t.Fatalf("got %q of %q, %d synced", got, all, synced)
			}
			all = all[:len(got)]
			if _, err := l.Roll(bytesOf(all)...); err != nil {
				t.Fatal(err)
			}
			synced = len(all)
		}
		reopen()
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				var group []string
				for range rapid.IntRange(1, 4).Draw(t, "records") {
					n++
					group = append(group, fmt.Sprintf("%d%s", n, bytes.Repeat([]byte("x"), rapid.IntRange(0, 600).Draw(t, "size"))))
				}
				at, err := l.Append(bytesOf(group)...)
				if err != nil {
					t.Fatal(err)
				}
				for i, p := range at {
					if b, err := l.ReadAt(p); err != nil || string(b) != group[i] {
						t.Fatalf("%v: %q, %v", p, b, err)
					}
				}
				all = append(all, group...)
			},
			"sync": func(t *rapid.T) {
				if err := l.Sync(); err != nil {
					t.Fatal(err)
				}
				synced = len(all)
			},
			"roll": func(t *rapid.T) {
				if _, err := l.Roll(bytesOf(all)...); err != nil {
					t.Fatal(err)
				}
				synced = len(all)
			},
			"kill":  func(*rapid.T) { d.Kill(); synced = len(all); reopen() },
			"power": func(*rapid.T) { d.CutPower(); d.Restart(); reopen() },
		})
	})
}

func bytesOf(list []string) (out [][]byte) {
	for _, s := range list {
		out = append(out, []byte(s))
	}
	return out
}

// Whatever the bytes of a segment are, reading them ends without a panic.
func FuzzOpen(f *testing.F) {
	f.Add(filled(f, groups...).Bytes(first))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := faultfs.New(1)
		d.Put(first, b)
		open(t, d)
	})
}

func BenchmarkAppend(b *testing.B) {
	d := wal.Dir(b.TempDir())
	l, _, err := wal.Open(wal.Options{FS: d, Owner: owner}, nil)
	if err == nil {
		_, err = l.Roll()
	}
	if err != nil {
		b.Fatal(err)
	}
	r := make([]byte, 28)
	rand.NewChaCha8([32]byte{}).Read(r)
	for b.Loop() {
		if _, err := l.Append(r); err != nil {
			b.Fatal(err)
		}
	}
}
