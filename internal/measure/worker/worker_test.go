package worker

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

// asWorker is set for a process of the test that is a worker.
const asWorker = "WORKER_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(asWorker) == "" {
		os.Exit(m.Run())
	}
	err := Serve(os.Stdin, os.Stdout, map[string]Method{
		"double": Typed(func(n int) (int, error) { return 2 * n, nil }),
		"fail":   Typed(func(struct{}) (int, error) { return 0, errors.New("told to") }),
	})
	if err != nil {
		os.Exit(1)
	}
}

func TestProcess(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p, err := Start(t.Context(), Command{Program: program, Environment: []string{asWorker + "=1"}})
	if err != nil {
		t.Fatal(err)
	}
	var doubled int
	if err := p.Call("double", 21, &doubled); err != nil || doubled != 42 {
		t.Errorf("%d, %v", doubled, err)
	}
	for method, argument := range map[string]any{"fail": struct{}{}, "unknown": nil, "double": "no number"} {
		if err := p.Call(method, argument, nil); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", method, err)
		}
	}
	usage, err := p.Usage()
	if err != nil || usage.CPU <= 0 || usage.Resident == 0 || usage.Descriptors < 3 || usage.Goroutines == 0 {
		t.Errorf("%+v, %v", usage, err)
	}
	if heap, err := p.Heap(); err != nil || heap == 0 {
		t.Errorf("%d, %v", heap, err)
	}
	p.Stop()
	if !p.command.ProcessState.Success() {
		t.Errorf("it ended with %v", p.command.ProcessState)
	}
	if err := p.Call("double", 1, nil); err == nil {
		t.Error("a worker that has ended answered")
	}
}

// What is read of a process from outside is what it reads of itself.
func TestReadUsageOf(t *testing.T) {
	before, err := ReadUsage()
	if err != nil {
		t.Fatal(err)
	}
	outside, err := ReadUsageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	after, err := ReadUsage()
	if err != nil {
		t.Fatal(err)
	}
	const resolution = 2 * time.Second / clockTicks // of user and of system time
	if outside.CPU < before.CPU-resolution || outside.CPU > after.CPU+resolution {
		t.Errorf("%s from outside, %s to %s from within", outside.CPU, before.CPU, after.CPU)
	}
	if outside.Resident == 0 || outside.Descriptors < 3 || outside.Descriptors > after.Descriptors+1 {
		t.Errorf("%+v from outside, %+v from within", outside, after)
	}
	if _, err := ReadUsageOf(0); err == nil {
		t.Error("a process that cannot be has a usage")
	}
}
