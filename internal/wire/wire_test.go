package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"testing"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	p, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// sample is the batch of three events from the documentation of the wire format.
const sample = "00000003000000570000000000805c5a" +
	"0424000000035d3a91c4000003a9800141c400003f2000000000001100002ee00000073a91f03b7c55d20a6400000e6f2b19" +
	"03f2000000030000004d043f1eb852404000003ed1eb8542f00000" +
	"0406000000050e6f2b19"

func TestReadsTheSampleBatch(t *testing.T) {
	var b Batch
	in := bufio.NewReader(bytes.NewReader(unhex(t, sample)))
	if err := b.Read(in); err != nil {
		t.Fatal(err)
	}
	if b.NowUs != 0x805c5a || len(b.Events) != 3 {
		t.Fatalf("clock %x, %d events", b.NowUs, len(b.Events))
	}
	o, d, a := b.Events[0], b.Events[1], b.Events[2]
	if o.Code != Order || o.Request != 0x5d3a91c4 || o.LeftUs != 240000 || o.Options != HasHint ||
		o.Footprint != 24.5 || o.Standing != 0.625 || o.Origin != 17 || o.WorkUs != 12000 ||
		o.WaitedUs != 1850 || o.Affinity != 0x91f03b7c55d20a64 || o.DupOf != 0x0e6f2b19 {
		t.Errorf("order %+v", o)
	}
	if d.Code != Due || d.Token != 77 || len(d.Gauges) != 4 || d.Gauges[1] != 3 {
		t.Errorf("due %+v", d)
	}
	if a.Code != Aborted || a.Who != 5 || a.Request != 0x0e6f2b19 {
		t.Errorf("aborted %+v", a)
	}
	if err := b.Read(in); err != io.EOF {
		t.Errorf("after the last frame: %v", err)
	}
}

func TestWritesTheSampleReply(t *testing.T) {
	var r Reply
	r.Reset()
	r.Action(Run, 3, 0x5d3a91c4)
	r.Action(SetTimer, 3, 77, 500000)
	r.Text(NoteDown, 5, "two servers known")
	want := unhex(t, "0000003103f2000000035d3a91c40442000000030000004d0007a120"+
		"042e00000005001174776f2073657276657273206b6e6f776e")
	if !bytes.Equal(r.Bytes(), want) {
		t.Fatalf("%x, want %x", r.Bytes(), want)
	}
	r.Reset()
	r.Action(PushBack, 3, 0x0e6f2b19, 250000)
	r.Flag(true)
	if want = unhex(t, "0000000f0438000000030e6f2b190003d09001"); !bytes.Equal(r.Bytes(), want) {
		t.Fatalf("%x, want %x", r.Bytes(), want)
	}
}

func TestMalformedFramesAreRefused(t *testing.T) {
	for name, s := range map[string]string{
		"header cut short":    "00000001000000",
		"body cut short":      "00000001000000100000000000000000" + "0406",
		"impossible length":   "00000001ffffffff0000000000000000",
		"impossible count":    "ffffffff000000060000000000000000" + "043800000001",
		"unknown code":        "00000001000000060000000000000000" + "ffff00000001",
		"record cut short":    "00000001000000080000000000000000" + "0406000000010000",
		"gauges beyond end":   "000000010000000b0000000000000000" + "03f20000000100000001ff",
		"settings beyond end": "00000001000000120000000000000000" + "03e8000000010000000000000001ffffffff",
		"bytes left over":     "00000001000000070000000000000000" + "04380000000100",
	} {
		var b Batch
		if err := b.Read(bufio.NewReader(bytes.NewReader(unhex(t, s)))); !errors.Is(err, ErrFrame) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSettingsIgnoreUnknownKeysAndDefaultToZero(t *testing.T) {
	s, err := ParseSettings([]byte(`{"Novel": [1], "FamilyInfo": {"Cpus": 6, "Odd": "x"}}`))
	if err != nil || s.FamilyInfo.Cpus != 6 || s.FamilyInfo.MemoryKb != 0 {
		t.Fatalf("%+v, %v", s, err)
	}
	if _, err := ParseSettings([]byte(`{"FamilyInfo"`)); err == nil {
		t.Fatal("malformed settings were accepted")
	}
}

func FuzzRead(f *testing.F) {
	f.Add(unhex(f, sample))
	f.Add(unhex(f, "00000000000000000000000000805c5a"))
	f.Add(unhex(f, "00000001ffffffff0000000000000000"))
	f.Add(unhex(f, "00000001000000120000000000000000"+"03e8000000010000000000000001ffffffff"))
	f.Fuzz(func(t *testing.T, p []byte) {
		var b Batch
		in := bufio.NewReader(bytes.NewReader(p))
		for i := 0; i < 8; i++ {
			err := b.Read(in)
			if err == nil {
				continue
			}
			if err != io.EOF && !errors.Is(err, ErrFrame) {
				t.Fatal(err)
			}
			return
		}
	})
}
