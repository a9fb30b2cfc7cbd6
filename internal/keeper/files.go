package keeper

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/url"
	"slices"
	"strings"

	"github.com/tidwall/gjson"

	"larchscale/internal/ledger"
	"larchscale/internal/wal"
)

const identityName = "identity.json"

// ErrForeign is a directory that holds another box's ledger.
var ErrForeign = errors.New("it is another box's ledger")

// ErrNone is a directory without a ledger.
var ErrNone = errors.New("there is no ledger")

func owner(box string, id ledger.ID) (o wal.Owner) {
	h := sha256.Sum256(append([]byte(box+"\x00"), id[:]...))
	copy(o[:], h[:])
	return o
}

// readIdentity says whose ledger the directory holds.
func readIdentity(fsys wal.FS) (box string, id ledger.ID, err error) {
	text, err := readSmall(fsys, identityName)
	if err != nil {
		return "", id, err
	}
	j := gjson.ParseBytes(text)
	raw, err := hex.DecodeString(j.Get("ledger").String())
	if box = j.Get("box").String(); !gjson.ValidBytes(text) || err != nil || len(raw) != len(id) || box == "" {
		return "", id, fmt.Errorf("%s: damaged", identityName)
	}
	if v := j.Get("version").Int(); v != 1 {
		return "", id, fmt.Errorf("%s: version %d: %w", identityName, v, ledger.ErrNewer)
	}
	copy(id[:], raw)
	return box, id, nil
}

// identity reads whose ledger the directory holds, or begins one in an empty directory.
func identity(fsys wal.FS, box string) (ledger.ID, error) {
	have, id, err := readIdentity(fsys)
	switch {
	case err == nil && have != box:
		return id, fmt.Errorf("%w: %s, not %s", ErrForeign, have, box)
	case err == nil:
		return id, nil
	case !errors.Is(err, fs.ErrNotExist):
		return id, err
	}
	names, err := fsys.List()
	if err != nil {
		return id, err
	}
	for _, n := range names {
		if strings.HasSuffix(n, ".wal") {
			return id, fmt.Errorf("%s is missing beside %s", identityName, n)
		}
	}
	if _, err := rand.Read(id[:]); err != nil {
		return id, err
	}
	text, err := json.Marshal(map[string]any{"version": 1, "box": box, "ledger": id})
	if err != nil {
		return id, err
	}
	return id, replace(fsys, identityName, append(text, '\n'))
}

// replace writes a file whole or not at all.
func replace(fsys wal.FS, name string, text []byte) error {
	f, err := fsys.Create(name + ".new")
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = fsys.Rename(name+".new", name); err != nil {
		return err
	}
	return fsys.SyncDir()
}

const maxSmall = 8 << 10

// readSmall reads a small file.
func readSmall(fsys wal.FS, name string) ([]byte, error) {
	f, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b := make([]byte, maxSmall)
	n, err := f.ReadAt(b, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if n == len(b) {
		return nil, fmt.Errorf("%s: too large", name)
	}
	return b[:n], nil
}

// Read gives the book of a directory as it is on the disk now, beside a box that writes to it or not, and the
// bytes of the batches that wait. It changes nothing.
func Read(fsys wal.FS, opt Options) (*ledger.Book, [][]byte, error) {
	box, id, err := readIdentity(fsys)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, ErrNone
	}
	if err != nil {
		return nil, nil, err
	}
	for try := 0; ; try++ {
		b := ledger.NewBook(box, id, opt.policy(), 0)
		batches := map[uint64]wal.Position{}
		l, _, err := wal.Open(wal.Options{FS: fsys, Owner: owner(box, id)}, func(_ uint64, at wal.Position, rec []byte) error {
			return replay(b, batches, at, rec)
		})
		if errors.Is(err, fs.ErrNotExist) && try < 10 { // the box has begun a new segment meanwhile
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		b.SetPolicy(opt.policy())
		defer l.Close()
		var out [][]byte
		for _, s := range b.Pending() {
			bytes, err := l.ReadAt(batches[s.Seq])
			if err != nil {
				return nil, nil, fmt.Errorf("batch %d: %w", s.Seq, err)
			}
			out = append(out, bytes)
		}
		return b, out, nil
	}
}

// BatchEnding is how the names of batch files end.
const BatchEnding = ".batch"

// BatchName is the file name of a batch: box, ledger and sequence, in an order that sorts.
func BatchName(b *ledger.Batch) string {
	return fmt.Sprintf("%s-%s-%010d%s", url.PathEscape(b.Box), b.Ledger.String()[:12], b.Seq, BatchEnding)
}

// ErrDiffers is a batch file that is there with other bytes.
var ErrDiffers = errors.New("it is there with other bytes")

// WriteBatch writes a batch file, whole or not at all. One that is there already stays.
func WriteBatch(fsys wal.FS, name string, bytes []byte) error {
	f, err := fsys.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return replace(fsys, name, bytes)
	}
	if err != nil {
		return err
	}
	defer f.Close()
	have := make([]byte, len(bytes))
	size, err := f.Size()
	if err == nil {
		_, err = f.ReadAt(have, 0)
	}
	if size != int64(len(bytes)) || !slices.Equal(have, bytes) {
		return fmt.Errorf("%s: %w", name, ErrDiffers)
	}
	return err
}
