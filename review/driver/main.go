// Command driver plays one case of the review: it starts the project's programs as processes of their own beside
// stand-ins of their platform, causes a disruption, and holds what clients saw against what the worker pools ran. Exit
// code 0 means that the rule held, 1 that it was broken, 2 that the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// errBroken is the error of a case that found the rule broken.
var errBroken = errors.New("the rule is broken")

// options are the driver's arguments.
type options struct {
	name    string // of the case
	root    string // of the repository
	dir     string // for the files of the processes
	run     string // the deploy file's command for the app server
	trouble string // "1" = all disruptions of the case, "0" = none, or the name of the only one
}

// causes reports whether a disruption is to be caused.
func (o *options) causes(disruption string) bool { return o.trouble == "1" || o.trouble == disruption }

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

var cases = map[string]func(*options, *record) error{
	"first-notice":    firstNotice,
	"pool-moved":      poolMoved,
	"pool-anew":       poolAnew,
	"bound-in-pieces": boundInPieces,
	"same-again":      sameAgain,
	"second-loss":     secondLoss,
	"back-at-once":    backAtOnce,
	"ledger-replaced": ledgerReplaced,
	"silent-link":     silentLink,
	"slow-store":      slowStore,
	"withdrawn-claim": withdrawnClaim,
}

func main() {
	o := options{}
	recordPath := flag.String("record", "record.txt", "file of the record")
	flag.StringVar(&o.name, "case", "", "name of the case")
	flag.StringVar(&o.root, "root", ".", "root of the repository")
	flag.StringVar(&o.dir, "dir", "", "empty folder for the files of the processes")
	flag.StringVar(&o.run, "run", "", "command that starts an app server")
	flag.StringVar(&o.trouble, "trouble", "1", "1 = cause all disruptions, 0 = none, or the name of one: kill, still, move, slow, break, pieces, bad")
	flag.Parse()
	os.Exit(play(&o, *recordPath))
}

// play plays the case and returns the exit code.
func play(o *options, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	r := &record{file: file, began: time.Now()}
	playCase, ok := cases[o.name]
	if !ok || o.dir == "" || o.run == "" {
		fmt.Fprintln(os.Stderr, "driver: -case, -dir and -run are needed")
		return 2
	}
	code := 0
	switch err = playCase(o, r); {
	case errors.Is(err, errBroken):
		code = 1
	case err != nil:
		code = 2
	}
	r.note("exit %d: %v", code, err)
	fmt.Printf("case %s, trouble %s: exit %d: %v\n", o.name, o.trouble, code, err)
	return code
}
