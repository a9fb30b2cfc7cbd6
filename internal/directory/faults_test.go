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

// testTimeout is a time limit that only a failing test reaches; lapse is the time after which the directory drops an
// entry.
const (
	testTimeout   = 20 * time.Second
	entryLifetime = 3 * time.Second
)

const okReply = "HTTP/1.1 204 No Content\r\n\r\n"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testDirectory is a directory whose answers the test controls report by report.
type testDirectory struct {
	t *testing.T
	*net.TCPListener
}

func openDirectory(t *testing.T, addr string) *testDirectory {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &testDirectory{t, listener.(*net.TCPListener)}
}

func (dir *testDirectory) addr() string { return dir.Addr().String() }

// testConn is one connection from the client.
type testConn struct {
	net.Conn
	in *bufio.Reader
}

// acceptConn accepts the next connection, which must come within the lifetime of an entry.
func (dir *testDirectory) acceptConn() *testConn {
	dir.t.Helper()
	dir.SetDeadline(time.Now().Add(entryLifetime))
	c, err := dir.Accept()
	if err != nil {
		dir.t.Fatal(err)
	}
	dir.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &testConn{c, bufio.NewReader(c)}
}

// report reads one report and returns its mode, or "" if the connection ended.
func (conn *testConn) report() string {
	r, err := http.ReadRequest(conn.in)
	if err != nil {
		return ""
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return ""
	}
	return strings.TrimSuffix(strings.TrimPrefix(string(body), `{"mode":"`), `"}`)
}

// expect reads one report and checks its mode.
func (dir *testDirectory) expect(conn *testConn, mode string) {
	dir.t.Helper()
	if got := conn.report(); got != mode {
		dir.t.Fatalf("reported %q, want %q", got, mode)
	}
}

func (conn *testConn) send(s string) { io.WriteString(conn, s) }

// expectNoConnection fails the test if the client has connected since the last accepted connection. It relies on the
// order of the listener's queue.
func (dir *testDirectory) expectNoConnection(what string) {
	dir.t.Helper()
	mark, err := net.Dial("tcp", dir.addr())
	if err != nil {
		dir.t.Fatal(err)
	}
	defer mark.Close()
	if conn := dir.acceptConn(); conn.RemoteAddr().String() != mark.LocalAddr().String() {
		dir.t.Errorf("%s: %q", what, conn.report())
	}
}

// startClient starts a client with the given limits for a dial and an answer.
func startClient(t *testing.T, addr string, dial, reply time.Duration) *Client {
	c := New(addr, "n3", slog.New(slog.DiscardHandler))
	c.dialLimit, c.replyLimit = dial, reply
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() {
		end()
		select {
		case <-done:
		case <-time.After(entryLifetime):
			t.Error("Run does not return")
		}
	})
	return c
}

// Checks that a report whose connection breaks is sent again without another call of Report.
func TestReportRepeatedAfterBrokenConnection(t *testing.T) {
	dir := openDirectory(t, "127.0.0.1:0")
	c := startClient(t, dir.addr(), testTimeout, testTimeout)
	c.Report(true)
	conn := dir.acceptConn()
	dir.expect(conn, "open")
	conn.send(okReply)
	c.Report(false)
	dir.expect(conn, "closed")
	conn.Close() // the report may have taken effect or not
	for _, bad := range []string{"", "HTTP/1.1 500 Oops\r\n\r\n", "HTTP/1.1 204 No"} {
		conn = dir.acceptConn()
		dir.expect(conn, "closed")
		conn.send(bad)
		conn.Close()
	}
	conn = dir.acceptConn()
	dir.expect(conn, "closed")
	conn.send(okReply)
}

// Checks that a report without an answer in time is sent again without another call of Report.
func TestReportRepeatedAfterTimeout(t *testing.T) {
	dir := openDirectory(t, "127.0.0.1:0")
	c := startClient(t, dir.addr(), testTimeout, 50*time.Millisecond)
	c.Report(false)
	for range 3 {
		dir.expect(dir.acceptConn(), "closed")
	}
}

// Checks that the client waits longer for a slow directory, which may drop requests whose client no longer waits.
func TestSlowDirectoryGetsLongerTimeout(t *testing.T) {
	dir := openDirectory(t, "127.0.0.1:0")
	c := startClient(t, dir.addr(), testTimeout, 300*time.Millisecond)
	c.Report(true)
	for range 2 {
		conn := dir.acceptConn()
		dir.expect(conn, "open")
		conn.in.ReadByte() // returns when the client closes the connection
	}
	conn := dir.acceptConn()
	dir.expect(conn, "open")
	time.Sleep(600 * time.Millisecond) // as long as the wait of the second report
	conn.send(okReply)
	c.Report(true)
	dir.expect(conn, "open")
}

// Checks that a changed state does not wait long behind a report to a slow directory.
func TestChangeCancelsWaitingReport(t *testing.T) {
	dir := openDirectory(t, "127.0.0.1:0")
	c := startClient(t, dir.addr(), testTimeout, 400*time.Millisecond)
	c.Report(true)
	for range 2 {
		conn := dir.acceptConn()
		dir.expect(conn, "open")
		conn.in.ReadByte()
	}
	dir.expect(dir.acceptConn(), "open") // this report may wait for 1,200 ms
	began := time.Now()
	c.Report(false)
	dir.expect(dir.acceptConn(), "closed")
	if took := time.Since(began); took > 1000*time.Millisecond {
		t.Errorf("the change came after %v", took)
	}
}

// Checks that a broken report is not repeated if a newer state is pending: the newer one is sent.
func TestRetrySendsTheNewestState(t *testing.T) {
	dir := openDirectory(t, "127.0.0.1:0")
	c := startClient(t, dir.addr(), testTimeout, testTimeout)
	c.Report(true)
	conn := dir.acceptConn()
	dir.expect(conn, "open")
	conn.send(okReply)
	c.Report(true)
	dir.expect(conn, "open") // on the kept connection
	c.Report(false)
	conn.Close()
	dir.expect(dir.acceptConn(), "closed")
}

// Checks that a report sent after a dial contains the state at that time.
func TestStateChangesDuringADial(t *testing.T) {
	dir := openDirectory(t, "127.0.0.1:0")
	full := dir.fillBacklog()
	c := startClient(t, dir.addr(), testTimeout, testTimeout)
	c.Report(true)
	dir.waitForDial()
	c.Report(false)
	full()
	dir.expect(dir.acceptConn(), "closed")
}

// Checks that no "open" arrives after a "closed": a report without an answer has its connection aborted, so that none
// of its data can still be delivered.
func TestNoOpenAfterClosed(t *testing.T) {
	dir := openDirectory(t, "127.0.0.1:0")
	c := startClient(t, dir.addr(), testTimeout, 100*time.Millisecond)
	c.Report(true)
	conns := []*testConn{dir.acceptConn(), dir.acceptConn()} // the second is the retry
	for _, conn := range conns {
		dir.expect(conn, "open")
	}
	c.Report(false)
	late := 0
	for conn := dir.acceptConn(); ; conn = dir.acceptConn() {
		if conn.report() == "closed" {
			conns = append(conns, conn)
			break
		}
		if late++; late > 8 {
			t.Fatal("the client still reports open")
		}
	}
	for i, conn := range conns {
		if _, err := conn.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("connection %d ended with %v, want a reset", i, err)
		}
	}
	for range 5 {
		c.Report(false)
		conn := dir.acceptConn()
		dir.expect(conn, "closed")
		conn.send("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
	}
}

// Checks a move while a report is in flight: the new directory gets the newest state at once, the old one nothing
// more.
func TestMoveDuringReport(t *testing.T) {
	old, next := openDirectory(t, "127.0.0.1:0"), openDirectory(t, "127.0.0.1:0")
	c := startClient(t, old.addr(), testTimeout, testTimeout)
	c.Report(true)
	conn := old.acceptConn()
	old.expect(conn, "open")
	c.Report(false)
	c.Move(next.addr())
	m := next.acceptConn()
	next.expect(m, "closed")
	m.send(okReply)
	c.Report(true)
	next.expect(m, "open")
	if got := conn.report(); got != "" {
		t.Errorf("the old directory got %q after the move", got)
	}
	old.expectNoConnection("the old directory got a report after the move")
}

// Checks a move while a connection to the old directory is being opened.
func TestMoveDuringDial(t *testing.T) {
	old, next := openDirectory(t, "127.0.0.1:0"), openDirectory(t, "127.0.0.1:0")
	full := old.fillBacklog()
	c := startClient(t, old.addr(), testTimeout, testTimeout)
	c.Report(true)
	old.waitForDial()
	c.Move(next.addr())
	next.expect(next.acceptConn(), "open")
	full()
	old.expectNoConnection("the old directory got a connection after the move")
}

// Checks that a silenced client neither completes the report in flight nor retries it.
func TestSilenceDuringReport(t *testing.T) {
	dir := openDirectory(t, "127.0.0.1:0")
	c := startClient(t, dir.addr(), testTimeout, testTimeout)
	c.Report(true)
	conn := dir.acceptConn()
	dir.expect(conn, "open")
	c.StopReporting()
	if _, err := conn.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the report in flight ended with %v, want a reset", err)
	}
	time.Sleep(100 * time.Millisecond) // time for three retries, if there were any
	c.Report(false)
	dir.expect(dir.acceptConn(), "closed")
}

// Checks that the second of two answers to one report is not taken for the answer to the next one.
func TestTwoAnswersToOneReport(t *testing.T) {
	for _, parts := range [][]string{{okReply + okReply}, {okReply, okReply}, {okReply, "x"}} {
		dir := openDirectory(t, "127.0.0.1:0")
		c := startClient(t, dir.addr(), testTimeout, testTimeout)
		c.Report(true)
		conn := dir.acceptConn()
		dir.expect(conn, "open")
		for _, p := range parts {
			conn.send(p)
		}
		c.Report(false)
		dir.expect(dir.acceptConn(), "closed")
	}
}

// Checks that a 204 answer ends with its head, whatever length it claims.
func TestNoContentHasNoBody(t *testing.T) {
	dir := openDirectory(t, "127.0.0.1:0")
	c := startClient(t, dir.addr(), testTimeout, testTimeout)
	c.Report(true)
	conn := dir.acceptConn()
	dir.expect(conn, "open")
	conn.send("HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n")
	c.Report(false)
	dir.expect(dir.acceptConn(), "closed")
}

// Checks that whatever a faulty directory does to a report, a change reaches it well within the lifetime of an entry
// once it works again, and that Run returns at once.
func TestFaultyDirectory(t *testing.T) {
	for name, answer := range map[string]func(*testConn){
		"never answers":           func(*testConn) {},
		"closes at once":          func(conn *testConn) { conn.Close() },
		"breaks off in a head":    func(conn *testConn) { conn.send("HTTP/1.1 204 No Content\r\nServer"); conn.Close() },
		"breaks off in a body":    func(conn *testConn) { conn.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"); conn.Close() },
		"hangs in a body":         func(conn *testConn) { conn.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf") },
		"an invalid length":       func(conn *testConn) { conn.send("HTTP/1.1 200 OK\r\nContent-Length: 9x\r\n\r\n") },
		"a negative length":       func(conn *testConn) { conn.send("HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\n") },
		"a length over the limit": func(conn *testConn) { conn.send("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n") },
		"an invalid status":       func(conn *testConn) { conn.send("HTTP/1.1 2x4 No\r\n\r\n") },
		"byte by byte": func(conn *testConn) {
			for _, b := range okReply {
				conn.send(string(b))
				time.Sleep(30 * time.Millisecond)
			}
		},
		"a head without end": func(conn *testConn) {
			conn.send("HTTP/1.1 204 No Content\r\n")
			for i := 0; i < 1000; i++ {
				if _, err := io.WriteString(conn, "X: y\r\n"); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := openDirectory(t, "127.0.0.1:0")
			c := startClient(t, dir.addr(), dialTimeout, replyTimeout)
			c.Report(true)
			for range 2 {
				conn := dir.acceptConn()
				dir.expect(conn, "open")
				go answer(conn)
			}
			began := time.Now()
			c.Report(false)
			for conn := dir.acceptConn(); ; conn = dir.acceptConn() {
				if conn.report() == "closed" {
					conn.send(okReply)
					break
				}
				go answer(conn)
			}
			if took := time.Since(began); took > entryLifetime/2 {
				t.Errorf("the change took %v", took)
			}
			c.Report(true)
			dir.expect(dir.acceptConn(), "open") // Run is ended while this report waits
		})
	}
}

// Checks that a directory that was unavailable for long gets a report within a second of its return, and that no
// descriptors pile up meanwhile.
func TestDirectoryReturnsAfterLongOutage(t *testing.T) {
	before := descriptors(t)
	dir := openDirectory(t, "127.0.0.1:0")
	addr := dir.addr()
	dir.Close()
	c := startClient(t, addr, dialTimeout, replyTimeout)
	ticks := time.NewTicker(600 * time.Millisecond) // the interval of the core's reports
	defer ticks.Stop()
	reportWhileDown := func(limit int) {
		for range 2 {
			c.Report(true)
			<-ticks.C
			if n := descriptors(t) - before; n > limit {
				t.Errorf("%d descriptors, limit %d", n, limit)
			}
		}
	}
	reportWhileDown(1)           // a dial in progress
	for dir = nil; dir == nil; { // refused dials may use the port for a moment
		if listener, err := net.Listen("tcp", addr); err == nil {
			t.Cleanup(func() { listener.Close() })
			dir = &testDirectory{t, listener.(*net.TCPListener)}
		}
	}
	full := dir.fillBacklog()
	reportWhileDown(4) // the listener, both ends of the filling connection, a dial in progress
	full()
	back := time.Now()
	end := time.AfterFunc(600*time.Millisecond, func() { c.Report(true) })
	defer end.Stop()
	dir.expect(dir.acceptConn(), "open")
	took := time.Since(back)
	t.Logf("reported %v after its return", took)
	if took > time.Second {
		t.Errorf("reported %v after its return", took)
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

// fillBacklog makes the listener drop connection attempts by filling its queue. The returned function ends that.
func (dir *testDirectory) fillBacklog() func() {
	dir.t.Helper()
	rc, err := dir.SyscallConn()
	if err != nil {
		dir.t.Fatal(err)
	}
	depth := func(n int) {
		if cerr := rc.Control(func(fd uintptr) { err = unix.Listen(int(fd), n) }); cerr != nil || err != nil {
			dir.t.Fatal(cerr, err)
		}
	}
	depth(0)
	mine, err := net.Dial("tcp", dir.addr())
	if err != nil {
		dir.t.Fatal(err)
	}
	dir.t.Cleanup(func() { mine.Close() })
	return func() {
		dir.t.Helper()
		depth(16)
		if conn := dir.acceptConn(); conn.RemoteAddr().String() != mine.LocalAddr().String() {
			dir.t.Error("the queue was not full")
		}
	}
}

// waitForDial waits until the client is dialing the full listener.
func (dir *testDirectory) waitForDial() {
	dir.t.Helper()
	want := fmt.Sprintf(":%04X", dir.Addr().(*net.TCPAddr).Port)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			dir.t.Fatal(err)
		}
		for row := range strings.Lines(string(table)) {
			if f := strings.Fields(row); len(f) > 3 && strings.HasSuffix(f[2], want) && f[3] == "02" { // SYN_SENT
				return
			}
		}
	}
	dir.t.Fatal("no dial was seen")
}
