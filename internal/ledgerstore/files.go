package ledgerstore

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

const identityFileName = "identity.json"

// ErrOtherServer reports a directory that holds the ledger of another server.
var ErrOtherServer = errors.New("it is another box's ledger")

// ErrNoLedger reports a directory without a ledger.
var ErrNoLedger = errors.New("the directory holds no ledger")

func logOwner(server string, id ledger.ID) (owner wal.Owner) {
	h := sha256.Sum256(append([]byte(server+"\x00"), id[:]...))
	copy(owner[:], h[:])
	return owner
}

// readIdentity returns the server and the ID of the ledger in the directory.
func readIdentity(fsys wal.FS) (server string, id ledger.ID, err error) {
	text, err := readSmallFile(fsys, identityFileName)
	if err != nil {
		return "", id, err
	}
	fields := gjson.ParseBytes(text)
	raw, err := hex.DecodeString(fields.Get("ledger").String())
	if server = fields.Get("box").String(); !gjson.ValidBytes(text) || err != nil || len(raw) != len(id) || server == "" {
		return "", id, fmt.Errorf("%s: damaged", identityFileName)
	}
	if v := fields.Get("version").Int(); v != 1 {
		return "", id, fmt.Errorf("%s: version %d: %w", identityFileName, v, ledger.ErrNewer)
	}
	copy(id[:], raw)
	return server, id, nil
}

// openIdentity returns the ID of the ledger in the directory, and creates one in an empty directory. It fails if the
// directory belongs to another server.
func openIdentity(fsys wal.FS, server string) (ledger.ID, error) {
	owner, id, err := readIdentity(fsys)
	switch {
	case err == nil && owner != server:
		return id, fmt.Errorf("%w: %s, not %s", ErrOtherServer, owner, server)
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
			return id, fmt.Errorf("%s is missing although %s exists", identityFileName, n)
		}
	}
	if _, err := rand.Read(id[:]); err != nil {
		return id, err
	}
	text, err := json.Marshal(map[string]any{"version": 1, "box": server, "ledger": id})
	if err != nil {
		return id, err
	}
	return id, replaceFile(fsys, identityFileName, append(text, '\n'))
}

// replaceFile writes a file atomically: after a crash it has either its old or its new content.
func replaceFile(fsys wal.FS, name string, text []byte) error {
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

const maxSmallFileBytes = 8 << 10

// readSmallFile reads a file of less than maxSmallFileBytes bytes.
func readSmallFile(fsys wal.FS, name string) ([]byte, error) {
	f, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b := make([]byte, maxSmallFileBytes)
	n, err := f.ReadAt(b, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if n == len(b) {
		return nil, fmt.Errorf("%s: too large", name)
	}
	return b[:n], nil
}

// ReadLedger returns the state of the ledger on disk and the bytes of its pending batches. It changes nothing and may run
// while the server writes to the directory.
func ReadLedger(fsys wal.FS, opt Options) (*ledger.Book, [][]byte, error) {
	server, id, err := readIdentity(fsys)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, ErrNoLedger
	}
	if err != nil {
		return nil, nil, err
	}
	for try := 0; ; try++ {
		book := ledger.NewBook(server, id, opt.policy(), 0)
		batches := map[uint64]wal.Position{}
		log, _, err := wal.Open(wal.Options{FS: fsys, Owner: logOwner(server, id)}, func(_ uint64, at wal.Position, rec []byte) error {
			return replay(book, batches, at, rec)
		})
		if errors.Is(err, fs.ErrNotExist) && try < 10 { // the server has rolled to a new segment meanwhile
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		book.SetPolicy(opt.policy())
		defer log.Close()
		var out [][]byte
		for _, s := range book.Pending() {
			bytes, err := log.ReadAt(batches[s.Seq])
			if err != nil {
				return nil, nil, fmt.Errorf("batch %d: %w", s.Seq, err)
			}
			out = append(out, bytes)
		}
		return book, out, nil
	}
}

// BatchSuffix is the suffix of batch file names.
const BatchSuffix = ".batch"

// BatchName returns the file name of a batch, made of server, ledger and sequence number so that names sort in
// sequence order.
func BatchName(batch *ledger.Batch) string {
	return fmt.Sprintf("%s-%s-%010d%s", url.PathEscape(batch.Box), batch.Ledger.String()[:12], batch.Seq, BatchSuffix)
}

// ErrBatchDiffers reports an existing batch file with different content.
var ErrBatchDiffers = errors.New("the file exists with different content")

// WriteBatch writes a batch file atomically. An existing file is kept; it is an error if its content differs.
func WriteBatch(fsys wal.FS, name string, bytes []byte) error {
	f, err := fsys.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return replaceFile(fsys, name, bytes)
	}
	if err != nil {
		return err
	}
	defer f.Close()
	existing := make([]byte, len(bytes))
	size, err := f.Size()
	if err == nil {
		_, err = f.ReadAt(existing, 0)
	}
	if size != int64(len(bytes)) || !slices.Equal(existing, bytes) {
		return fmt.Errorf("%s: %w", name, ErrBatchDiffers)
	}
	return err
}
