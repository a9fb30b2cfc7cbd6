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
)

// A pool that has an end, a run that goes on and one that it was never asked for: each end is told once, the first as
// it was, a call of before is not made again, and one that
// another pool may have run is not asked for.
func TestAnHeirReadsWhatEndedAndHasTheRestRunOnce(t *testing.T) {
	for name, x := range map[string]struct {
		replay string // notices of before the bind
		want   string
		err    error
	}{
		"all there":    {`{"cursor":8,"event":"finished","handle":"a","fate":"complete","arg":"cmE="}|{"cursor":9,"event":"blocked","handle":"b","arg":"Y2FsbA=="}`, "[a true ra b true rb call c cc c false  q true rq]", nil},
		"one is gone":  {`{"cursor":9,"event":"finished","handle":"a","fate":"complete","arg":"cmE="}`, "[]", ErrGap},
		"not a notice": {`nonsense`, "[]", errNotice},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			asked := make(chan string, 16)
			go func() {
				defer close(asked)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				in := bufio.NewScanner(c)
				next := 10
				say := func(f string, a ...any) { fmt.Fprintf(c, f+"\n", a...) }
				for in.Scan() {
					line := in.Text()
					asked <- line
					switch {
					case strings.Contains(line, `"bind"`):
						for _, n := range strings.Split(x.replay, "|") {
							say("%s", n)
						}
					case strings.Contains(line, `"poll"`):
						say(`{"event":"polled","ticket":"heir","figures":[]}`)
					case strings.Contains(line, `"spawn","handle":"b"`):
						say(`{"cursor":%d,"event":"finished","handle":"b","fate":"complete","arg":"cmI="}`, next)
						next++
					case strings.Contains(line, `"spawn","handle":"c"`):
						say(`{"cursor":%d,"event":"blocked","handle":"c","arg":"Y2M="}`, next)
						next++
					case strings.Contains(line, `"supply","handle":"c"`):
						say(`{"cursor":%d,"event":"finished","handle":"c","fate":"cancelled","arg":""}`, next)
						say(`{"cursor":%d,"event":"finished","handle":"q","fate":"complete","arg":"cnE="}`, next+1)
						next++
					}
				}
			}()
			var heir *Heir
			told := []string{}
			err = Inherit(context.Background(), l.Addr().String(), 7, []Left{{Handle: "a", Class: "book"}, {Handle: "q", Class: "book", Quiet: true}, {Handle: "b", Class: "book"}, {Handle: "c", Class: "book"}},
				func(h *Heir) { heir = h }, func(c Came) {
					if c.Call {
						told = append(told, "call", c.Handle, string(c.Body))
						heir.Reply(c.Handle, []byte("taxi"))
						return
					}
					told = append(told, c.Handle, fmt.Sprint(c.OK), string(c.Body))
				})
			if !errors.Is(err, x.err) || fmt.Sprint(told) != x.want {
				t.Errorf("%v, %v", told, err)
			}
			var lines []string
			for line := range asked {
				lines = append(lines, line)
			}
			if !strings.Contains(lines[0], `"cursor":7`) || slices.ContainsFunc(lines, func(l string) bool {
				return strings.Contains(l, `"spawn","handle":"a"`) || strings.Contains(l, `"spawn","handle":"q"`)
			}) {
				t.Errorf("it asked %v", lines)
			}
		})
	}
}
