package store

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"larchscale/internal/core"
)

// sweepEach is how often expired claims and results are removed, and the bytes on the disk counted anew. A sweep
// reads every file: each second, it cost a run of 102,400 requests twice its time.
const sweepEach = 20 * time.Second

// Files is a core.Store in a directory that two processes of one server share, such as their $TMPDIR in a
// replacement: a keyed write that ran in one of them is not run by the other. A key is a file named by the hash
// of its class and token, holding its expiry (8 bytes, Unix ns, big-endian) and a value as the Redis store
// writes it. Every change is done under an flock of the directory and replaces a file whole by a rename, so a
// process that dies between two steps leaves either the old state or the new. The loop never waits: one
// goroutine does the file work, and a claim that finds no room in its queue is a store that is down.
type Files struct {
	dir   string
	owner string
	class []string
	bound int64 // bytes of the directory; past it claims are refused
	used  int64 // as last counted, and written since; the goroutine's alone
	sink  func(core.Event)
	log   *slog.Logger
	work  chan func()
	now   func() time.Time
}

// OpenFiles makes the directory, if it is not there, and a store in it of at most bound bytes.
func OpenFiles(dir, owner string, class []string, bound int64, sink func(core.Event), log *slog.Logger) (*Files, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return &Files{dir: dir, owner: owner, class: class, bound: bound, sink: sink, log: log,
		work: make(chan func(), waiting), now: time.Now}, nil
}

// Run works until ctx ends.
func (s *Files) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepEach)
	defer sweep.Stop()
	s.locked(s.sweep)
	for {
		select {
		case f := <-s.work:
			s.locked(f)
		case <-sweep.C:
			s.locked(s.sweep)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Files) do(f func()) bool {
	select {
	case s.work <- f:
		return true
	default:
		return false
	}
}

// locked runs f with the directory's lock held; without the lock f runs all the same, as the only process.
func (s *Files) locked(f func()) {
	lock, err := os.OpenFile(filepath.Join(s.dir, ".lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err == nil {
		defer lock.Close()
		for {
			if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); !errors.Is(err, syscall.EINTR) {
				break
			}
		}
	}
	if err != nil {
		s.log.Warn("store", "do", "lock", "err", err)
	}
	f()
}

func (s *Files) path(k core.Key) string {
	sum := sha256.Sum256([]byte(s.class[k.Class] + ":" + k.Token))
	return filepath.Join(s.dir, hex.EncodeToString(sum[:16]))
}

// get gives the value of a key that has not expired, nil = none, and the size of the file that is there.
func (s *Files) get(path string) ([]byte, int, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if len(b) < 8 {
		return nil, len(b), fmt.Errorf("%s: %d bytes are no key", path, len(b))
	}
	if Expired(b, s.now()) {
		return nil, len(b), nil
	}
	return b[8:], len(b), nil
}

// Expired tells whether a file's contents are past their expiry at now; too short is expired.
func Expired(file []byte, now time.Time) bool {
	return len(file) < 8 || int64(binary.BigEndian.Uint64(file)) <= now.UnixNano()
}

// put replaces a key's file, of size was, whole.
func (s *Files) put(path string, value []byte, life time.Duration, was int) error {
	file := binary.BigEndian.AppendUint64(nil, uint64(s.now().Add(life).UnixNano()))
	file = append(file, value...)
	next := path + ".new"
	if err := os.WriteFile(next, file, 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	s.used += int64(len(file) - was)
	return nil
}

// Claim asks for a key.
func (s *Files) Claim(p core.Piece) bool {
	k, sum, life := p.Key, p.Sum, p.Life
	return s.do(func() {
		state, result, err := s.claim(s.path(k), sum, life)
		if err != nil {
			s.log.Warn("store", "do", "claim", "err", err)
			state = core.ClaimDown
		}
		s.sink(core.Claimed{Key: k, State: state, Result: result})
	})
}

func (s *Files) claim(path string, sum [32]byte, life time.Duration) (core.Claim, []byte, error) {
	mine := value(markClaim, sum, []byte(s.owner))
	old, was, err := s.get(path)
	if err != nil {
		return core.ClaimDown, nil, err
	}
	if old != nil {
		return read(old, mine)
	}
	if s.used > s.bound {
		return core.ClaimDown, nil, fmt.Errorf("%d bytes of keys, %d at most", s.used, s.bound)
	}
	if err := s.put(path, mine, life, was); err != nil {
		return core.ClaimDown, nil, err
	}
	return core.ClaimWon, nil, nil
}

// Holds implements core.Store: a claim is this process's until it gives it up or it expires.
func (s *Files) Holds() bool { return true }

// Finish replaces this server's claim by the end of its run. Nothing waits for that.
func (s *Files) Finish(k core.Key, sum [32]byte, ok bool, result []byte, life time.Duration) bool {
	mark := byte(markFailed)
	if !ok {
		result = nil
	} else {
		mark = markDone
	}
	end := value(mark, sum, result)
	s.replace(k, "finish", func(path string, was int) error { return s.put(path, end, max(life, time.Second), was) })
	return false
}

// Release gives up this server's claim on what never ran.
func (s *Files) Release(k core.Key) {
	s.replace(k, "release", func(path string, was int) error {
		s.used -= int64(was)
		return os.Remove(path)
	})
}

// replace changes a key only while it is this server's claim. A change that finds no room is lost: a result
// that is not shared leaves its repeats in the other process without an answer until their deadline.
func (s *Files) replace(k core.Key, what string, change func(path string, was int) error) {
	if !s.do(func() {
		path := s.path(k)
		old, was, err := s.get(path)
		if err == nil && old != nil && len(old) >= 1+sumLen && old[0] == markClaim && string(old[1+sumLen:]) == s.owner {
			err = change(path, was)
		}
		if err != nil {
			s.log.Warn("store", "do", what, "err", err)
		}
	}) {
		s.log.Warn("store", "do", what, "err", "no room")
	}
}

// sweep removes what has expired, and what a process left half written, and counts the bytes anew.
func (s *Files) sweep() {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		s.log.Warn("store", "do", "sweep", "err", err)
		return
	}
	now := s.now()
	s.used = 0
	for _, e := range entries {
		name := e.Name()
		if strings.HasPrefix(name, ".") {
			continue
		}
		path := filepath.Join(s.dir, name)
		b, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if strings.HasSuffix(name, ".new") || Expired(b, now) {
			os.Remove(path)
			continue
		}
		s.used += int64(len(b))
	}
}
