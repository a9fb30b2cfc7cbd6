package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"larchscale/internal/wire"
)

const oneServer = `{"Servers": 2, "QuantumUs": 5000, "RequestClasses": [{"AimUs": 1000000,
 "GiveUpUs": 3000000, "Effect": "repeatable", "Importance": 1}], "FamilyInfo": {"Cpus": 2,
 "Advert": "level", "RunFactor": 8, "OwnStats": ["core_use", "on_cores"]},
 "Safety": {"FallMultiple": 5, "FallUs": 2000000}, "Unknown": 1}`

// frame builds a batch of events.
type frame struct {
	count uint32
	body  []byte
}

// start adds the event that creates a worker with settings in JSON.
func (f *frame) start(number uint32, settings string) {
	f.count++
	f.body = binary.BigEndian.AppendUint16(f.body, wire.Born)
	f.body = binary.BigEndian.AppendUint32(f.body, number)
	f.body = binary.BigEndian.AppendUint64(f.body, 1)
	f.body = binary.BigEndian.AppendUint32(f.body, uint32(len(settings)))
	f.body = append(f.body, settings...)
}

// request adds the arrival of a request with three seconds left.
func (f *frame) request(number, id uint32) {
	f.count++
	event := make([]byte, 50)
	binary.BigEndian.PutUint16(event, wire.Order)
	binary.BigEndian.PutUint32(event[2:], number)
	binary.BigEndian.PutUint32(event[6:], id)
	binary.BigEndian.PutUint32(event[11:], 3000000)
	f.body = append(f.body, event...)
}

// bytes returns the batch as the simulator sends it.
func (f *frame) bytes(now uint64) []byte {
	batch := binary.BigEndian.AppendUint32(nil, f.count)
	batch = binary.BigEndian.AppendUint32(batch, uint32(len(f.body)))
	batch = binary.BigEndian.AppendUint64(batch, now)
	return append(batch, f.body...)
}

// actions returns the action codes in a stream of replies. Actions with an unlisted size carry a text (GIVE_IN,
// NOTE_DOWN).
func actions(t *testing.T, out []byte) (codes []uint16) {
	t.Helper()
	sizes := map[uint16]int{wire.Run: 10, wire.Readiness: 8, wire.Say: 10, wire.SetTimer: 14, wire.PushBack: 15}
	for len(out) > 0 {
		length := binary.BigEndian.Uint32(out)
		body := out[4 : 4+length]
		out = out[4+length:]
		for len(body) > 0 {
			code := binary.BigEndian.Uint16(body)
			size, ok := sizes[code]
			if !ok {
				size = 8 + int(binary.BigEndian.Uint16(body[6:]))
			}
			codes = append(codes, code)
			body = body[size:]
		}
	}
	return codes
}

func count(codes []uint16, code uint16) (n int) {
	for _, c := range codes {
		if c == code {
			n++
		}
	}
	return n
}

// Each worker gets its own events; those of a worker that does not exist are ignored.
func TestHostsWorkersUntilTheInputEnds(t *testing.T) {
	var in, out bytes.Buffer
	in.Write((&frame{}).bytes(1))
	var f frame
	f.start(1, oneServer)
	f.start(2, oneServer)
	in.Write(f.bytes(2))
	f = frame{}
	f.request(1, 7)
	f.request(2, 8)
	f.request(9, 9) // a worker that does not exist
	in.Write(f.bytes(3))
	if err := serve(&in, &out); err != nil {
		t.Fatal(err)
	}
	if codes := actions(t, out.Bytes()); count(codes, wire.Run) != 2 || count(codes, wire.GiveIn) != 0 {
		t.Fatalf("actions %v", codes)
	}
}

// Invalid settings of one worker disable it, and no other.
func TestInvalidSettingsDisableOnlyThatWorker(t *testing.T) {
	for _, bad := range []string{`{`, `{"Safety": {"FallUs": -1}}`} {
		var in, out bytes.Buffer
		var f frame
		f.start(1, bad)
		f.start(2, oneServer)
		f.request(1, 7)
		f.request(2, 8)
		in.Write(f.bytes(2))
		if err := serve(&in, &out); err != nil {
			t.Fatal(err)
		}
		codes := actions(t, out.Bytes())
		if count(codes, wire.GiveIn) != 1 || count(codes, wire.Run) != 1 {
			t.Fatalf("settings %s: actions %v", bad, codes)
		}
	}
}

func TestInvalidBatchIsAnError(t *testing.T) {
	err := serve(strings.NewReader("not a frame"), &bytes.Buffer{})
	if err == nil {
		t.Fatal("no error for an invalid batch")
	}
}
