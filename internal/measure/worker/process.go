// Package worker runs parts of a measurement in processes of their own, so that their CPU time, memory and descriptors
// can be told apart. The parent calls methods of a worker over its standard input and output, as JSON; a worker ends
// when its input does, so that none outlives its parent.
package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// endWithin is how long a worker has to end by itself once its input is closed.
const endWithin = 10 * time.Second

// request and reply are one call.
type request struct {
	Method string
	Data   json.RawMessage
}

type reply struct {
	Error string // "" = none
	Data  json.RawMessage
}

// Process is a worker as its parent has it. It is safe for concurrent use; calls come one after the other.
type Process struct {
	command *exec.Cmd
	mu      sync.Mutex
	input   io.WriteCloser
	encoder *json.Encoder
	decoder *json.Decoder
}

// Command is what a worker is started with.
type Command struct {
	Program     string
	Arguments   []string
	Environment []string // "name=value", beside the parent's
}

// Start runs a program as a worker until Stop, or until ctx ends.
func Start(ctx context.Context, c Command) (*Process, error) {
	command := exec.CommandContext(ctx, c.Program, c.Arguments...)
	command.Env = append(os.Environ(), c.Environment...)
	command.Stderr = os.Stderr
	input, inputErr := command.StdinPipe()
	output, outputErr := command.StdoutPipe()
	if err := errors.Join(inputErr, outputErr); err != nil {
		return nil, fmt.Errorf("worker: %w", err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("worker: %w", err)
	}
	return &Process{command: command, input: input, encoder: json.NewEncoder(input), decoder: json.NewDecoder(output)}, nil
}

// Call runs a method in the worker; out receives its result, nil = it is dropped.
func (p *Process) Call(method string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("worker %s: %w", method, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.encoder.Encode(request{method, data}); err != nil {
		return fmt.Errorf("worker %s: %w", method, err)
	}
	var answer reply
	if err := p.decoder.Decode(&answer); err != nil {
		return fmt.Errorf("worker %s: %w", method, err)
	}
	if answer.Error != "" {
		return fmt.Errorf("worker %s: %s", method, answer.Error)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer.Data, out); err != nil {
		return fmt.Errorf("worker %s: %w", method, err)
	}
	return nil
}

// Usage reads what the worker has used so far.
func (p *Process) Usage() (u Usage, err error) {
	err = p.Call(methodUsage, nil, &u)
	return u, err
}

// Heap collects the worker's garbage and reads what is left.
func (p *Process) Heap() (bytes uint64, err error) {
	err = p.Call(methodHeap, nil, &bytes)
	return bytes, err
}

// ID is the process's.
func (p *Process) ID() int { return p.command.Process.Pid }

// Kill ends the worker at once.
func (p *Process) Kill() {
	p.command.Process.Kill()
	p.command.Wait()
}

// Freeze stops the process where it is, and Thaw has it go on. Calls wait meanwhile.
func (p *Process) Freeze() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw is after Freeze.
func (p *Process) Thaw() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Stop has the worker end, and ends it by its id if it does not.
func (p *Process) Stop() {
	p.input.Close()
	late := time.AfterFunc(endWithin, func() { p.command.Process.Kill() })
	defer late.Stop()
	p.command.Wait()
}
