package driver

import (
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3"
)

// raftLogger maps raft's log lines to levels that suit operators: informational lines are only for debugging.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) Debug(v ...any)              {}
func (l raftLogger) Debugf(string, ...any)       {}
func (l raftLogger) Info(v ...any)               { l.log.Debug("fleet", "raft", fmt.Sprint(v...)) }
func (l raftLogger) Infof(f string, v ...any)    { l.log.Debug("fleet", "raft", fmt.Sprintf(f, v...)) }
func (l raftLogger) Warning(v ...any)            { l.log.Debug("fleet", "raft", fmt.Sprint(v...)) }
func (l raftLogger) Warningf(f string, v ...any) { l.log.Debug("fleet", "raft", fmt.Sprintf(f, v...)) }
func (l raftLogger) Error(v ...any)              { l.log.Warn("fleet", "raft", fmt.Sprint(v...)) }
func (l raftLogger) Errorf(f string, v ...any)   { l.log.Warn("fleet", "raft", fmt.Sprintf(f, v...)) }
func (l raftLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l raftLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }

var _ raft.Logger = raftLogger{}
