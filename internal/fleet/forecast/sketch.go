package forecast

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/limits"
)

// Bounds of sketches on their way.
const (
	Version  = 1
	MaxPart  = 16 << 10 // bytes of one part
	MaxParts = 24
	MaxBoxes = limits.MaxMeshServers
)

// Errors of Add. A part that meets one changes nothing.
var (
	ErrPart    = errors.New("damaged part of a sketch")
	ErrVersion = errors.New("sketch of another version")
	ErrLarge   = errors.New("past the bound of a sketch")
)

// Volume is how often a slice was wanted, by class.
type Volume struct {
	Slice uint16
	N     []float32
}

// Group is what was sampled of a group's slices: weights of wants, by class and age.
type Group struct {
	Group         uint8
	Cover         float64 // seconds times slices
	Miss          [][]float32
	Gaps          [][]float32
	Bytes, ByteMs []float32
}

// Sketch is what a box tells of its stream.
type Sketch struct {
	Box     uint16
	At      int64
	Classes []Class
	Horizon int64
	Seconds float64 // that the volumes are of
	Volumes []Volume
	Groups  []Group
}

// Sketch gives what the sampler has.
func (s *Sampler) Sketch(now int64, box uint16) *Sketch {
	s.settle(now)
	n := len(s.classes)
	out := &Sketch{Box: box, At: now, Classes: s.classes, Horizon: s.horizon, Seconds: s.seconds}
	for i := range Slices {
		v := Volume{Slice: uint16(i)}
		sum := float32(0)
		for c := range n {
			v.N = append(v.N, s.volume[c][i])
			sum += s.volume[c][i]
		}
		if sum > 0 {
			out.Volumes = append(out.Volumes, v)
		}
	}
	for g := range Groups {
		if s.cover[g] <= 0 {
			continue
		}
		x := Group{Group: uint8(g), Cover: s.cover[g], Bytes: append([]float32(nil), s.bytes[g][:]...), ByteMs: append([]float32(nil), s.byteMs[g][:]...)}
		for c := range n {
			x.Miss = append(x.Miss, append([]float32(nil), s.miss[g][c][:]...))
			x.Gaps = append(x.Gaps, append([]float32(nil), s.gaps[g][c][:]...))
		}
		out.Groups = append(out.Groups, x)
	}
	return out
}

// part is one piece of a sketch on its way.
type part struct {
	V     uint8
	I, Of uint8
	Body  []byte // a Sketch with some of its volumes and groups
	Sum   uint64 // xxhash of I, Of and Body
}

func (p *part) sum() uint64 { return xxhash.Sum64(append([]byte{p.V, p.I, p.Of}, p.Body...)) }

// Parts writes a sketch in pieces of at most MaxPart bytes.
func (k *Sketch) Parts() ([][]byte, error) {
	const volumes, groups = 128, 2
	var pieces []Sketch
	head := *k
	head.Volumes, head.Groups = nil, nil
	for i := 0; i < len(k.Volumes); i += volumes {
		x := head
		x.Volumes = k.Volumes[i:min(len(k.Volumes), i+volumes)]
		pieces = append(pieces, x)
	}
	for i := 0; i < len(k.Groups); i += groups {
		x := head
		x.Groups = k.Groups[i:min(len(k.Groups), i+groups)]
		pieces = append(pieces, x)
	}
	if len(pieces) == 0 {
		pieces = append(pieces, head)
	}
	var out [][]byte
	for i := range pieces {
		body, err := cbor.Marshal(&pieces[i])
		if err != nil {
			return nil, fmt.Errorf("sketch of box %d: %w", k.Box, err)
		}
		p := part{V: Version, I: uint8(i), Of: uint8(len(pieces)), Body: body}
		p.Sum = p.sum()
		b, err := cbor.Marshal(&p)
		if err != nil {
			return nil, fmt.Errorf("sketch of box %d: %w", k.Box, err)
		}
		if len(b) > MaxPart || len(pieces) > MaxParts {
			return nil, fmt.Errorf("%d bytes in %d parts: %w", len(b), len(pieces), ErrLarge)
		}
		out = append(out, b)
	}
	return out, nil
}

// Fleet gathers the sketches of all boxes. A sketch replaces its box's last one once all of its parts are there.
type Fleet struct {
	whole map[uint16]*Sketch
	half  map[uint16]*gathering
}

type gathering struct {
	at    int64
	parts []*Sketch
	left  int
}

// NewFleet makes one without sketches.
func NewFleet() *Fleet { return &Fleet{map[uint16]*Sketch{}, map[uint16]*gathering{}} }

// Put takes a whole sketch.
func (f *Fleet) Put(k *Sketch) { f.whole[k.Box] = k }

// Add takes one part. Parts of an older sketch than the box's newest are dropped.
func (f *Fleet) Add(data []byte) error {
	if len(data) > MaxPart {
		return fmt.Errorf("a part of %d bytes, %d at most: %w", len(data), MaxPart, ErrLarge)
	}
	var p part
	if err := cbor.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("%w: %w", ErrPart, err)
	}
	if p.V != Version {
		return fmt.Errorf("version %d, %d wanted: %w", p.V, Version, ErrVersion)
	}
	if p.Sum != p.sum() || p.Of > MaxParts || p.I >= p.Of {
		return fmt.Errorf("part %d of %d: its sum is wrong: %w", p.I, p.Of, ErrPart)
	}
	k := &Sketch{}
	if err := cbor.Unmarshal(p.Body, k); err != nil {
		return fmt.Errorf("part %d of %d: %w: %w", p.I, p.Of, ErrPart, err)
	}
	if err := k.check(); err != nil {
		return err
	}
	if f.half[k.Box] == nil && f.whole[k.Box] == nil && len(f.half)+len(f.whole) >= MaxBoxes {
		return fmt.Errorf("box %d beside %d: %w", k.Box, MaxBoxes, ErrLarge)
	}
	if w := f.whole[k.Box]; w != nil && w.At >= k.At {
		return nil
	}
	h := f.half[k.Box]
	if h == nil || h.at < k.At || len(h.parts) != int(p.Of) {
		h = &gathering{k.At, make([]*Sketch, p.Of), int(p.Of)}
		f.half[k.Box] = h
	}
	if h.at > k.At || h.parts[p.I] != nil {
		return nil
	}
	for _, x := range h.parts {
		if x != nil && (!slices.Equal(x.Classes, k.Classes) || x.Horizon != k.Horizon || x.Seconds != k.Seconds) {
			return fmt.Errorf("part %d of %d is of another sketch than those before it: %w", p.I, p.Of, ErrPart)
		}
	}
	h.parts[p.I] = k
	if h.left--; h.left > 0 {
		return nil
	}
	all := *h.parts[0]
	for _, x := range h.parts[1:] {
		all.Volumes = append(all.Volumes, x.Volumes...)
		all.Groups = append(all.Groups, x.Groups...)
	}
	delete(f.half, k.Box)
	if err := all.check(); err != nil {
		return err
	}
	f.whole[k.Box] = &all
	return nil
}

// check finds what of a sketch's piece cannot be.
func (k *Sketch) check() error {
	bad := func(what string) error { return fmt.Errorf("sketch of box %d: %s: %w", k.Box, what, ErrPart) }
	n := len(k.Classes)
	if n < 1 || n > MaxClasses || len(k.Volumes) > Slices || len(k.Groups) > Groups || k.Horizon < 1<<lives || !(k.Seconds >= 0) {
		return bad("its shape")
	}
	row := func(xs []float32, want int) bool {
		for _, x := range xs {
			if !(x >= 0 && x <= math.MaxFloat32) {
				return false
			}
		}
		return len(xs) == want
	}
	for _, c := range k.Classes {
		if c.For < 1<<lives || c.For > k.Horizon {
			return bad("a class")
		}
	}
	var slice [Slices]bool
	var group [Groups]bool
	for _, v := range k.Volumes {
		if v.Slice >= Slices || slice[v.Slice] || !row(v.N, n) {
			return bad("a volume")
		}
		slice[v.Slice] = true
	}
	for _, g := range k.Groups {
		ok := g.Group < Groups && !group[g.Group] && g.Cover > 0 && len(g.Miss) == n && len(g.Gaps) == n && row(g.Bytes, ages+1) && row(g.ByteMs, ages+1)
		for c := 0; ok && c < n; c++ {
			ok = row(g.Miss[c], lives) && row(g.Gaps[c], ages+1)
		}
		if !ok {
			return bad("a group")
		}
		group[g.Group] = true
	}
	return nil
}
