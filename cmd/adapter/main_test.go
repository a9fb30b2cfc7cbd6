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

type frame struct {
	count uint32
	body  []byte
}

func (f *frame) born(who uint32, text string) {
	f.count++
	f.body = binary.BigEndian.AppendUint16(f.body, wire.Born)
	f.body = binary.BigEndian.AppendUint32(f.body, who)
	f.body = binary.BigEndian.AppendUint64(f.body, 1)
	f.body = binary.BigEndian.AppendUint32(f.body, uint32(len(text)))
	f.body = append(f.body, text...)
}

func (f *frame) order(who, id uint32) {
	f.count++
	p := make([]byte, 50)
	binary.BigEndian.PutUint16(p, wire.Order)
	binary.BigEndian.PutUint32(p[2:], who)
	binary.BigEndian.PutUint32(p[6:], id)
	binary.BigEndian.PutUint32(p[11:], 3000000)
	f.body = append(f.body, p...)
}

func (f *frame) bytes(now uint64) []byte {
	p := binary.BigEndian.AppendUint32(nil, f.count)
	p = binary.BigEndian.AppendUint32(p, uint32(len(f.body)))
	p = binary.BigEndian.AppendUint64(p, now)
	return append(p, f.body...)
}

// actions lists the codes in a stream of replies with no text but GIVE_IN's and NOTE_DOWN's.
func actions(t *testing.T, out []byte) (codes []uint16) {
	t.Helper()
	size := map[uint16]int{wire.Run: 10, wire.Readiness: 8, wire.Say: 10, wire.SetTimer: 14, wire.PushBack: 15}
	for len(out) > 0 {
		n := binary.BigEndian.Uint32(out)
		body := out[4 : 4+n]
		out = out[4+n:]
		for len(body) > 0 {
			code := binary.BigEndian.Uint16(body)
			k, ok := size[code]
			if !ok {
				k = 8 + int(binary.BigEndian.Uint16(body[6:]))
			}
			codes = append(codes, code)
			body = body[k:]
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

func TestHostsInstancesAndEndsWithItsInput(t *testing.T) {
	var in, out bytes.Buffer
	in.Write((&frame{}).bytes(1))
	var f frame
	f.born(1, oneServer)
	f.born(2, oneServer)
	in.Write(f.bytes(2))
	f = frame{}
	f.order(1, 7)
	f.order(2, 8)
	f.order(9, 9) // an instance that was never born
	in.Write(f.bytes(3))
	if err := serve(&in, &out); err != nil {
		t.Fatal(err)
	}
	if codes := actions(t, out.Bytes()); count(codes, wire.Run) != 2 || count(codes, wire.GiveIn) != 0 {
		t.Fatalf("actions %v", codes)
	}
}

func TestBadSettingsGiveInForThatInstanceAlone(t *testing.T) {
	for _, bad := range []string{`{`, `{"Safety": {"FallUs": -1}}`} {
		var in, out bytes.Buffer
		var f frame
		f.born(1, bad)
		f.born(2, oneServer)
		f.order(1, 7)
		f.order(2, 8)
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

func TestABrokenStreamIsAnError(t *testing.T) {
	err := serve(strings.NewReader("not a frame"), &bytes.Buffer{})
	if err == nil {
		t.Fatal("no error")
	}
}
