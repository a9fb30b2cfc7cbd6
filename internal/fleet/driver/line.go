package driver

import (
	"context"
	"encoding/binary"
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
	notes  chan note // the newest
	stop   context.CancelFunc
}

type note struct {
	path string
	data []byte
}

func newLine(ctx context.Context, d *Driver, name, addr string, id uint64) *line {
	ctx, stop := context.WithCancel(ctx)
	l := &line{d: d, addr: addr, id: id, frames: make(chan frame, maxFrames), notes: make(chan note, 1), stop: stop}
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
		case f := <-l.frames:
			l.carry(ctx, c, f)
		}
	}
}

func (l *line) post(ctx context.Context, c *link.Client, path string, body []byte) bool {
	ctx, stop := context.WithTimeout(ctx, link.Within)
	defer stop()
	_, err := c.Post(ctx, path, body)
	return err == nil
}

// carry sends what waits in one request.
func (l *line) carry(ctx context.Context, c *link.Client, f frame) {
	body := append(binary.AppendUvarint(nil, uint64(len(l.d.hello))), l.d.hello...)
	snapshot := false
	for more := true; more; {
		body = append(binary.AppendUvarint(body, uint64(len(f.data))), f.data...)
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
