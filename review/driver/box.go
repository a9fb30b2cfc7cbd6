package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// box is one app server as a process of its own, with its stand-ins.
type box struct {
	name, zone            string
	listen, peers, admin  string
	desk                  string // the uwsgi front
	dir                   string
	pool                  *pool
	directory             net.Listener
	cmd                   *exec.Cmd
	ended                 chan struct{}
	log                   *record
	root, run, configPath string
	operatorPath          string
	memoryMB, sockets     int    // limits
	temp                  string // $TMPDIR of a process that shares it; "" = a new one for each start
}

// givenAddrs are the addresses that freeAddr has given.
var givenAddrs = map[string]bool{}

// freeAddr returns a loopback address that nobody listens on, below the ports that connections get.
func freeAddr() (string, error) {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20_000+rand.IntN(12_000))
		l, err := net.Listen("tcp", addr)
		if err != nil || givenAddrs[addr] {
			continue
		}
		givenAddrs[addr] = true
		return addr, l.Close()
	}
	return "", errors.New("no free address")
}

// newBox makes a box, with its folder, its worker pool and its directory. Its process is not started.
func newBox(o *options, log *record, name string, work time.Duration, ran *runs) (b *box, err error) {
	b = &box{name: name, log: log, root: o.root, run: o.run, dir: filepath.Join(o.dir, name), memoryMB: 192, sockets: 1024}
	b.configPath, b.operatorPath = filepath.Join(b.dir, "config.json"), filepath.Join(b.dir, "operator.toml")
	if err := os.MkdirAll(b.dir, 0o700); err != nil {
		return nil, err
	}
	for _, addr := range []*string{&b.listen, &b.peers, &b.admin, &b.desk} {
		if *addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	if b.directory, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go serveDirectory(b.directory)
	if b.pool, err = newPool(b.name, work, log, ran); err != nil {
		b.directory.Close()
		return nil, err
	}
	return b, b.writeConfig()
}

// close ends the box and its stand-ins.
func (b *box) close() {
	b.kill()
	b.pool.close()
	b.directory.Close()
}

// writeConfig writes config.json as the platform does, with the settings of a small deployment.
func (b *box) writeConfig() error {
	class := func(name, effect string, aim, giveUp, worth, window int) map[string]any {
		return map[string]any{"Name": name, "AimUs": aim * 1000, "GiveUpUs": giveUp * 1000, "Importance": worth, "LateWorth": 0.2,
			"Effect": effect, "MemorySpanUs": window * 1000}
	}
	tenant := func(name string, share float64) map[string]any {
		return map[string]any{"Name": name, "Fraction": share, "QuotaPerS": 200 * share}
	}
	config := map[string]any{"name": b.name, "listen": b.listen, "pool": b.pool.addr, "lookup": b.directory.Addr().String(),
		"seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": map[string]any{"cores": 1.0, "memory_mb": b.memoryMB, "sockets": b.sockets},
		"settings": map[string]any{"Servers": 5, "QuantumUs": 5000, "OverShareWorth": 0.1,
			"RequestClasses": []any{class("fare-quote", "repeatable", 2900, 8700, 1, 5000), class("ride-status", "repeatable", 2900, 8700, 1, 5000),
				class("book-ride", "by_key", 3500, 12000, 3, 34668)},
			"Tenants": []any{tenant("howrah-stand", 0.36), tenant("sealdah-stand", 0.29), tenant("esplanade-stand", 0.25), tenant("dum-dum-stand", 0.1)},
			"FamilyInfo": map[string]any{"Advert": "level", "Below": "none", "Preemption": "drop", "ClassCalls": []bool{false, false, false},
				"ClassSkipWorth": []int{0, 0, 0}, "Cpus": 6, "Upstreams": 3, "HangupSeen": true, "PassesDeadline": true, "HeardForUs": 1000000,
				"KeepaliveMaxUs": 30000000, "KeyKb": 76.7, "MemoryKb": 54300, "RunFactor": 8, "RegistryFollows": true,
				"OwnStats": []string{"core_use", "on_cores", "heap_share", "links"}},
			"Limits": map[string]any{"RetryAfter": true, "MaxRetryAfterUs": 1000000},
			"Safety": map[string]any{"AnswerSlackUs": 80000, "ColdFrom": 0.21, "ColdUs": 18000000, "DrainGraceUs": 2500000, "FallMultiple": 8, "FallUs": 1500000}}}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(b.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(b.configPath+".new", b.configPath)
}

// start starts the process by the deploy file's command. Its log goes to a file of its own.
func (b *box) start() error {
	log, err := os.OpenFile(filepath.Join(b.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	temp := b.temp
	if temp == "" {
		if temp, err = os.MkdirTemp(b.dir, "tmp"); err != nil {
			return err
		}
	}
	b.cmd = exec.Command("/bin/sh", "-c", b.run)
	b.cmd.Dir, b.cmd.Stdout, b.cmd.Stderr = b.root, log, log
	b.cmd.Env = append(os.Environ(), "BALANCER_NAME="+b.name, "BALANCER_LISTEN="+b.listen, "BALANCER_CONFIG="+b.configPath,
		"BALANCER_ADMIN="+b.admin, "LARCHSCALE_OPERATOR="+b.operatorPath, "TMPDIR="+temp)
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	b.ended = ended
	go func(cmd *exec.Cmd) {
		cmd.Wait()
		close(ended)
	}(b.cmd)
	b.log.note("%s: its process starts", b.name)
	return nil
}

// kill ends the process at once.
func (b *box) kill() {
	if b.cmd == nil || b.cmd.Process == nil {
		return
	}
	b.cmd.Process.Kill()
	<-b.ended
	b.log.note("%s: its process is killed", b.name)
}

// stats returns the figures of the operators' door; nil if it does not answer.
func (b *box) stats() map[string]float64 {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + b.admin + "/stats")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	figures := map[string]float64{}
	for lines := bufio.NewScanner(io.LimitReader(response.Body, 1<<20)); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), "=")
		if x, err := strconv.ParseFloat(value, 64); err == nil {
			figures[name] = x
		}
	}
	return figures
}

// up reports whether the process says that it serves.
func (b *box) up() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + b.admin + "/healthcheck")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serveDirectory answers every report with 204.
func serveDirectory(l net.Listener) {
	http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	}))
}

// fleet is five app servers that settle among themselves who has a keyed request.
type fleet struct {
	boxes []*box
	ran   *runs
}

// newFleet starts a fleet with take_over in three zones, and waits until each shard has two replicas.
func newFleet(o *options, log *record, work time.Duration) (*fleet, error) {
	f := &fleet{ran: &runs{}}
	if err := f.start(o, log, work); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(o *options, log *record, work time.Duration) error {
	for i, zone := range []string{"a", "b", "c", "a", "b"} {
		b, err := newBox(o, log, fmt.Sprintf("n%d", i+1), work, f.ran)
		if err != nil {
			return err
		}
		b.zone = zone
		f.boxes = append(f.boxes, b)
	}
	for _, b := range f.boxes {
		var others []string
		for _, other := range f.boxes {
			if other != b {
				others = append(others, strconv.Quote(other.name+"="+other.peers))
			}
		}
		text := fmt.Sprintf("[uwsgi]\nlisten = %q\n[ledger.peers]\nlisten = %q\nboxes = [%s]\n[fleet]\ndir = %q\nzone = %q\ntake_over = true\n",
			b.desk, b.peers, strings.Join(others, ", "), filepath.Join(b.dir, "fleet"), b.zone)
		if err := os.WriteFile(b.operatorPath, []byte(text), 0o600); err != nil {
			return err
		}
		if err := b.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if err := until(10*time.Second, func() bool { return f.ctl(o, log, "found") == nil }); err != nil {
		return fmt.Errorf("found: %w", err)
	}
	if err := until(60*time.Second, f.healthy); err != nil {
		return fmt.Errorf("the fleet does not come up: %w", err)
	}
	log.note("all servers hold a lease, and each shard has two replicas")
	return f.ctl(o, log, "members")
}

// ctl runs an operator's command at the first server.
func (f *fleet) ctl(o *options, log *record, args ...string) error {
	out, err := exec.Command(filepath.Join(o.root, "bin", "larchctl"), append(append([]string{"fleet"}, args...), "--operator", f.boxes[0].operatorPath)...).CombinedOutput()
	log.note("larchctl fleet %s: %v\n%s", strings.Join(args, " "), err, out)
	return err
}

func (f *fleet) healthy() bool {
	for _, b := range f.boxes {
		figures := b.stats()
		if figures["fleet.lives"] != float64(len(f.boxes)) || figures["fleet.lease_ms"] == 0 || figures["fleet.homes"] == 0 ||
			figures["fleet.bare"] != 0 || figures["keys.shut"] != 0 {
			return false
		}
	}
	return true
}

func (f *fleet) close() {
	for _, b := range f.boxes {
		b.close()
	}
}

var errTime = errors.New("not in time")

// until waits until done holds.
func until(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return errTime
		}
	}
	return nil
}
