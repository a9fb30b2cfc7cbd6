package directory

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

// patience is a bound that only a test that fails reaches, and lapse is when the directory drops an entry.
const (
	patience = 20 * time.Second
	lapse    = 3 * time.Second
)

const answered = "HTTP/1.1 204 No Content\r\n\r\n"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// desk is a directory that a test plays report by report.
type desk struct {
	t *testing.T
	*net.TCPListener
}

func open(t *testing.T, addr string) *desk {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &desk{t, l.(*net.TCPListener)}
}

func (d *desk) addr() string { return d.Addr().String() }

// line is one connection of the client.
type line struct {
	net.Conn
	in *bufio.Reader
}

// next takes the next connection, within the time that an entry stays listed.
func (d *desk) next() *line {
	d.t.Helper()
	d.SetDeadline(time.Now().Add(lapse))
	c, err := d.Accept()
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &line{c, bufio.NewReader(c)}
}

// report reads one report; "" = the connection ended.
func (l *line) report() string {
	r, err := http.ReadRequest(l.in)
	if err != nil {
		return ""
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return ""
	}
	return strings.TrimSuffix(strings.TrimPrefix(string(body), `{"mode":"`), `"}`)
}

// expect reads one report of a mode.
func (d *desk) expect(l *line, mode string) {
	d.t.Helper()
	if got := l.report(); got != mode {
		d.t.Fatalf("reported %q, want %q", got, mode)
	}
}

func (l *line) say(s string) { io.WriteString(l, s) }

// quiet fails if the client has connected since the last line that was taken: the listener's queue keeps its order.
func (d *desk) quiet(what string) {
	d.t.Helper()
	mark, err := net.Dial("tcp", d.addr())
	if err != nil {
		d.t.Fatal(err)
	}
	defer mark.Close()
	if l := d.next(); l.RemoteAddr().String() != mark.LocalAddr().String() {
		d.t.Errorf("%s: %q", what, l.report())
	}
}

// run starts a client whose waits for a dial and for an answer are bounded by dial and reply.
func run(t *testing.T, addr string, dial, reply time.Duration) *Client {
	c := New(addr, "n3", slog.New(slog.DiscardHandler))
	c.dial, c.reply = dial, reply
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() {
		end()
		select {
		case <-done:
		case <-time.After(lapse):
			t.Error("it does not end")
		}
	})
	return c
}

// A change whose report breaks is reported again, with no word from outside.
func TestChangeIsReportedAgainAfterABreak(t *testing.T) {
	d := open(t, "127.0.0.1:0")
	c := run(t, d.addr(), patience, patience)
	c.Report(true)
	l := d.next()
	d.expect(l, "open")
	l.say(answered)
	c.Report(false)
	d.expect(l, "closed")
	l.Close() // it may have counted or not
	for _, bad := range []string{"", "HTTP/1.1 500 Oops\r\n\r\n", "HTTP/1.1 204 No"} {
		l = d.next()
		d.expect(l, "closed")
		l.say(bad)
		l.Close()
	}
	l = d.next()
	d.expect(l, "closed")
	l.say(answered)
}

// One whose answer does not come in time is reported again, with no word from outside.
func TestChangeIsReportedAgainAfterATimeout(t *testing.T) {
	d := open(t, "127.0.0.1:0")
	c := run(t, d.addr(), patience, 50*time.Millisecond)
	c.Report(false)
	for range 3 {
		d.expect(d.next(), "closed")
	}
}

// A directory that is slow is waited for longer: it may drop what nobody waits for.
func TestSlowDirectoryIsHeard(t *testing.T) {
	d := open(t, "127.0.0.1:0")
	c := run(t, d.addr(), patience, 300*time.Millisecond)
	c.Report(true)
	for range 2 {
		l := d.next()
		d.expect(l, "open")
		l.in.ReadByte() // it is given up
	}
	l := d.next()
	d.expect(l, "open")
	time.Sleep(600 * time.Millisecond) // as long as the second waited
	l.say(answered)
	c.Report(true)
	d.expect(l, "open")
}

// Nor does a change wait long behind a report that waits for a slow directory.
func TestChangeCutsShortAReportThatWaits(t *testing.T) {
	d := open(t, "127.0.0.1:0")
	c := run(t, d.addr(), patience, 400*time.Millisecond)
	c.Report(true)
	for range 2 {
		l := d.next()
		d.expect(l, "open")
		l.in.ReadByte()
	}
	d.expect(d.next(), "open") // this one may wait for 1,200 ms
	began := time.Now()
	c.Report(false)
	d.expect(d.next(), "closed")
	if took := time.Since(began); took > 1000*time.Millisecond {
		t.Errorf("the change came after %v", took)
	}
}

// A report that breaks while a newer one stands behind it is not repeated: the newer one is sent.
func TestRetrySendsTheNewestState(t *testing.T) {
	d := open(t, "127.0.0.1:0")
	c := run(t, d.addr(), patience, patience)
	c.Report(true)
	l := d.next()
	d.expect(l, "open")
	l.say(answered)
	c.Report(true)
	d.expect(l, "open") // on a connection that was kept
	c.Report(false)
	l.Close()
	d.expect(d.next(), "closed")
}

// What is sent after a dial is the state as it is then.
func TestStateChangesDuringADial(t *testing.T) {
	d := open(t, "127.0.0.1:0")
	full := d.fill()
	c := run(t, d.addr(), patience, patience)
	c.Report(true)
	d.dialling()
	c.Report(false)
	full()
	d.expect(d.next(), "closed")
}

// No open comes after a closed, whatever became of the opens before: one that was not answered has its connection
// aborted, so that nothing of it is on its way any longer.
func TestNoOpenAfterClosed(t *testing.T) {
	d := open(t, "127.0.0.1:0")
	c := run(t, d.addr(), patience, 100*time.Millisecond)
	c.Report(true)
	lines := []*line{d.next(), d.next()} // the second is the retry
	for _, l := range lines {
		d.expect(l, "open")
	}
	c.Report(false)
	late := 0
	for l := d.next(); ; l = d.next() {
		if l.report() == "closed" {
			lines = append(lines, l)
			break
		}
		if late++; late > 8 {
			t.Fatal("it goes on reporting open")
		}
	}
	for i, l := range lines {
		if _, err := l.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("connection %d ended with %v, want a reset", i, err)
		}
	}
	for range 5 {
		c.Report(false)
		l := d.next()
		d.expect(l, "closed")
		l.say("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
	}
}

// A move while a report is in flight: the new directory is told the newest state at once, the old one nothing more.
func TestMoveCrossesAReport(t *testing.T) {
	old, next := open(t, "127.0.0.1:0"), open(t, "127.0.0.1:0")
	c := run(t, old.addr(), patience, patience)
	c.Report(true)
	l := old.next()
	old.expect(l, "open")
	c.Report(false)
	c.Move(next.addr())
	m := next.next()
	next.expect(m, "closed")
	m.say(answered)
	c.Report(true)
	next.expect(m, "open")
	if got := l.report(); got != "" {
		t.Errorf("the old one was told %q after the move", got)
	}
	old.quiet("the old one was told after the move")
}

// A move while a connection to the old directory is being made.
func TestMoveCrossesADial(t *testing.T) {
	old, next := open(t, "127.0.0.1:0"), open(t, "127.0.0.1:0")
	full := old.fill()
	c := run(t, old.addr(), patience, patience)
	c.Report(true)
	old.dialling()
	c.Move(next.addr())
	next.expect(next.next(), "open")
	full()
	old.quiet("the old one was connected to after the move")
}

// A client that is silenced says nothing of what it was told before, nor tries a report again.
func TestSilenceCrossesAReport(t *testing.T) {
	d := open(t, "127.0.0.1:0")
	c := run(t, d.addr(), patience, patience)
	c.Report(true)
	l := d.next()
	d.expect(l, "open")
	c.Silence()
	if _, err := l.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the report in hand ended with %v, want a reset", err)
	}
	time.Sleep(100 * time.Millisecond) // for three retries, if there were any
	c.Report(false)
	d.expect(d.next(), "closed")
}

// Two answers to one report: the second is not taken for the answer to the next one.
func TestTwoAnswersToOneReport(t *testing.T) {
	for _, parts := range [][]string{{answered + answered}, {answered, answered}, {answered, "x"}} {
		d := open(t, "127.0.0.1:0")
		c := run(t, d.addr(), patience, patience)
		c.Report(true)
		l := d.next()
		d.expect(l, "open")
		for _, p := range parts {
			l.say(p)
		}
		c.Report(false)
		d.expect(d.next(), "closed")
	}
}

// An answer without a body ends with its head, whatever length it claims.
func TestNoContentHasNoBody(t *testing.T) {
	d := open(t, "127.0.0.1:0")
	c := run(t, d.addr(), patience, patience)
	c.Report(true)
	l := d.next()
	d.expect(l, "open")
	l.say("HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n")
	c.Report(false)
	d.expect(d.next(), "closed")
}

// A directory that is there and of no use: whatever it does to a report, a change reaches it long before the entry
// lapses once it is well, and the client ends at once.
func TestSilentDirectory(t *testing.T) {
	for name, answer := range map[string]func(*line){
		"never answers":         func(*line) {},
		"closes at once":        func(l *line) { l.Close() },
		"breaks off in a head":  func(l *line) { l.say("HTTP/1.1 204 No Content\r\nServer"); l.Close() },
		"breaks off in a body":  func(l *line) { l.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"); l.Close() },
		"hangs in a body":       func(l *line) { l.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf") },
		"a spoilt length":       func(l *line) { l.say("HTTP/1.1 200 OK\r\nContent-Length: 9x\r\n\r\n") },
		"a length below zero":   func(l *line) { l.say("HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\n") },
		"a length past all":     func(l *line) { l.say("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n") },
		"a status that is none": func(l *line) { l.say("HTTP/1.1 2x4 No\r\n\r\n") },
		"byte by byte": func(l *line) {
			for _, b := range answered {
				l.say(string(b))
				time.Sleep(30 * time.Millisecond)
			}
		},
		"a head without end": func(l *line) {
			l.say("HTTP/1.1 204 No Content\r\n")
			for i := 0; i < 1000; i++ {
				if _, err := io.WriteString(l, "X: y\r\n"); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := open(t, "127.0.0.1:0")
			c := run(t, d.addr(), dialTimeout, replyTimeout)
			c.Report(true)
			for range 2 {
				l := d.next()
				d.expect(l, "open")
				go answer(l)
			}
			began := time.Now()
			c.Report(false)
			for l := d.next(); ; l = d.next() {
				if l.report() == "closed" {
					l.say(answered)
					break
				}
				go answer(l)
			}
			if took := time.Since(began); took > lapse/2 {
				t.Errorf("the change took %v", took)
			}
			c.Report(true)
			d.expect(d.next(), "open") // it ends while this one waits
		})
	}
}

// A directory that is away for long is told again within a second of its return, and nothing piles up meanwhile.
func TestDirectoryReturnsAfterLong(t *testing.T) {
	before := descriptors(t)
	d := open(t, "127.0.0.1:0")
	addr := d.addr()
	d.Close()
	c := run(t, addr, dialTimeout, replyTimeout)
	ticks := time.NewTicker(600 * time.Millisecond) // as the core reports
	defer ticks.Stop()
	away := func(most int) {
		for range 2 {
			c.Report(true)
			<-ticks.C
			if n := descriptors(t) - before; n > most {
				t.Errorf("%d descriptors, %d at most", n, most)
			}
		}
	}
	away(1)                  // a dial in hand
	for d = nil; d == nil; { // refused dials may have the port in use for a moment
		if l, err := net.Listen("tcp", addr); err == nil {
			t.Cleanup(func() { l.Close() })
			d = &desk{t, l.(*net.TCPListener)}
		}
	}
	full := d.fill()
	away(4) // the listener, both ends of what fills it, a dial in hand
	full()
	back := time.Now()
	end := time.AfterFunc(600*time.Millisecond, func() { c.Report(true) })
	defer end.Stop()
	d.expect(d.next(), "open")
	took := time.Since(back)
	t.Logf("told %v after its return", took)
	if took > time.Second {
		t.Errorf("told %v after its return", took)
	}
}

func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// fill makes the listener a black hole: with its queue full the kernel drops what dials it. The function given back
// ends that.
func (d *desk) fill() func() {
	d.t.Helper()
	rc, err := d.SyscallConn()
	if err != nil {
		d.t.Fatal(err)
	}
	depth := func(n int) {
		if cerr := rc.Control(func(fd uintptr) { err = unix.Listen(int(fd), n) }); cerr != nil || err != nil {
			d.t.Fatal(cerr, err)
		}
	}
	depth(0)
	mine, err := net.Dial("tcp", d.addr())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { mine.Close() })
	return func() {
		d.t.Helper()
		depth(16)
		if l := d.next(); l.RemoteAddr().String() != mine.LocalAddr().String() {
			d.t.Error("it was not full")
		}
	}
}

// dialling waits until a connection to the full listener is being made.
func (d *desk) dialling() {
	d.t.Helper()
	want := fmt.Sprintf(":%04X", d.Addr().(*net.TCPAddr).Port)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			d.t.Fatal(err)
		}
		for row := range strings.Lines(string(table)) {
			if f := strings.Fields(row); len(f) > 3 && strings.HasSuffix(f[2], want) && f[3] == "02" { // SYN_SENT
				return
			}
		}
	}
	d.t.Fatal("nobody dials")
}
