package uwsgi

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchscale/control"
	"larchscale/internal/core"
)

// Options is the operator's table [uwsgi].
type Options struct {
	Listen   string   `toml:"listen"`    // "host:port", or ":port" on the platform's own host; empty = no front
	Prefix   string   `toml:"prefix"`    // PATH_INFO is this and the class
	Health   string   `toml:"health"`    // PATH_INFO of health checks; empty = none
	MaxBody  int      `toml:"max_body"`  // bytes
	MaxConns int      `toml:"max_conns"` // open at a time
	ReadMs   int      `toml:"read_ms"`   // a packet has to come within
	HeldKB   float64  `toml:"held_kb"`   // memory booked for a request that does not tell
	Vars     Vars     `toml:"vars"`
	Below    []string `toml:"below"`     // uwsgi servers for calls below; empty = the platform's index
	MaxCalls int      `toml:"max_calls"` // in hand at a time to those
}

// Vars names the variables that a request's figures come in; an empty name is never looked up.
type Vars struct {
	Tenant string `toml:"tenant"`
	Budget string `toml:"deadline"`
	Token  string `toml:"token"`
	User   string `toml:"user"`
	Rank   string `toml:"rank"`
	Memory string `toml:"memory"`
	Caller string `toml:"caller"`
}

// Defaults is what holds where the operator's file says nothing.
func Defaults() Options {
	return Options{Prefix: "/", Health: "/status", MaxBody: 2 << 10, MaxConns: 128, ReadMs: 2000, HeldKB: 64, MaxCalls: 128,
		Vars: Vars{Tenant: "HTTP_X_STAND", Budget: "HTTP_X_BUDGET_MS", Token: "HTTP_IDEMPOTENCY_KEY",
			User: "REMOTE_USER", Rank: "HTTP_X_RANK", Memory: "HTTP_X_HELD_KB", Caller: "REMOTE_ADDR"}}
}

const (
	maxToken = 128
	maxWait  = 1 << 32 // milliseconds
	maxHeld  = 2000    // kilobytes
)

// request makes the core's request of a packet. A class below 0 is unknown; problem is for a 400.
func (o *Options) request(v vars, body []byte, site *core.Site, bands rankBands, arrived time.Time) (q core.Incoming, problem string) {
	q = core.Incoming{Handle: handle(), Arrived: arrived, Body: body, Class: -1}
	if name, ok := strings.CutPrefix(v.get("PATH_INFO"), o.Prefix); ok {
		q.Class = site.Class(name)
	}
	if q.Class < 0 {
		return q, ""
	}
	q.Tenant = site.Tenant(v.get(o.Vars.Tenant))
	q.Token = v.get(o.Vars.Token)
	if len(q.Token) > maxToken || site.Keyed(q.Class) && q.Token == "" {
		return q, "a keyed class needs a token of 1 to 128 bytes"
	}
	q.Caller = uint32(hash(v.get(o.Vars.Caller)))
	if ms, told, ok := figure(v.get(o.Vars.Budget), maxWait); !ok {
		return q, "the deadline is no number of milliseconds"
	} else if told {
		q.Budget = max(time.Duration(ms*float64(time.Millisecond)), time.Millisecond)
	}
	kb, told, ok := figure(v.get(o.Vars.Memory), maxHeld)
	if !ok {
		return q, "the memory is no number of kilobytes"
	}
	if q.Memory = o.HeldKB; told && kb > 0 {
		q.Memory = kb
	}
	rank, told, ok := figure(v.get(o.Vars.Rank), 1)
	if !ok {
		return q, "the rank is not from 0 to 1"
	}
	if q.Rank = rank; !told {
		user := v.get(o.Vars.User)
		if user == "" { // nobody in particular: a place of its own, so that no bin fills with such
			user = q.Handle
		}
		q.Rank = bands.rank(q.Class, user)
	}
	return q, ""
}

// figure reads an optional number from 0 to limit.
func figure(s string, limit float64) (x float64, told, ok bool) {
	if s == "" {
		return 0, false, true
	}
	x, err := strconv.ParseFloat(s, 64)
	return x, true, err == nil && x >= 0 && x <= limit
}

// rankBands are the ranks of requests that tell none: an equal band for each worth, the lowest first.
type rankBands struct {
	byClass []float64 // index of the band of each class
	count   float64
}

func newRankBands(classes []control.Class) rankBands {
	worths := make([]float64, len(classes))
	for i, class := range classes {
		worths[i] = class.Worth
	}
	slices.Sort(worths)
	worths = slices.Compact(worths)
	bands := rankBands{byClass: make([]float64, len(classes)), count: float64(len(worths))}
	for i, class := range classes {
		band, _ := slices.BinarySearch(worths, class.Worth)
		bands.byClass[i] = float64(band)
	}
	return bands
}

// rank returns a rank in the band of a class; its place in the band is the user's own.
func (b rankBands) rank(class int, user string) float64 {
	place := float64(hash(user)>>11) / (1 << 53)
	return (b.byClass[class] + place) / b.count
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	x := h.Sum64() // the high bits of FNV hardly move for short names: mix them
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// handle is a new name for a try, 16 hex digits.
func handle() string { return fmt.Sprintf("%016x", rand.Uint64()) }
