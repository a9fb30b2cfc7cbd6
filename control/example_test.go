package control_test

import (
	"fmt"
	"time"

	"larchscale/control"
)

// shop is a worker in memory: it only prints what it is told.
type shop struct{}

func (shop) Run(id uint32)                             { fmt.Println("run", id) }
func (shop) Stop(id uint32)                            { fmt.Println("stop", id) }
func (shop) Refuse(id uint32, _ time.Duration, _ bool) { fmt.Println("refuse", id) }
func (shop) Fail(id uint32)                            { fmt.Println("fail", id) }
func (shop) Call(id uint32, _ time.Duration)           { fmt.Println("call", id) }
func (shop) Skip(id uint32)                            { fmt.Println("skip", id) }
func (shop) Keep(id uint32, _ time.Duration)           { fmt.Println("keep", id) }
func (shop) Forget(id uint32)                          { fmt.Println("forget", id) }
func (shop) Replay(id uint32)                          { fmt.Println("replay", id) }
func (shop) SetLevel(x float64)                        { fmt.Println("level", x) }
func (shop) SetHealth(ok, _ bool)                      { fmt.Println("health", ok) }
func (shop) CloseIdle(time.Duration)                   {}
func (shop) Wake(time.Duration)                        {}
func (shop) Log(text string)                           { fmt.Println(text) }

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
	c, err := control.New(cfg, now, shop{})
	if err != nil {
		fmt.Println(err)
		return
	}
	c.Request(now, control.Request{ID: 1, Class: 0, Rank: 0.2, Left: 3 * time.Second})
	c.Request(now, control.Request{ID: 2, Class: 1, Rank: 0.8, Left: 3 * time.Second})
	c.Decide(now)

	now += 300 * time.Millisecond
	c.Done(now, 2, 300*time.Millisecond, control.OK)
	c.Decide(now)

	c.Leave(now, 2*time.Second)
	c.Decide(now)
	// Output:
	// health true
	// run 2
	// level 0
	// run 1
	// level 1
	// health false
}
