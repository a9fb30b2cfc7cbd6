package driver

import (
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3"
)

// quiet gives raft's own log lines at levels that suit staff.
type quiet struct{ log *slog.Logger }

func (q quiet) Debug(v ...any)              {}
func (q quiet) Debugf(string, ...any)       {}
func (q quiet) Info(v ...any)               { q.log.Debug("fleet", "raft", fmt.Sprint(v...)) }
func (q quiet) Infof(f string, v ...any)    { q.log.Debug("fleet", "raft", fmt.Sprintf(f, v...)) }
func (q quiet) Warning(v ...any)            { q.log.Debug("fleet", "raft", fmt.Sprint(v...)) }
func (q quiet) Warningf(f string, v ...any) { q.log.Debug("fleet", "raft", fmt.Sprintf(f, v...)) }
func (q quiet) Error(v ...any)              { q.log.Warn("fleet", "raft", fmt.Sprint(v...)) }
func (q quiet) Errorf(f string, v ...any)   { q.log.Warn("fleet", "raft", fmt.Sprintf(f, v...)) }
func (q quiet) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }

var _ raft.Logger = quiet{}
