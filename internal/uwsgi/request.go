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

// Options is the table [uwsgi] of the operator's file.
type Options struct {
	Listen            string   `toml:"listen"`    // "host:port", or ":port" on the platform's own host; empty for no front
	PathPrefix        string   `toml:"prefix"`    // precedes the class in PATH_INFO
	HealthPath        string   `toml:"health"`    // PATH_INFO of health checks; empty for none
	MaxBody           int      `toml:"max_body"`  // bytes
	MaxConns          int      `toml:"max_conns"` // open connections
	ReadTimeoutMs     int      `toml:"read_ms"`   // time limit for a complete packet
	DefaultMemoryKB   float64  `toml:"held_kb"`   // memory in kilobytes of a request without its own value
	Vars              Vars     `toml:"vars"`
	DownstreamServers []string `toml:"below"`     // uwsgi servers for downstream calls; empty for the platform's index
	MaxCalls          int      `toml:"max_calls"` // in flight to those servers
}

// Vars names the variables that carry the properties of a request; one with an empty name is not read.
type Vars struct {
	Tenant   string `toml:"tenant"`
	Deadline string `toml:"deadline"`
	Token    string `toml:"token"`
	User     string `toml:"user"`
	Rank     string `toml:"rank"`
	Memory   string `toml:"memory"`
	Caller   string `toml:"caller"`
}

// Defaults returns the options that apply where the operator's file sets none.
func Defaults() Options {
	return Options{PathPrefix: "/", HealthPath: "/status", MaxBody: 2 << 10, MaxConns: 128, ReadTimeoutMs: 2000, DefaultMemoryKB: 64, MaxCalls: 128,
		Vars: Vars{Tenant: "HTTP_X_STAND", Deadline: "HTTP_X_BUDGET_MS", Token: "HTTP_IDEMPOTENCY_KEY",
			User: "REMOTE_USER", Rank: "HTTP_X_RANK", Memory: "HTTP_X_HELD_KB", Caller: "REMOTE_ADDR"}}
}

const (
	maxToken    = 128 // bytes
	maxWaitMs   = 1 << 32
	maxMemoryKB = 2000
)

// request converts a packet to a request of the core. Its class is -1 if it is unknown. A problem is the body of a 400
// response.
func (o *Options) request(variables vars, body []byte, site *core.Config, bands rankBands, arrived time.Time) (q core.IncomingRequest, problem string) {
	q = core.IncomingRequest{Handle: newHandle(), Arrived: arrived, Body: body, Class: -1}
	if name, ok := strings.CutPrefix(variables.get("PATH_INFO"), o.PathPrefix); ok {
		q.Class = site.ClassIndex(name)
	}
	if q.Class < 0 {
		return q, ""
	}
	q.Tenant = site.TenantIndex(variables.get(o.Vars.Tenant))
	q.Token = variables.get(o.Vars.Token)
	if len(q.Token) > maxToken || site.Keyed(q.Class) && q.Token == "" {
		return q, "a keyed class needs a token of 1 to 128 bytes"
	}
	q.Caller = uint32(hash(variables.get(o.Vars.Caller)))
	if ms, given, ok := parseNumber(variables.get(o.Vars.Deadline), maxWaitMs); !ok {
		return q, "the deadline is no number of milliseconds"
	} else if given {
		q.Budget = max(time.Duration(ms*float64(time.Millisecond)), time.Millisecond)
	}
	kb, given, ok := parseNumber(variables.get(o.Vars.Memory), maxMemoryKB)
	if !ok {
		return q, "the memory is no number of kilobytes"
	}
	if q.Memory = o.DefaultMemoryKB; given && kb > 0 {
		q.Memory = kb
	}
	rank, given, ok := parseNumber(variables.get(o.Vars.Rank), 1)
	if !ok {
		return q, "the rank is not from 0 to 1"
	}
	if q.Rank = rank; !given {
		user := variables.get(o.Vars.User)
		if user == "" { // anonymous: a rank of its own, so that anonymous requests do not share one bin
			user = q.Handle
		}
		q.Rank = bands.rank(q.Class, user)
	}
	return q, ""
}

// parseNumber parses an optional number from 0 to limit; given reports whether there is one.
func parseNumber(s string, limit float64) (x float64, given, ok bool) {
	if s == "" {
		return 0, false, true
	}
	x, err := strconv.ParseFloat(s, 64)
	return x, true, err == nil && x >= 0 && x <= limit
}

// rankBands assigns ranks to requests without one: each worth has an equal band of ranks, the lowest worth first.
type rankBands struct {
	byClass []float64 // index of the band of each class
	count   float64   // number of bands
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

// rank returns a rank in the band of a class, at a position that depends only on the user.
func (b rankBands) rank(class int, user string) float64 {
	position := float64(hash(user)>>11) / (1 << 53)
	return (b.byClass[class] + position) / b.count
}

// hash returns a well mixed 64-bit hash.
func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	x := h.Sum64() // the high bits of FNV hardly vary for short names, so mix them
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// newHandle returns a new random handle for a try, 16 hex digits.
func newHandle() string { return fmt.Sprintf("%016x", rand.Uint64()) }
