package control

import (
	"fmt"
	"testing"
	"time"
)

// nopWorker is a Worker that does nothing.
type nopWorker struct{}

func (nopWorker) Run(uint32)                         {}
func (nopWorker) Stop(uint32)                        {}
func (nopWorker) Refuse(uint32, time.Duration, bool) {}
func (nopWorker) Fail(uint32)                        {}
func (nopWorker) Call(uint32, time.Duration)         {}
func (nopWorker) Skip(uint32)                        {}
func (nopWorker) Keep(uint32, time.Duration)         {}
func (nopWorker) Forget(uint32)                      {}
func (nopWorker) Replay(uint32)                      {}
func (nopWorker) SetLevel(float64)                   {}
func (nopWorker) SetHealth(bool, bool)               {}
func (nopWorker) CloseIdle(time.Duration)            {}
func (nopWorker) Wake(time.Duration)                 {}
func (nopWorker) Log(string)                         {}

// BenchmarkRequest measures all events of one request, for several sizes of the fleet and of the held queue.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct{ servers, callers, held int }{
		{16, 4, 0}, {330, 1100, 0}, {5000, 20000, 0}, {330, 1100, 20}, {330, 1100, 200},
	} {
		b.Run(fmt.Sprintf("servers=%d/callers=%d/held=%d", size.servers, size.callers, size.held), func(b *testing.B) {
			cfg := baseConfig()
			cfg.Servers, cfg.Callers, cfg.IdleMax, cfg.Memory = size.servers, size.callers, 30*time.Second, 0
			cfg.Classes[0].Aim, cfg.Classes[0].Deadline = 100*time.Hour, 100*time.Hour
			c, err := New(cfg, 0, nopWorker{})
			if err != nil {
				b.Fatal(err)
			}
			for id := uint32(1); id <= uint32(cfg.Cores+size.held); id++ { // some run, the rest is held behind them
				c.Request(0, Request{ID: id, Rank: 0.9, TimeLeft: 99 * time.Hour, Memory: 1})
			}
			c.Decide(0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				now, id := time.Duration(i)*time.Millisecond, uint32(1000+i)
				q := Request{ID: id, Rank: 0.5, TimeLeft: time.Minute, Memory: 1, Caller: uint32(i * 7919 % size.callers)}
				c.Tick(now, Gauges{CoreUse: 0.5, OnCores: 2})
				c.Request(now, q)
				c.Decide(now)
				c.Canceled(now, id)
				c.Done(now, id, time.Millisecond, OK)
			}
		})
	}
}
