package sessions

import (
	"errors"
	"fmt"

	"larchscale/internal/standin"
)

// errServe is a request that was not served.
var errServe = errors.New("a request was not served")

// serve has the server answer a request.
func (s *appServer) serve(handle int) error {
	line, err := standin.DialLine(s.Listen)
	if err != nil {
		return err
	}
	defer line.Close()
	seen := line.Do(standin.Request{Handle: fmt.Sprintf("%016x", handle), Stand: standin.Stands[0], Class: standin.Classes[0], Body: "request", Budget: serveWithin})
	if seen.End != "served" {
		return fmt.Errorf("%w: %s", errServe, seen.End)
	}
	return nil
}
