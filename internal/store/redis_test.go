package store_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"larchscale/internal/core"
	"larchscale/internal/scenario"
	"larchscale/internal/store"
)

// standIn speaks as much of the Redis protocol as a store needs: GET, SET with NX and PX, DEL, WATCH,
// UNWATCH, MULTI and EXEC. Its data outlives a restart of its server.
type standIn struct {
	mu      sync.Mutex
	data    map[string]string
	until   map[string]time.Time
	version map[string]int
	silent  bool // it reads, and does not answer
	conns   []net.Conn
}

func (s *standIn) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.talk(conn)
	}
}

func (s *standIn) talk(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	watched := map[string]int{}
	var queue [][]string
	multi := false
	for {
		args, err := command(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		out := ""
		switch name := strings.ToUpper(args[0]); {
		case name == "MULTI":
			multi, queue, out = true, nil, "+OK\r\n"
		case name == "EXEC":
			multi, out = false, fmt.Sprintf("*%d\r\n", len(queue))
			for key, v := range watched {
				if s.version[key] != v {
					out, queue = "*-1\r\n", nil
				}
			}
			for _, q := range queue {
				out += s.do(q)
			}
			clear(watched)
		case multi:
			queue, out = append(queue, args), "+QUEUED\r\n"
		case name == "WATCH":
			watched[args[1]], out = s.version[args[1]], "+OK\r\n"
		case name == "UNWATCH":
			clear(watched)
			out = "+OK\r\n"
		default:
			out = s.do(args)
		}
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			io.WriteString(conn, out)
		}
	}
}

func (s *standIn) do(args []string) string {
	key := ""
	if len(args) > 1 {
		key = args[1]
	}
	if t, ok := s.until[key]; ok && time.Now().After(t) {
		delete(s.data, key)
	}
	old, there := s.data[key]
	switch strings.ToUpper(args[0]) {
	case "GET":
		if !there {
			return "$-1\r\n"
		}
		return fmt.Sprintf("$%d\r\n%s\r\n", len(old), old)
	case "SET":
		options := strings.ToUpper(strings.Join(args[3:], " "))
		if there && strings.Contains(options, "NX") {
			return "$-1\r\n"
		}
		delete(s.until, key)
		for i, a := range args[:len(args)-1] {
			unit := map[string]time.Duration{"PX": time.Millisecond, "EX": time.Second}[strings.ToUpper(a)]
			if n, err := strconv.Atoi(args[i+1]); i > 2 && unit > 0 && err == nil {
				s.until[key] = time.Now().Add(time.Duration(n) * unit)
			}
		}
		s.data[key] = args[2]
		s.version[key]++
		return "+OK\r\n"
	case "DEL":
		delete(s.data, key)
		s.version[key]++
		return ":1\r\n"
	}
	return "-ERR unknown command\r\n"
}

func command(in *bufio.Reader) ([]string, error) {
	number := func(mark byte) (int, error) {
		line, err := in.ReadString('\n')
		if err != nil || line[0] != mark {
			return 0, fmt.Errorf("%q: %v", line, err)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := number('*')
	args := make([]string, n)
	for i := range args {
		size, err := number('$')
		if err != nil {
			return nil, err
		}
		p := make([]byte, size+2)
		if _, err := io.ReadFull(in, p); err != nil {
			return nil, err
		}
		args[i] = string(p[:size])
	}
	return args, err
}

// stop ends the stand-in's connections.
func (s *standIn) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *standIn) set(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// box is one server's view of the store.
type box struct {
	t      *testing.T
	db     *store.Redis
	events chan core.Event
}

func open(t *testing.T, addr, owner string, timeoutMs int) *box {
	opt := store.Defaults()
	opt.Redis, opt.TimeoutMs = addr, timeoutMs
	b := &box{t: t, events: make(chan core.Event, 8)}
	b.db = store.New(opt, owner, []string{"book"}, func(e core.Event) { b.events <- e }, slog.New(slog.DiscardHandler))
	go b.db.Run(t.Context())
	return b
}

var (
	key = core.Key{Class: 0, Token: "k"}
	sum = [32]byte{1}
)

// claim expects what a claim of the key comes to.
func (b *box) claim(sum [32]byte, state core.Claim, result string) {
	b.t.Helper()
	if !b.db.Claim(core.Piece{Key: key, Sum: sum, Life: time.Minute}) {
		b.t.Fatal("no room")
	}
	want := core.Claimed{Key: key, State: state}
	if result != "" {
		want.Result = []byte(result)
	}
	if diff := cmp.Diff(core.Event(want), <-b.events); diff != "" {
		b.t.Error(diff)
	}
}

const patient = 10000 // no claim of these tests takes so long, on any machine

// One server has a key; the others learn so, and then the end of its run. What never ran can be given up.
func TestAKeyIsClaimedOnce(t *testing.T) {
	stand := scenario.Listen(t)
	s := &standIn{data: map[string]string{}, until: map[string]time.Time{}, version: map[string]int{}}
	go s.serve(stand.Listener())
	a, b := open(t, stand.Addr, "a", patient), open(t, stand.Addr, "b", patient)
	a.claim(sum, core.ClaimWon, "")
	b.claim(sum, core.ClaimOther, "")
	b.claim([32]byte{2}, core.ClaimOff, "")
	b.db.Release(key) // not its own: nothing happens
	b.claim(sum, core.ClaimOther, "")
	a.claim(sum, core.ClaimWon, "") // its own, as after a lost answer
	a.db.Release(key)
	a.claim(sum, core.ClaimWon, "") // one key's commands keep their order
	a.db.Release(key)
	a.claim([32]byte{2}, core.ClaimWon, "")
	a.db.Finish(key, [32]byte{2}, true, []byte("ride 7"), time.Minute)
	a.claim([32]byte{2}, core.ClaimDone, "ride 7")
	b.claim([32]byte{2}, core.ClaimDone, "ride 7")
	a.db.Release(key) // it ran: it stays
	a.claim([32]byte{2}, core.ClaimDone, "ride 7")
}

// A run that failed is failed everywhere.
func TestAFailedRunIsShared(t *testing.T) {
	stand := scenario.Listen(t)
	s := &standIn{data: map[string]string{}, until: map[string]time.Time{}, version: map[string]int{}}
	go s.serve(stand.Listener())
	a, b := open(t, stand.Addr, "a", patient), open(t, stand.Addr, "b", patient)
	a.claim(sum, core.ClaimWon, "")
	a.db.Finish(key, sum, false, nil, time.Minute)
	a.claim(sum, core.ClaimFailed, "")
	b.claim(sum, core.ClaimFailed, "")
}

// A store that is away, does not answer, or holds what is not ours tells nothing; once it is back, keys and
// claims go on.
func TestAStoreThatDiesIsLateAndComesBack(t *testing.T) {
	stand := scenario.Listen(t)
	s := &standIn{data: map[string]string{}, until: map[string]time.Time{}, version: map[string]int{}}
	go s.serve(stand.Listener())
	a, quick := open(t, stand.Addr, "a", patient), open(t, stand.Addr, "b", 100)
	a.claim(sum, core.ClaimWon, "")
	s.set(true)
	quick.claim(sum, core.ClaimDown, "")
	s.set(false)
	stand.Close()
	s.stop()
	quick.claim(sum, core.ClaimDown, "")
	l, err := net.Listen("tcp", stand.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go s.serve(l)
	b := open(t, stand.Addr, "b", patient)
	b.claim(sum, core.ClaimOther, "")
	s.mu.Lock()
	s.data["larchscale:book:k"] = "odd"
	s.mu.Unlock()
	b.claim(sum, core.ClaimDown, "")
}
