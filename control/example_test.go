package control_test

import (
	"fmt"
	"time"

	"larchscale/control"
)

// printer is a worker that only prints its actions.
type printer struct{}

func (printer) Run(id uint32)                             { fmt.Println("run", id) }
func (printer) Stop(id uint32)                            { fmt.Println("stop", id) }
func (printer) Refuse(id uint32, _ time.Duration, _ bool) { fmt.Println("refuse", id) }
func (printer) Fail(id uint32)                            { fmt.Println("fail", id) }
func (printer) Call(id uint32, _ time.Duration)           { fmt.Println("call", id) }
func (printer) Skip(id uint32)                            { fmt.Println("skip", id) }
func (printer) Keep(id uint32, _ time.Duration)           { fmt.Println("keep", id) }
func (printer) Forget(id uint32)                          { fmt.Println("forget", id) }
func (printer) Replay(id uint32)                          { fmt.Println("replay", id) }
func (printer) SetLevel(x float64)                        { fmt.Println("level", x) }
func (printer) SetHealth(ok, _ bool)                      { fmt.Println("health", ok) }
func (printer) CloseIdle(time.Duration)                   {}
func (printer) Wake(time.Duration)                        {}
func (printer) Log(text string)                           { fmt.Println(text) }

func Example() {
	cfg := control.Config{
		Cores:  1,
		Advert: control.AdvertLevel,
		Classes: []control.Class{
			{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1},
			{Aim: time.Second, Deadline: 3 * time.Second, Worth: 5},
		},
	}
	now := time.Duration(0)
	c, err := control.New(cfg, now, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	c.Request(now, control.Request{ID: 1, Class: 0, Rank: 0.2, TimeLeft: 3 * time.Second})
	c.Request(now, control.Request{ID: 2, Class: 1, Rank: 0.8, TimeLeft: 3 * time.Second})
	c.Decide(now)

	now += 300 * time.Millisecond
	c.Done(now, 2, 300*time.Millisecond, control.OK)
	c.Decide(now)

	c.Drain(now, 2*time.Second)
	c.Decide(now)
	// Output:
	// health true
	// run 2
	// level 0
	// run 1
	// level 1
	// health false
}
