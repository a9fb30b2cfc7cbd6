package ledgerstore

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

// Operators submit corrections as files in the ledger's directory, called the inbox, and the server answers each with
// a file of its own. A file appears under its final name only once it is complete, so a correction is never read in
// part.

const (
	correctionSuffix = ".correction"
	answerSuffix     = ".answer"
	maxInboxFiles    = 64 // files processed in one pass
)

// CorrectionResult is the server's response to a correction.
type CorrectionResult struct {
	Booked bool   `json:"booked"` // applied now or earlier; an ID is applied once
	Why    string `json:"why"`
}

func correctionFileName(id string) string {
	h := sha256.Sum256([]byte(id))
	return fmt.Sprintf("%x", h[:8])
}

// SubmitCorrection writes a correction for the server that owns the directory.
func SubmitCorrection(fsys wal.FS, c ledger.Correction) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	name := correctionFileName(c.ID)
	if err := fsys.Remove(name + answerSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return replaceFile(fsys, name+correctionSuffix, text)
}

// ReadCorrectionResult returns the answer to a correction. ok is false if there is none yet.
func ReadCorrectionResult(fsys wal.FS, id string) (a CorrectionResult, ok bool, err error) {
	text, err := readSmallFile(fsys, correctionFileName(id)+answerSuffix)
	if errors.Is(err, fs.ErrNotExist) {
		return a, false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &a)
	}
	return a, err == nil, err
}

// exportedSuffix is the suffix of files which tell the server that a batch was exported as a file.
const exportedSuffix = ".taken"

// MarkExported tells the server that owns the directory that a batch was exported as a file.
func MarkExported(fsys wal.FS, s ledger.Sealed) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return replaceFile(fsys, fmt.Sprintf("%020d%s", s.Seq, exportedSuffix), text)
}

// acknowledgeExported acknowledges a batch that was exported as a file. It returns false if the file must be
// processed again, for example because its batch is not next in order.
func (k *Store) acknowledgeExported(name string) (done bool) {
	text, err := readSmallFile(k.fs, name)
	var s ledger.Sealed
	if err != nil || json.Unmarshal(text, &s) != nil {
		return true
	}
	if rec, ok := k.ledger.ProposeAck(s.Seq, s.Hash); ok {
		if _, err := k.commitRecord(rec); err != nil {
			return false
		}
		delete(k.batchPositions, s.Seq)
		return true
	}
	next, ok := k.ledger.Next()
	return !ok || next.Seq >= s.Seq
}

// processInbox processes the files that operators left. A correction that cannot be written is retried in the next
// pass.
func (k *Store) processInbox(now int64) {
	names, err := k.fs.List()
	if err != nil {
		return
	}
	corrections := 0
	for _, n := range names { // names are sorted, so batches come in order
		if strings.HasSuffix(n, exportedSuffix) && k.acknowledgeExported(n) {
			k.fs.Remove(n)
		}
		name, ok := strings.CutSuffix(n, correctionSuffix)
		if !ok || corrections >= maxInboxFiles {
			continue
		}
		corrections++
		answer, err := k.applyCorrection(n, now)
		if err != nil {
			k.log.Warn("ledger", "do", "correct", "err", err)
			continue
		}
		text, _ := json.Marshal(answer)
		if err := replaceFile(k.fs, name+answerSuffix, text); err == nil {
			k.fs.Remove(n)
		}
	}
}

func (k *Store) applyCorrection(name string, now int64) (CorrectionResult, error) {
	var correction ledger.Correction
	text, err := readSmallFile(k.fs, name)
	if err != nil {
		return CorrectionResult{Why: err.Error()}, nil
	}
	if err := json.Unmarshal(text, &correction); err != nil {
		return CorrectionResult{Why: err.Error()}, nil
	}
	rec, err := k.ledger.ProposeCorrection(correction, now)
	if err != nil {
		return CorrectionResult{Why: err.Error()}, nil
	}
	if rec != nil {
		if _, err := k.commitRecord(rec); err != nil {
			return CorrectionResult{}, err
		}
		k.log.Info("ledger", "do", "correct", "id", correction.ID, "period", correction.Period, "stand", correction.Stand)
	}
	return CorrectionResult{Booked: true}, nil
}
