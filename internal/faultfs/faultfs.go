// Package faultfs is a simulated disk for tests: it forgets at a power cut what was not synced, tears writes at
// sectors, and fails where it is told to. Its verdicts follow from its seed alone.
package faultfs

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"larchscale/internal/wal"
)

const sector = 512

// Disk is a wal.FS in memory.
type Disk struct {
	mu    sync.Mutex
	rand  *rand.Rand
	files map[string]*node // as programs see it
	dir   map[string]*node // names that are on the disk
	ops   int
	room  int64 // bytes that may still be written; negative = no bound
	fail  func(op string, n int) error
	cut   bool // power is off
}

type node struct {
	data   []byte
	synced []byte // what is on the disk
}

// New gives an empty disk without a bound.
func New(seed uint64) *Disk {
	return &Disk{rand: rand.New(rand.NewPCG(seed, 1)), files: map[string]*node{}, dir: map[string]*node{}, room: -1}
}

// ErrPower is what every operation meets after a power cut, until Restart.
var ErrPower = fmt.Errorf("power cut: %w", syscall.EIO)

// FailWith has f say of each operation how it fails: write, sync, create, open, rename, remove or syncdir, n
// counting all of them from 1. After an error of a write a part may have been written. nil = none fails.
func (d *Disk) FailWith(f func(op string, n int) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = f
}

// Room bounds what may still be written; negative = no bound.
func (d *Disk) Room(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = bytes
}

// Ops counts the operations so far.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// Used is the bytes of all files, as programs see them.
func (d *Disk) Used() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.files {
		n += len(f.data)
	}
	return n
}

// CutPower ends all operations with ErrPower.
func (d *Disk) CutPower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = true
}

// Restart is the disk after a power cut: of what was not synced each sector is there or not, as chance has it,
// and each change of a name that no SyncDir followed happened or not.
func (d *Disk) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := map[string]*node{}
	for _, name := range slices.Sorted(maps.Keys(d.dir)) {
		if d.files[name] == d.dir[name] || d.rand.IntN(2) == 0 {
			names[name] = d.dir[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		if d.dir[name] != d.files[name] && d.rand.IntN(2) == 0 {
			names[name] = d.files[name]
		}
	}
	done := map[*node]bool{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if n := names[name]; !done[n] {
			done[n] = true
			d.tear(n)
		}
	}
	d.files, d.dir, d.cut, d.fail, d.room = names, maps.Clone(names), false, nil, -1
}

func (d *Disk) tear(n *node) {
	size := len(n.synced)
	if extra := len(n.data) - size; extra > 0 {
		size += d.rand.IntN(extra + 1)
	}
	out := make([]byte, size)
	copy(out, n.synced)
	for at := 0; at < size; at += sector {
		if end := min(at+sector, size); end <= len(n.data) && d.rand.IntN(2) == 0 {
			copy(out[at:end], n.data[at:end])
		}
	}
	n.data, n.synced = out, slices.Clone(out)
}

// Kill is the end of the process alone: all that was written stays.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut, d.fail = false, nil
}

// Bytes gives a file's content; nil = there is none.
func (d *Disk) Bytes(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.files[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// Put sets a file's content, synced.
func (d *Disk) Put(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &node{slices.Clone(data), slices.Clone(data)}
	d.files[name], d.dir[name] = n, n
}

// op counts an operation and says how it fails.
func (d *Disk) op(name string) error {
	d.ops++
	if d.cut {
		return ErrPower
	}
	if d.fail != nil {
		if err := d.fail(name, d.ops); err != nil {
			d.cut = d.cut || err == ErrPower
			return err
		}
	}
	return nil
}

// Create implements wal.FS.
func (d *Disk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("create"); err != nil {
		return nil, err
	}
	n := &node{}
	d.files[name] = n
	return &file{d, n}, nil
}

// Open implements wal.FS.
func (d *Disk) Open(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("open"); err != nil {
		return nil, err
	}
	n := d.files[name]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{d, n}, nil
}

// List implements wal.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Rename implements wal.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("rename"); err != nil {
		return err
	}
	n := d.files[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.files, from)
	d.files[to] = n
	return nil
}

// Remove implements wal.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("remove"); err != nil {
		return err
	}
	n := d.files[name]
	if n == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(d.files, name)
	if d.room >= 0 {
		d.room += int64(len(n.data))
	}
	return nil
}

// SyncDir implements wal.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("syncdir"); err != nil {
		return err
	}
	d.dir = maps.Clone(d.files)
	return nil
}

// Patch implements wal.FS. Power may fail in it: then any part of it is on the disk.
func (d *Disk) Patch(name string, at int64, b []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.files[name]
	err := d.op("patch")
	if n == nil || at+int64(len(b)) > int64(len(n.data)) {
		return &fs.PathError{Op: "patch", Path: name, Err: fs.ErrNotExist}
	}
	if err == ErrPower {
		b = b[:d.rand.IntN(len(b)+1)]
	} else if err != nil {
		return err
	}
	copy(n.data[at:], b)
	if end := at + int64(len(b)); end <= int64(len(n.synced)) {
		copy(n.synced[at:end], b)
	}
	return err
}

type file struct {
	d *Disk
	n *node
}

func (f *file) Write(b []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	err := f.d.op("write")
	n := len(b)
	if err != nil {
		n = f.d.rand.IntN(len(b) + 1)
	}
	if f.d.room >= 0 {
		if int64(n) > f.d.room {
			n, err = int(f.d.room), syscall.ENOSPC
		}
		f.d.room -= int64(n)
	}
	f.n.data = append(f.n.data, b[:n]...)
	return n, err
}

func (f *file) ReadAt(b []byte, at int64) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.cut {
		return 0, ErrPower
	}
	if at >= int64(len(f.n.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.n.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) Close() error { return nil }

func (f *file) Size() (int64, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return int64(len(f.n.data)), nil
}

// Sync fails without having anything on the disk, and a later one that succeeds does not mend that: what was
// written before it counts as lost, as on systems that mark such pages clean.
func (f *file) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.op("sync"); err != nil {
		if err != ErrPower { // later syncs leave a hole where these bytes were
			hole := len(f.n.data)
			f.n.synced = append(f.n.synced, make([]byte, hole-min(hole, len(f.n.synced)))...)
		}
		return err
	}
	have := len(f.n.synced)
	if have < len(f.n.data) {
		f.n.synced = append(f.n.synced, f.n.data[have:]...)
	}
	return nil
}
