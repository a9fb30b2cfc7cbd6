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

// maxBatch limits the bytes of one request, unless a single message is larger.
const maxBatch = 1 << 20

// outgoingMessage is a raft message to send.
type outgoingMessage struct {
	data     []byte
	snapshot bool
}

// sender sends messages and reports to one server, over one connection. Messages that find no room in a queue are
// dropped: raft sends them again, and of the reports only the newest counts.
type sender struct {
	d              *Driver
	addr           string
	id             uint64
	messages       chan outgoingMessage
	moduleMessages chan moduleMessage // from modules
	reports        chan queuedReport  // only the newest
	stop           context.CancelFunc
}

type queuedReport struct {
	path string
	data []byte
}

func newSender(ctx context.Context, d *Driver, name, addr string, id uint64) *sender {
	ctx, stop := context.WithCancel(ctx)
	s := &sender{d: d, addr: addr, id: id, messages: make(chan outgoingMessage, maxQueuedMessages), moduleMessages: make(chan moduleMessage, maxQueuedMessages), reports: make(chan queuedReport, 1), stop: stop}
	go s.run(ctx, d.link.Dial(name, addr))
	return s
}

func (s *sender) close() { s.stop() }

// queueMessage queues a raft message; false = the queue is full, or there is no such server.
func (s *sender) queueMessage(m outgoingMessage) bool {
	if s == nil {
		return false
	}
	select {
	case s.messages <- m:
		return true
	default:
		return false
	}
}

// queueModuleMessage queues a module's message; false = the queue is full, or there is no such server.
func (s *sender) queueModuleMessage(m moduleMessage) bool {
	if s == nil {
		return false
	}
	select {
	case s.moduleMessages <- m:
		return true
	default:
		return false
	}
}

// queueReport queues a report, which replaces one that is still queued.
func (s *sender) queueReport(path string, data []byte) {
	if s == nil {
		return
	}
	select {
	case <-s.reports:
	default:
	}
	s.reports <- queuedReport{path, data}
}

func (s *sender) run(ctx context.Context, c *link.Client) {
	defer c.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-s.reports:
			s.post(ctx, c, report.path, report.data)
		case m := <-s.moduleMessages:
			s.sendModuleMessages(ctx, c, m)
		case m := <-s.messages:
			s.sendMessages(ctx, c, m)
		}
	}
}

// sendModuleMessages sends the queued messages of modules in one request. Modules have to repeat messages that are
// lost.
func (s *sender) sendModuleMessages(ctx context.Context, c *link.Client, m moduleMessage) {
	body := appendFrame(nil, s.d.selfFrame)
	for more := true; more; {
		body = appendFrame(appendFrame(body, []byte(m.module)), m.data)
		if len(body) > maxBatch {
			break
		}
		select {
		case m = <-s.moduleMessages:
		default:
			more = false
		}
	}
	s.post(ctx, c, "/fleet/part", body)
}

// appendFrame appends a message behind its length.
func appendFrame(buf, data []byte) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(data))), data...)
}

func (s *sender) post(ctx context.Context, c *link.Client, path string, body []byte) bool {
	ctx, stop := context.WithTimeout(ctx, link.RequestTimeout)
	defer stop()
	_, err := c.Post(ctx, path, body)
	return err == nil
}

// sendMessages sends the queued raft messages in one request.
func (s *sender) sendMessages(ctx context.Context, c *link.Client, m outgoingMessage) {
	body := appendFrame(nil, s.d.selfFrame)
	snapshot := false
	for more := true; more; {
		body = appendFrame(body, m.data)
		snapshot = snapshot || m.snapshot
		if len(body) > maxBatch {
			break
		}
		select {
		case m = <-s.messages:
		default:
			more = false
		}
	}
	ok := s.post(ctx, c, "/fleet/messages", body)
	if ok && !snapshot || ctx.Err() != nil {
		return
	}
	s.d.enqueue(func() {
		if !ok {
			s.d.node.ReportUnreachable(s.id)
		}
		if snapshot {
			s.d.node.ReportSnapshot(s.id, ok)
		}
	})
	if !ok { // a server that fails at once is not called again at full speed
		select {
		case <-ctx.Done():
		case <-time.After(tick):
		}
	}
}

// readFrames reads the messages of one request, each behind its length.
func readFrames(r io.Reader, limit int) (out [][]byte, err error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, fmt.Errorf("more than %d bytes", limit)
	}
	for len(body) > 0 {
		size, headerLen := binary.Uvarint(body)
		if headerLen <= 0 || size > uint64(len(body)-headerLen) {
			return nil, errors.New("a message is cut short")
		}
		out = append(out, body[headerLen:headerLen+int(size)])
		body = body[headerLen+int(size):]
	}
	return out, nil
}
