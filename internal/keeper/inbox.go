package keeper

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"larchscale/internal/ledger"
	"larchscale/internal/wal"
)

// The inbox: operators leave corrections as files in the ledger's directory, and the box answers with a file
// beside each. A correction is taken whole: its file gets its name once it is all there.

const (
	inEnding  = ".correction"
	outEnding = ".answer"
	maxInbox  = 64 // files at a time
)

// Answer is what the box says of a correction.
type Answer struct {
	Booked bool   `json:"booked"` // now or before: under one id it counts once
	Why    string `json:"why"`
}

func inboxName(id string) string {
	h := sha256.Sum256([]byte(id))
	return fmt.Sprintf("%x", h[:8])
}

// Submit leaves a correction for the box that owns the directory.
func Submit(fsys wal.FS, c ledger.Correction) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	name := inboxName(c.ID)
	if err := fsys.Remove(name + outEnding); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return replace(fsys, name+inEnding, text)
}

// Answered gives the answer to a correction, if there is one.
func Answered(fsys wal.FS, id string) (a Answer, ok bool, err error) {
	text, err := readSmall(fsys, inboxName(id)+outEnding)
	if errors.Is(err, fs.ErrNotExist) {
		return a, false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &a)
	}
	return a, err == nil, err
}

// takenEnding ends the names of files that say that a batch was taken as a file.
const takenEnding = ".taken"

// Taken tells the box that owns the directory that a batch has left it as a file.
func Taken(fsys wal.FS, s ledger.Sealed) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return replace(fsys, fmt.Sprintf("%020d%s", s.Seq, takenEnding), text)
}

// take acknowledges a batch that has left as a file. One that is out of turn waits.
func (k *Keeper) take(name string) (done bool) {
	text, err := readSmall(k.fs, name)
	var s ledger.Sealed
	if err != nil || json.Unmarshal(text, &s) != nil {
		return true
	}
	if rec, ok := k.book.ProposeAck(s.Seq, s.Hash); ok {
		if _, err := k.promise(rec); err != nil {
			return false
		}
		delete(k.batches, s.Seq)
		return true
	}
	next, ok := k.book.Next()
	return !ok || next.Seq >= s.Seq
}

// inbox takes what operators left. A correction that cannot be written stays for the next time.
func (k *Keeper) inbox(now int64) {
	names, err := k.fs.List()
	if err != nil {
		return
	}
	taken := 0
	for _, n := range names { // sorted: batches are in their order
		if strings.HasSuffix(n, takenEnding) && k.take(n) {
			k.fs.Remove(n)
		}
		name, ok := strings.CutSuffix(n, inEnding)
		if !ok || taken >= maxInbox {
			continue
		}
		taken++
		a, err := k.correct(n, now)
		if err != nil {
			k.log.Warn("ledger", "do", "correct", "err", err)
			continue
		}
		text, _ := json.Marshal(a)
		if err := replace(k.fs, name+outEnding, text); err == nil {
			k.fs.Remove(n)
		}
	}
}

func (k *Keeper) correct(name string, now int64) (Answer, error) {
	var c ledger.Correction
	text, err := readSmall(k.fs, name)
	if err != nil {
		return Answer{Why: err.Error()}, nil
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return Answer{Why: err.Error()}, nil
	}
	rec, err := k.book.ProposeCorrection(c, now)
	if err != nil {
		return Answer{Why: err.Error()}, nil
	}
	if rec != nil {
		if _, err := k.promise(rec); err != nil {
			return Answer{}, err
		}
		k.log.Info("ledger", "do", "correct", "id", c.ID, "period", c.Period, "stand", c.Stand)
	}
	return Answer{Booked: true}, nil
}
