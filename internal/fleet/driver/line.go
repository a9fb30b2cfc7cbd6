package driver

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"larchscale/internal/link"
)

// maxBatch bounds the bytes of one request, but for a message that is larger by itself.
const maxBatch = 1 << 20

// frame is a message on its way.
type frame struct {
	data     []byte
	snapshot bool
}

// line carries messages and reports to one box, in order, over one connection. What does not fit is dropped: raft
// says it again, and only the newest report counts.
type line struct {
	d      *Driver
	addr   string
	id     uint64
	frames chan frame
	words  chan word // of modules
	notes  chan note // the newest
	stop   context.CancelFunc
}

type note struct {
	path string
	data []byte
}

func newLine(ctx context.Context, d *Driver, name, addr string, id uint64) *line {
	ctx, stop := context.WithCancel(ctx)
	l := &line{d: d, addr: addr, id: id, frames: make(chan frame, maxFrames), words: make(chan word, maxFrames), notes: make(chan note, 1), stop: stop}
	go l.run(ctx, d.link.Dial(name, addr))
	return l
}

func (l *line) close() { l.stop() }

// send takes a message; false = there is no room, or nobody to send it to.
func (l *line) send(f frame) bool {
	if l == nil {
		return false
	}
	select {
	case l.frames <- f:
		return true
	default:
		return false
	}
}

// say takes a module's message; false = there is no room, or nobody to say it to.
func (l *line) say(w word) bool {
	if l == nil {
		return false
	}
	select {
	case l.words <- w:
		return true
	default:
		return false
	}
}

// tell takes a report in the place of one that waits.
func (l *line) tell(path string, data []byte) {
	if l == nil {
		return
	}
	select {
	case <-l.notes:
	default:
	}
	l.notes <- note{path, data}
}

func (l *line) run(ctx context.Context, c *link.Client) {
	defer c.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-l.notes:
			l.post(ctx, c, n.path, n.data)
		case w := <-l.words:
			l.speak(ctx, c, w)
		case f := <-l.frames:
			l.carry(ctx, c, f)
		}
	}
}

// speak sends what modules say in one request. What does not come is theirs to say again.
func (l *line) speak(ctx context.Context, c *link.Client, w word) {
	body := framed(nil, l.d.hello)
	for more := true; more; {
		body = framed(framed(body, []byte(w.part)), w.data)
		if len(body) > maxBatch {
			break
		}
		select {
		case w = <-l.words:
		default:
			more = false
		}
	}
	l.post(ctx, c, "/fleet/part", body)
}

// framed puts a message behind its length.
func framed(to, data []byte) []byte {
	return append(binary.AppendUvarint(to, uint64(len(data))), data...)
}

func (l *line) post(ctx context.Context, c *link.Client, path string, body []byte) bool {
	ctx, stop := context.WithTimeout(ctx, link.Within)
	defer stop()
	_, err := c.Post(ctx, path, body)
	return err == nil
}

// carry sends what waits in one request.
func (l *line) carry(ctx context.Context, c *link.Client, f frame) {
	body := framed(nil, l.d.hello)
	snapshot := false
	for more := true; more; {
		body = framed(body, f.data)
		snapshot = snapshot || f.snapshot
		if len(body) > maxBatch {
			break
		}
		select {
		case f = <-l.frames:
		default:
			more = false
		}
	}
	ok := l.post(ctx, c, "/fleet/messages", body)
	if ok && !snapshot || ctx.Err() != nil {
		return
	}
	l.d.enter(func() {
		if !ok {
			l.d.node.Unreachable(l.id)
		}
		if snapshot {
			l.d.node.SnapshotSent(l.id, ok)
		}
	})
	if !ok { // a box that refuses at once is not asked again at full speed
		select {
		case <-ctx.Done():
		case <-time.After(tick):
		}
	}
}

// frames reads the messages of one request, each behind its length.
func frames(in io.Reader, limit int) (out [][]byte, err error) {
	all, err := io.ReadAll(io.LimitReader(in, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(all) > limit {
		return nil, fmt.Errorf("more than %d bytes", limit)
	}
	for len(all) > 0 {
		n, k := binary.Uvarint(all)
		if k <= 0 || n > uint64(len(all)-k) {
			return nil, errors.New("a message is cut short")
		}
		out = append(out, all[k:k+int(n)])
		all = all[k+int(n):]
	}
	return out, nil
}
