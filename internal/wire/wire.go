// Package wire reads and writes the binary frames that carry events to instances of the controller and actions back.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// MaxFrame is the maximum size of the body of a batch, in bytes; a longer one indicates a corrupt stream.
const MaxFrame = 256 << 20

// Codes of the events.
const (
	Born    = 1000 // an instance starts
	Due     = 1010 // the timer of an instance fires
	Done    = 1020 // a run has ended
	Aborted = 1030 // the caller has canceled a request
	Called  = 1040 // a call of a run has ended
	Notice  = 1050 // the instance is to shut down within LeftUs
	Order   = 1060 // a request arrives
	Blocked = 1070 // a run waits for the reply to a call
	Kill    = 1080 // an instance ends
)

// Codes of the actions.
const (
	Keepalive = 1000 // set the time after which idle connections are closed
	Run       = 1010 // start a request
	GiveIn    = 1020 // the instance has failed, with the error as text
	Readiness = 1030 // report the health
	CallBelow = 1040 // make the downstream call of a run
	Replay    = 1050 // answer a request with a kept result
	Erase     = 1060 // drop the kept result of a request
	NoteDown  = 1070 // log a text
	PushBack  = 1080 // refuse a request
	SetTimer  = 1090 // set the timer of the instance
	Abort     = 1100 // fail a request
	Pin       = 1110 // keep the result of a request
	Yank      = 1120 // stop a run
	Say       = 1130 // advertise the level of the server
	GoOn      = 1140 // have a run continue without its call
)

// Bits of Event.Options.
const (
	HasHint  = 1 // WorkUs is set
	IsRetry  = 2
	IsWrite  = 4
	orderLen = 50 // bytes of an Order record
)

// Event is one record of a batch. Which fields are set depends on Code.
type Event struct {
	Code      uint16
	Who       uint32
	Request   uint32
	Class     uint8
	Options   uint8
	LeftUs    uint32
	WaitedUs  uint32
	WorkUs    uint32
	RttUs     uint32
	Reason    uint16
	Footprint float32
	Standing  float32
	Origin    uint32
	Affinity  uint64
	Group     uint16
	DupOf     uint32
	Token     uint32
	Seed      uint64
	Settings  []byte
	Gauges    []float32
}

// Batch is one frame of events. Its slices are valid until the next Read.
type Batch struct {
	NowUs  uint64
	Events []Event
	body   []byte
}

// ErrFrame is wrapped by every error about a malformed frame.
var ErrFrame = errors.New("malformed frame")

// Read reads the next batch into b. It returns io.EOF only if the input ends between two frames.
func (b *Batch) Read(in *bufio.Reader) error {
	var head [16]byte
	if _, err := io.ReadFull(in, head[:]); err == io.EOF {
		return io.EOF
	} else if err != nil {
		return fmt.Errorf("%w: header cut short: %v", ErrFrame, err)
	}
	count := binary.BigEndian.Uint32(head[:])
	size := binary.BigEndian.Uint32(head[4:])
	b.NowUs = binary.BigEndian.Uint64(head[8:])
	if size > MaxFrame {
		return fmt.Errorf("%w: body of %d bytes", ErrFrame, size)
	}
	if uint64(count)*6 > uint64(size) {
		return fmt.Errorf("%w: %d records in %d bytes", ErrFrame, count, size)
	}
	if err := b.fill(in, int(size)); err != nil {
		return fmt.Errorf("%w: body cut short: %v", ErrFrame, err)
	}
	b.Events = b.Events[:0]
	rest := b.body
	for i := uint32(0); i < count; i++ {
		var e Event
		n, err := e.read(rest)
		if err != nil {
			return fmt.Errorf("%w: record %d of %d: %v", ErrFrame, i+1, count, err)
		}
		b.Events = append(b.Events, e)
		rest = rest[n:]
	}
	if len(rest) > 0 {
		return fmt.Errorf("%w: %d bytes after the last record", ErrFrame, len(rest))
	}
	return nil
}

// fill reads the body in steps, so that memory grows only with the bytes that actually arrive.
func (b *Batch) fill(in *bufio.Reader, size int) error {
	const step = 1 << 20
	b.body = b.body[:0]
	for len(b.body) < size {
		start, n := len(b.body), min(size-len(b.body), step)
		if cap(b.body) < start+n {
			b.body = append(make([]byte, 0, max(2*cap(b.body), start+n)), b.body...)
		}
		b.body = b.body[:start+n]
		if _, err := io.ReadFull(in, b.body[start:]); err != nil {
			return err
		}
	}
	return nil
}

// fixedLen holds the length of the fixed part of each event record, in bytes.
var fixedLen = map[uint16]int{Born: 18, Due: 11, Done: 16, Aborted: 10, Called: 16, Notice: 10,
	Order: orderLen, Blocked: 10, Kill: 6}

// read decodes the record at the start of p and returns its length.
func (e *Event) read(p []byte) (int, error) {
	u16, u32 := binary.BigEndian.Uint16, binary.BigEndian.Uint32
	if len(p) < 6 {
		return 0, errors.New("cut short")
	}
	e.Code, e.Who = u16(p), u32(p[2:])
	recordLen, ok := fixedLen[e.Code]
	if !ok {
		return 0, fmt.Errorf("unknown code %d", e.Code)
	}
	if len(p) < recordLen {
		return 0, fmt.Errorf("code %d cut short", e.Code)
	}
	switch e.Code {
	case Born:
		e.Seed = binary.BigEndian.Uint64(p[6:])
		size := u32(p[14:])
		if uint64(size) > uint64(len(p)-recordLen) {
			return 0, fmt.Errorf("settings of %d bytes in %d", size, len(p)-recordLen)
		}
		e.Settings = p[recordLen : recordLen+int(size)]
		recordLen += int(size)
	case Due:
		e.Token = u32(p[6:])
		gaugeCount := int(p[10])
		if len(p) < recordLen+4*gaugeCount {
			return 0, fmt.Errorf("%d gauges in %d bytes", gaugeCount, len(p)-recordLen)
		}
		e.Gauges = make([]float32, gaugeCount)
		for i := range e.Gauges {
			e.Gauges[i] = math.Float32frombits(u32(p[recordLen+4*i:]))
		}
		recordLen += 4 * gaugeCount
	case Done, Called:
		e.Request, e.RttUs, e.Reason = u32(p[6:]), u32(p[10:]), u16(p[14:])
	case Aborted, Blocked:
		e.Request = u32(p[6:])
	case Notice:
		e.LeftUs = u32(p[6:])
	case Order:
		e.Request, e.Class, e.LeftUs, e.Options = u32(p[6:]), p[10], u32(p[11:]), p[15]
		e.Footprint = math.Float32frombits(u32(p[16:]))
		e.Standing = math.Float32frombits(u32(p[20:]))
		e.Origin, e.WorkUs, e.WaitedUs = u32(p[24:]), u32(p[28:]), u32(p[32:])
		e.Affinity = binary.BigEndian.Uint64(p[36:])
		e.Group, e.DupOf = u16(p[44:]), u32(p[46:])
	}
	return recordLen, nil
}

// Reply collects the actions for one batch in a frame.
type Reply struct{ buf []byte }

// Reset empties the reply.
func (r *Reply) Reset() { r.buf = append(r.buf[:0], 0, 0, 0, 0) }

// head appends the code and the instance of a record.
func (r *Reply) head(code uint16, who uint32) {
	r.buf = binary.BigEndian.AppendUint16(r.buf, code)
	r.buf = binary.BigEndian.AppendUint32(r.buf, who)
}

// Action appends a record with 32-bit fields for instance who.
func (r *Reply) Action(code uint16, who uint32, fields ...uint32) {
	r.head(code, who)
	for _, f := range fields {
		r.buf = binary.BigEndian.AppendUint32(r.buf, f)
	}
}

// Flag appends one byte to the last record: 1 for true.
func (r *Reply) Flag(on bool) {
	b := byte(0)
	if on {
		b = 1
	}
	r.buf = append(r.buf, b)
}

// Text appends a record that carries a text, cut at 65535 bytes.
func (r *Reply) Text(code uint16, who uint32, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.head(code, who)
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(text)))
	r.buf = append(r.buf, text...)
}

// Bytes completes the frame and returns it; it is valid until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf, uint32(len(r.buf)-4))
	return r.buf
}
