package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// The pool has one finished run, one running and one it was never asked for. The successor reports each end once, does
// not repeat a call that the run made before, and does not request a run that has begun or that another pool may have run.
func TestSuccessorReadsFinishedRunsAndRunsTheRestOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		replay string // notices from before the bind
		want   string
		err    error
	}{
		"complete":  {`{"cursor":8,"event":"finished","handle":"a","fate":"complete","arg":"cmE="}|{"cursor":9,"event":"blocked","handle":"b","arg":"Y2FsbA=="}`, "[a true ra b true rb call c cc c false  q true rq]", nil},
		"missing":   {`{"cursor":9,"event":"finished","handle":"a","fate":"complete","arg":"cmE="}`, "[]", ErrGap},
		"malformed": {`nonsense`, "[]", errNotice},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			sent := make(chan string, 16)
			go func() {
				defer close(sent)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				in := bufio.NewScanner(conn)
				next := 10
				send := func(f string, a ...any) { fmt.Fprintf(conn, f+"\n", a...) }
				for in.Scan() {
					line := in.Text()
					sent <- line
					switch {
					case strings.Contains(line, `"bind"`):
						for _, n := range strings.Split(tc.replay, "|") {
							send("%s", n)
						}
					case strings.Contains(line, `"poll"`):
						send(`{"event":"polled","ticket":"heir","figures":[]}`)
						send(`{"cursor":%d,"event":"finished","handle":"b","fate":"complete","arg":"cmI="}`, next)
						next++
					case strings.Contains(line, `"spawn","handle":"c"`):
						send(`{"cursor":%d,"event":"blocked","handle":"c","arg":"Y2M="}`, next)
						next++
					case strings.Contains(line, `"supply","handle":"c"`):
						send(`{"cursor":%d,"event":"finished","handle":"c","fate":"cancelled","arg":""}`, next)
						send(`{"cursor":%d,"event":"finished","handle":"q","fate":"complete","arg":"cnE="}`, next+1)
						next++
					}
				}
			}()
			var successor *SuccessorLink
			events := []string{}
			err = TakeOver(context.Background(), listener.Addr().String(), 7, []UnfinishedRun{{Handle: "a", Class: "book"}, {Handle: "q", Class: "book", ListenOnly: true}, {Handle: "b", Class: "book"}, {Handle: "c", Class: "book"}},
				func(h *SuccessorLink) { successor = h }, func(e RunEvent) {
					if e.IsCall {
						events = append(events, "call", e.Handle, string(e.Body))
						successor.Reply(e.Handle, []byte("taxi"))
						return
					}
					events = append(events, e.Handle, fmt.Sprint(e.OK), string(e.Body))
				})
			if !errors.Is(err, tc.err) || fmt.Sprint(events) != tc.want {
				t.Errorf("events %v, error %v", events, err)
			}
			var lines []string
			for line := range sent {
				lines = append(lines, line)
			}
			if !strings.Contains(lines[0], `"cursor":7`) || slices.ContainsFunc(lines, func(line string) bool {
				return strings.Contains(line, `"spawn","handle":"a"`) || strings.Contains(line, `"spawn","handle":"b"`) || strings.Contains(line, `"spawn","handle":"q"`)
			}) {
				t.Errorf("the successor sent %v", lines)
			}
		})
	}
}

// Guards against a run of a failed process that ends while its successor's request for it is on its way, and is run again.
func TestSuccessorDoesNotRunAgainWhatEndsAsItAsks(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	spawned := make(chan bool, 1)
	go func() {
		defer close(spawned)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		for in := bufio.NewScanner(conn); in.Scan(); {
			switch line := in.Text(); {
			case strings.Contains(line, `"bind"`):
				fmt.Fprintln(conn, `{"cursor":7,"event":"chatter","fate":"a runs"}`)
			case strings.Contains(line, `"poll"`):
				fmt.Fprintln(conn, `{"event":"polled","ticket":"heir","figures":[]}`)
			case strings.Contains(line, `"spawn","handle":"a"`): // its run has just ended
				spawned <- true
				fmt.Fprintln(conn, `{"cursor":8,"event":"finished","handle":"a","fate":"complete","arg":"cmE="}`)
				return
			}
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	TakeOver(ctx, listener.Addr().String(), 7, []UnfinishedRun{{Handle: "a", Class: "book"}}, func(*SuccessorLink) {}, func(RunEvent) {})
	if <-spawned {
		t.Error("a run that the failed process may have requested was requested, and the pool had just ended it")
	}
}
