package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"larchscale/internal/standin"
)

// Sizes of what a step does not vary.
const (
	fewTenants     = 10
	fewClasses     = 3
	fewConnections = 100
)

const (
	platformSockets = 1024 // the platform's limit of descriptors where config.json names none
	platformTries   = 1500 // connections that are made at that limit
	uwsgiPackets    = 1000 // requests to the uwsgi front of one measurement
	statsReads      = 20   // reads of /stats of one measurement
	warmUpRequests  = 100
	settleTime      = 300 * time.Millisecond // between a change and the reading of the memory
	idleTime        = 2 * time.Second
	laterLoads      = 4 // times as many requests as a load at the first rate
)

// Notes on what the values are.
const (
	restNote  = "Delay from the intended send time to the answer, less the time for which the stand-in of the worker pool worked on the run; loopback, the call below of every third run and scheduling remain in it."
	bareNote  = "The same requests sent straight to the stand-ins of the worker pool and the index, without a server. "
	addedNote = "That quantile of path.total less that of path.bare, measured one after the other. "
	rssNote   = "Whole resident set; the slope is that of one more."
	cpuNote   = "User and system time of the process over the load, its idle work included."
	startNote = "From exec until the link to the worker pool is up."
)

// quantileLevels are the quantiles that are recorded of the loaded server.
var quantileLevels = []struct {
	name    string
	percent float64
}{{"p50", 50}, {"p99", 99}, {"p999", 99.9}}

// platformLimits measures what the program does at the platform's own limits and at the ledger's.
func (p *pathMeasurement) platformLimits() error {
	p.progress("platform's limits")
	s, err := p.start(fewTenants, fewClasses, platformSockets, "")
	if err != nil {
		return err
	}
	defer p.stop(s)
	g := newGenerator(s, p.Seed)
	defer g.close()
	if err := g.connect(min(platformTries, max(last(p.Connections), platformSockets))); err != nil {
		p.progress("at %d descriptors: %v", platformSockets, err)
	}
	time.Sleep(settleTime)
	kept := float64(g.alive())
	p.record.add("path.connections.kept", "connections", "descriptors", "Open at the end of more than the limit; older idle ones make room.", platformSockets, kept)
	p.report.row(fmt.Sprintf("connections kept at %d descriptors", platformSockets), kept, "count")
	return p.ledgerLimit()
}

// ledgerLimit finds whether a server with a ledger starts at the largest number of tenants.
func (p *pathMeasurement) ledgerLimit() error {
	tenants := last(p.Tenants)
	starts := 1.0
	s, err := p.start(tenants, fewClasses, p.Sockets, "[ledger]\ndir = \"$DIR\"\n")
	if err != nil {
		p.progress("with a ledger at %d tenants: %v", tenants, err)
		starts = 0
	} else {
		p.stop(s)
	}
	p.record.add("path.ledger.starts", "0 or 1", "tenants", "Whether a server with a ledger starts.", float64(tenants), starts)
	p.report.row(fmt.Sprintf("starts with a ledger, %d tenants", tenants), starts, "0 or 1")
	return nil
}

// tenantSizes measures start, reload, memory and requests by the number of tenants.
func (p *pathMeasurement) tenantSizes() error {
	for _, tenants := range p.Tenants {
		p.progress("%d tenants", tenants)
		for repeat := range p.Repeats {
			if err := p.sizeOnce("tenant", tenants, tenants, fewClasses, repeat); err != nil {
				return err
			}
		}
		p.sizeRows("tenant", tenants)
	}
	return nil
}

// classSizes measures the same by the number of classes, and /stats and the uwsgi front.
func (p *pathMeasurement) classSizes() error {
	for _, classes := range p.Classes {
		p.progress("%d classes", classes)
		for repeat := range p.Repeats {
			if err := p.sizeOnce("class", classes, fewTenants, classes, repeat); err != nil {
				return err
			}
		}
		p.sizeRows("class", classes)
		for _, series := range []struct{ name, unit string }{{"path.stats.time", "ms"}, {"path.stats.bytes", "bytes"}, {"path.cpu.uwsgi.class", "us"}} {
			p.row(series.name, series.unit, classes, "classes", p.record.point(series.name, float64(classes)))
		}
	}
	return nil
}

// sizeOnce takes one run of a size. kind is "tenant" or "class", whichever has that size.
func (p *pathMeasurement) sizeOnce(kind string, size, tenants, classes, repeat int) error {
	s, err := p.start(tenants, classes, p.Sockets, "")
	if err != nil {
		return err
	}
	defer p.stop(s)
	sizeUnit := map[string]string{"tenant": "tenants", "class": "classes"}[kind]
	add := func(name, unit, note string, value float64) {
		p.record.add(name, unit, sizeUnit, note, float64(size), value)
	}
	add("path.start."+kind, "ms", startNote, ms(s.took))
	time.Sleep(settleTime)
	rss, err := residentKB(s.box.Pid())
	if err != nil {
		return err
	}
	add("path.rss."+kind, "KB", rssNote, rss)
	took, err := s.box.Reload()
	if err != nil {
		return err
	}
	add("path.reload."+kind, "ms", "From SIGHUP until the log says that it is done.", ms(took))

	g := newGenerator(s, p.Seed+uint64(repeat))
	defer g.close()
	if err := g.connect(fewConnections); err != nil {
		return err
	}
	if _, err := g.run(p.SweepRate, warmUpRequests); err != nil {
		return err
	}
	measured, err := g.run(p.SweepRate, int(p.SweepRate*p.SweepTime))
	if err != nil {
		return err
	}
	p.tellUnserved(measured)
	where := fmt.Sprintf("At %g requests a second on %d connections, repeatable classes. ", p.SweepRate, fewConnections)
	add("path.total.p50."+kind, "ms", where+restNote, quantile(measured.repeatable, 50))
	add("path.total.p99."+kind, "ms", where+restNote, quantile(measured.repeatable, 99))
	add("path.cpu.request."+kind, "us", where+cpuNote, float64(measured.cpu.Microseconds())/float64(measured.requests()))
	if kind != "class" {
		return nil
	}
	uwsgi, unserved, err := g.packets(uwsgiPackets)
	if err != nil {
		return err
	}
	if unserved > 0 {
		p.progress("uwsgi: %d of %d not served", unserved, uwsgiPackets)
	}
	add("path.cpu.uwsgi.class", "us", "CPU time for each request to the uwsgi front that tells no rank.", float64(uwsgi.Microseconds()))
	statsTook, bytes, err := statsReading(s.box.Admin)
	if err != nil {
		return err
	}
	add("path.stats.time", "ms", "Median of reads over new connections.", ms(statsTook))
	add("path.stats.bytes", "bytes", "", float64(bytes))
	return nil
}

// sizeRows prints what was recorded at one size.
func (p *pathMeasurement) sizeRows(kind string, size int) {
	for _, series := range []struct{ name, unit string }{{"path.start.", "ms"}, {"path.reload.", "ms"}, {"path.rss.", "KB"},
		{"path.total.p50.", "ms"}, {"path.total.p99.", "ms"}, {"path.cpu.request.", "us"}} {
		p.row(series.name+kind, series.unit, size, "", p.record.point(series.name+kind, float64(size)))
	}
}

// statsReading returns the median time of reads of /stats, and the bytes of one.
func statsReading(admin string) (median time.Duration, bytes int, err error) {
	var times []time.Duration
	for range statsReads {
		began := time.Now()
		response, err := door.Get("http://" + admin + "/stats")
		if err != nil {
			return 0, 0, err
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return 0, 0, err
		}
		if response.StatusCode != http.StatusOK {
			return 0, 0, errors.New(response.Status)
		}
		times, bytes = append(times, time.Since(began)), len(body)
	}
	slices.Sort(times)
	return times[len(times)/2], bytes, nil
}

// connectionSizes measures memory and CPU time by the number of callers' connections.
func (p *pathMeasurement) connectionSizes() error {
	for repeat := range p.Repeats {
		p.progress("connections, run %d of %d", repeat+1, p.Repeats)
		if err := p.connectionsOnce(repeat == p.Repeats-1); err != nil {
			return err
		}
	}
	for _, series := range []struct{ name, unit string }{{"path.rss.connection", "KB"}, {"path.cpu.connect", "us"}, {"path.cpu.uwsgi.connection", "us"}} {
		for _, count := range p.Connections {
			if point := p.record.point(series.name, float64(count)); point.Runs > 0 {
				p.row(series.name, series.unit, count, "connections", point)
			}
		}
	}
	return nil
}

// connectionsOnce takes one run over all numbers of connections. packets also measures the uwsgi front at each number,
// which spoils the memory of the later ones.
func (p *pathMeasurement) connectionsOnce(packets bool) error {
	s, err := p.start(fewTenants, fewClasses, p.Sockets, "")
	if err != nil {
		return err
	}
	defer p.stop(s)
	g := newGenerator(s, p.Seed)
	defer g.close()
	for _, count := range p.Connections {
		before, err := cpuTime(s.box.Pid())
		if err != nil {
			return err
		}
		made := count - len(g.lines)
		if err := g.connect(count); err != nil {
			return err
		}
		after, err := cpuTime(s.box.Pid())
		if err != nil {
			return err
		}
		if made > 0 {
			p.record.add("path.cpu.connect", "us", "connections", "CPU time for each new connection and its health check, mean of those since the size before.",
				float64(count), float64((after-before).Microseconds())/float64(made))
		}
		time.Sleep(settleTime)
		if alive := g.alive(); alive < count {
			p.progress("%d of %d connections open", alive, count)
		}
		rss, err := residentKB(s.box.Pid())
		if err != nil {
			return err
		}
		if !packets || p.Repeats == 1 {
			p.record.add("path.rss.connection", "KB", "connections", rssNote+" Idle ones that asked for the health once.", float64(count), rss)
		}
		if !packets {
			continue
		}
		uwsgi, _, err := g.packets(uwsgiPackets)
		if err != nil {
			return err
		}
		p.record.add("path.cpu.uwsgi.connection", "us", "connections", "CPU time for each request to the uwsgi front beside so many JSON-RPC connections.",
			float64(count), float64(uwsgi.Microseconds()))
	}
	return nil
}

// loadedServer measures the delay added and the CPU time at all sizes' last values together.
func (p *pathMeasurement) loadedServer() error {
	tenants, classes, connections := last(p.Tenants), last(p.Classes), last(p.Connections)
	p.progress("loaded server: %d tenants, %d classes, %d connections", tenants, classes, connections)
	s, err := p.start(tenants, classes, p.Sockets, "")
	if err != nil {
		return err
	}
	defer p.stop(s)
	g := newGenerator(s, p.Seed)
	defer g.close()
	if err := g.connect(connections); err != nil {
		return err
	}
	if err := p.idle(s); err != nil {
		return err
	}
	if _, err := g.run(p.Rates[0], warmUpRequests); err != nil {
		return err
	}
	bareSite, err := standin.NewSite(p.Work)
	if err != nil {
		return err
	}
	defer bareSite.Close()
	bare, err := newBarePath(bareSite)
	if err != nil {
		return err
	}
	defer bare.close()
	for i, rate := range p.Rates {
		count := p.Requests
		if i > 0 {
			count *= laterLoads
		}
		for repeat := range p.Repeats {
			p.progress("%g requests a second, run %d of %d", rate, repeat+1, p.Repeats)
			without := g.send(rate, count, bareSite, bare.do)
			measured, err := g.run(rate, count)
			if err != nil {
				return err
			}
			p.addLoad(measured, without, rate)
		}
		p.loadRows(rate)
	}
	rss, err := residentKB(s.box.Pid())
	if err != nil {
		return err
	}
	p.record.add("path.rss.loaded", "KB", "connections", "At the largest sizes together, after the loads.", float64(connections), rss)
	p.report.row("path.rss.loaded", rss, "KB")
	return nil
}

// idle measures the CPU time that a server uses without requests.
func (p *pathMeasurement) idle(s *server) error {
	time.Sleep(settleTime)
	for range p.Repeats {
		before, err := cpuTime(s.box.Pid())
		if err != nil {
			return err
		}
		began := time.Now()
		time.Sleep(idleTime)
		after, err := cpuTime(s.box.Pid())
		if err != nil {
			return err
		}
		share := (after - before).Seconds() / time.Since(began).Seconds()
		p.record.add("path.cpu.idle", "share of a core", "tenants", "No requests, all connections open.", float64(last(p.Tenants)), share)
	}
	p.report.row("path.cpu.idle", p.record.point("path.cpu.idle", float64(last(p.Tenants))).Value, "core")
	return nil
}

// addLoad records one load of the loaded server, and one of the same requests without a server.
func (p *pathMeasurement) addLoad(measured, without *load, rate float64) {
	p.tellUnserved(measured)
	where := fmt.Sprintf("At %d tenants, %d classes, %d connections, ", last(p.Tenants), last(p.Classes), last(p.Connections))
	const sizeUnit = "requests/s"
	add := func(name, note string, value float64) { p.record.add(name, "ms", sizeUnit, note, rate, value) }
	for _, level := range quantileLevels {
		repeatable, keyed := quantile(measured.repeatable, level.percent), quantile(measured.keyed, level.percent)
		bareRepeatable, bareKeyed := quantile(without.repeatable, level.percent), quantile(without.keyed, level.percent)
		add("path.total."+level.name, where+"repeatable classes. "+restNote, repeatable)
		add("path.total.keyed."+level.name, where+"keyed classes, whose claims are files. "+restNote, keyed)
		add("path.bare."+level.name, bareNote+restNote, bareRepeatable)
		add("path.added."+level.name, where+"repeatable classes. "+addedNote+restNote, repeatable-bareRepeatable)
		add("path.added.keyed."+level.name, where+"keyed classes, whose claims are files. "+addedNote+restNote, keyed-bareKeyed)
		add("path.sender."+level.name, "Lateness of the sends themselves, which is part of path.total.", quantile(measured.sender, level.percent))
	}
	p.record.add("path.cpu.request", "us", sizeUnit, where+"two thirds repeatable. "+cpuNote, rate, float64(measured.cpu.Microseconds())/float64(measured.requests()))
	p.record.add("path.unserved", "share", sizeUnit, where+"refused, failed or lost.", rate, float64(measured.unserved())/float64(measured.requests()))
}

// loadRows prints the medians of the loads at one rate, and holds p99 against its bound. Where the sends themselves were
// late the run fails for that, and the delays added are printed as not judged.
func (p *pathMeasurement) loadRows(rate float64) {
	judged := p.record.point("path.sender.p99", rate).Value <= senderBound
	for _, kind := range []string{"total", "total.keyed", "bare", "sender", "added", "added.keyed"} {
		for _, level := range quantileLevels {
			series := "path." + kind + "." + level.name
			value := p.record.point(series, rate).Value
			label := fmt.Sprintf("%s, %g/s", series, rate)
			switch {
			case level.name == "p99" && strings.HasPrefix(kind, "added") && judged:
				p.report.most(label, value, "ms", addedBound)
			case strings.HasPrefix(kind, "added") && !judged:
				p.report.row(label+", not judged", value, "ms")
			case level.name == "p99" && kind == "sender": // past it the delays are those of a busy machine
				p.report.most(label, value, "ms", senderBound)
			default:
				p.report.row(label, value, "ms")
			}
		}
	}
	p.report.row(fmt.Sprintf("path.cpu.request, %g/s", rate), p.record.point("path.cpu.request", rate).Value, "us")
	p.report.most(fmt.Sprintf("path.unserved, %g/s", rate), p.record.point("path.unserved", rate).Value, "share", 0.01)
}

// tellUnserved prints how requests ended that were not served.
func (p *pathMeasurement) tellUnserved(measured *load) {
	if measured.unserved() > 0 {
		p.progress("ends: %v", measured.ends)
	}
}
