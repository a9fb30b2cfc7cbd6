package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"larchscale/internal/capacity"
	"larchscale/internal/standin"
)

// addedBound is the most that a server may add to a request's delay at p99, in milliseconds.
const addedBound = 1.6

// senderBound is how late sends may be at p99, in milliseconds, in a run whose delays tell anything of the server.
const senderBound = 0.5

// scalePathCmd measures the request path of one real server process beside stand-ins. A route is a request class, which
// is a JSON-RPC method.
type scalePathCmd struct {
	Tenants     []int         `default:"10,100,1000,4500,10000,42000" help:"Numbers of tenants; the last one is that of the loaded server."`
	Classes     []int         `default:"3,100,1000,4500" help:"Numbers of request classes (routes); the last one is that of the loaded server."`
	Connections []int         `default:"0,500,1000,2000,4000,7700" help:"Numbers of callers' connections; the last one is that of the loaded server."`
	Rates       []float64     `default:"108,1080" help:"Requests a second, one load after the other."`
	Requests    int           `default:"1296" help:"Requests of a load at the first rate; a load at a later one has four times as many."`
	SweepRate   float64       `default:"1080" help:"Requests a second of the loads that are compared between sizes."`
	SweepTime   float64       `default:"2" help:"Seconds of such a load."`
	Repeats     int           `default:"3" help:"Runs of each measurement that is cheap."`
	Sockets     int           `default:"12000" help:"Limit of descriptors in the server's config.json."`
	MemoryMB    int           `default:"512" help:"Limit of memory in the server's config.json."`
	Work        time.Duration `default:"5ms" help:"Work of a run at the stand-in of the worker pool."`
	Seed        uint64        `default:"1" help:"Of the requests and their times."`
	Short       bool          `help:"Small sizes, one run of each: under 30 s."`
	JSON        string        `name:"json" help:"Recording to put the measurements into, for instance docs/capacity.json." placeholder:"FILE"`
	Note        string        `help:"Note on the program, put into each measurement."`
}

// shorten replaces the sizes by small ones.
func (c *scalePathCmd) shorten() {
	c.Tenants = []int{10, 1000, 4500}
	c.Classes = []int{3, 300}
	c.Connections = []int{0, 250, 500}
	c.Requests, c.SweepTime, c.Repeats = 324, 1, 1
}

// Run takes all measurements of the request path.
func (c scalePathCmd) Run(r *report) error {
	if c.Short {
		c.shorten()
	}
	fmt.Printf("seed %d\n", c.Seed)
	home, program, clean, err := built()
	if err != nil {
		return err
	}
	defer clean()
	p := &pathMeasurement{scalePathCmd: c, report: r, home: home, program: program, record: newPathRecord(&c)}
	defer p.processes.killOnInterrupt(clean)()
	for _, step := range []func() error{p.platformLimits, p.tenantSizes, p.classSizes, p.connectionSizes, p.loadedServer} {
		if err := step(); err != nil {
			return err
		}
	}
	return p.record.write(c.JSON)
}

// pathMeasurement is one run of the command.
type pathMeasurement struct {
	scalePathCmd
	report    *report
	home      string
	program   string
	servers   int // started so far
	processes processes
	record    *pathRecord
}

// server is a process under measurement and its stand-ins.
type server struct {
	box  *standin.Box
	site *standin.Site
	size standin.Size
	took time.Duration // of the start, until the link to the worker pool was up
}

// start starts a server of a size. operator is the text of its operator's file.
func (p *pathMeasurement) start(tenants, classes, sockets int, operator string) (*server, error) {
	site, err := standin.NewSite(p.Work)
	if err != nil {
		return nil, err
	}
	size := standin.Size{Tenants: standin.Names("tenant", tenants), Classes: standin.Names("class", classes),
		Sockets: sockets, MemoryMB: p.MemoryMB}
	p.servers++
	name := fmt.Sprintf("s%d", p.servers)
	box, err := standin.NewBoxOfSize(p.program, filepath.Join(p.home, name), name, site, operator, size)
	if err != nil {
		site.Close()
		return nil, err
	}
	began := time.Now()
	if err := box.Start(); err != nil {
		site.Close()
		return nil, err
	}
	started := &server{box: box, site: site, size: size, took: time.Since(began)}
	p.processes.add(box.Pid())
	return started, nil
}

// stop ends a server and its stand-ins.
func (p *pathMeasurement) stop(s *server) {
	s.box.Kill()
	p.processes.remove(s.box.Pid())
	s.site.Close()
}

func (p *pathMeasurement) progress(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "measure scale path: "+format+"\n", values...)
}

// row prints the last recorded point of a series.
func (p *pathMeasurement) row(name, unit string, size int, sizeUnit string, point capacity.Point) {
	p.report.row(fmt.Sprintf("%s, %d %s", name, size, sizeUnit), point.Value, unit)
}

func last(sizes []int) int { return sizes[len(sizes)-1] }
