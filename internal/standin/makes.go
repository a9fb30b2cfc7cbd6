package standin

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Make is what a box runs: a program, and what its operator sets. Its zero value is what the fleet's options say.
type Make struct {
	Program           string
	Operator          string // the text of further tables of its operator's file
	DrainMs, SilentMs int
	TakeOver          bool
}

// Span is a time without a process that serves; To is zero while it lasts.
type Span struct{ From, To time.Time }

// Downs are the times in which its process was stopped, or killed and the next not up.
func (m *Member) Downs() []Span {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.downs)
}

// Become makes k what its next process runs, and has an operator replace the one it has: the door says no, so long
// that balancers hear of it, the process drains and ends, and the next is started. A box without a process, or that
// staff have, is left to who starts it.
func (m *Member) Become(k Make, heard time.Duration) error {
	busy, err := m.turn(k)
	if busy || err != nil {
		return err
	}
	time.Sleep(heard)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || m.worked || m.frozen {
		return nil
	}
	code, err := m.Box.Stop()
	m.up = false
	if code != 0 || err != nil {
		return errors.Join(fmt.Errorf("%s ended with %d: %s", m.Name, code, m.Log()), err)
	}
	return m.start()
}

// turn writes the files of make k, and has the door say no; busy = nobody is to end the process.
func (m *Member) turn(k Make) (busy bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	program, operator := m.text(k)
	m.Box.program = program
	if err := m.Box.writeOperator(operator); err != nil {
		return false, err
	}
	if !m.up || m.worked || m.frozen {
		return true, nil
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+m.Admin+"/healthcheck/fail", nil)
	if err != nil {
		return false, err
	}
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(r)
	if err != nil {
		return false, err
	}
	return false, res.Body.Close()
}
