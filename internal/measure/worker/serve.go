package worker

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
)

// The methods that every worker has.
const (
	methodUsage = "usage"
	methodHeap  = "heap"
)

// Method is one that a worker serves.
type Method func(data json.RawMessage) (any, error)

// Typed makes a method of a function that takes its argument decoded.
func Typed[In, Out any](f func(In) (Out, error)) Method {
	return func(data json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(data, &in); err != nil {
			return nil, err
		}
		return f(in)
	}
}

// Serve answers calls until the input ends.
func Serve(input io.Reader, output io.Writer, methods map[string]Method) error {
	decoder, encoder := json.NewDecoder(input), json.NewEncoder(output)
	for {
		var call request
		if err := decoder.Decode(&call); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("worker: %w", err)
		}
		if err := encoder.Encode(answer(call, methods)); err != nil {
			return fmt.Errorf("worker: %w", err)
		}
	}
}

func answer(call request, methods map[string]Method) reply {
	result, err := run(call, methods)
	if err != nil {
		return reply{Error: err.Error()}
	}
	data, err := json.Marshal(result)
	if err != nil {
		return reply{Error: err.Error()}
	}
	return reply{Data: data}
}

func run(call request, methods map[string]Method) (any, error) {
	switch call.Method {
	case methodUsage:
		return ReadUsage()
	case methodHeap:
		return readHeap(), nil
	}
	method, ok := methods[call.Method]
	if !ok {
		return nil, fmt.Errorf("no method %q", call.Method)
	}
	return method(call.Data)
}

func readHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
