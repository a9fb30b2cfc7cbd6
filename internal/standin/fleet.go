package standin

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/link"
	"larchscale/internal/standin/faultnet"
)

// FleetOptions say what a fleet of real processes is made of.
type FleetOptions struct {
	Boxes, Zones, Voters int
	DrainMs, SilentMs    int
	Work                 time.Duration // of a run
	TakeOver             bool
	TrialCalls           []string      // addresses that calls may go to in a trial
	Window               time.Duration // for which a keyed result is kept; 0 = Window
	GiveUp               time.Duration // after which a request is given up; 0 = giveUp
	Memory               int           // MB that a box may use; 0 = Memory
	Direct               bool          // they reach each other without Net: nothing goes wrong on the way, or takes longer
	Makes                []Make        // box i runs Makes[i % len(Makes)]; none = all run the fleet's program
	Certs                string        // a directory with ca.crt, and NAME.crt and NAME.key of each box and of ops; "" = without
}

// overs is the line of an operator's file that has keyed work outlive its box. A program that knows none of it is not
// given any.
var overs = map[bool]string{true: "take_over = true\n"}

// arms is the line of an operator's file that names where calls may go in a trial.
func arms(addrs []string) string {
	if len(addrs) == 0 {
		return ""
	}
	return fmt.Sprintf("trial_calls = [\"%s\"]\n", strings.Join(addrs, "\", \""))
}

// Fleet is real processes that settle among themselves who is taken out. What one says to another passes a relay of
// Net; operators, balancers and staff reach each box directly.
type Fleet struct {
	Net     *faultnet.Net
	Members []*Member
	Calls   *Churn // of Call; nil = none
	over    chan struct{}
	doors   sync.Once
	next    func() *Member // what Balance gives
	dismiss func() *Watch  // ends the staff's watch; nil = there are none
}

// Member is one box of a fleet, on files that outlive its processes. Its methods may be called from several goroutines.
type Member struct {
	*Box
	Zone, Addr string
	Site       *Site

	dir    string // the fleet's part of its disk
	text   func(Make) (program, operator string)
	way    link.Options
	mu     sync.Mutex
	up     bool
	frozen bool
	worked bool      // staff have it
	since  time.Time // when its process was up
	works  int
	downs  []Span
}

// NewFleet starts all processes of a fleet under home, and has the first found it.
func NewFleet(program, home string, o FleetOptions) (*Fleet, error) {
	f := &Fleet{Net: faultnet.New(), over: make(chan struct{})}
	if err := f.start(program, home, o); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(program, home string, o FleetOptions) (err error) {
	for i := range o.Boxes {
		m := &Member{Zone: string(rune('a' + i%o.Zones))}
		if m.Addr, err = FreeAddr(); err != nil {
			return err
		}
		m.Box = &Box{Name: fmt.Sprintf("n%d", i+1)}
		f.Members = append(f.Members, m)
	}
	for i, m := range f.Members {
		ways := ""
		for _, to := range f.Members {
			addr := to.Addr
			if to != m && !o.Direct {
				if addr, err = f.Net.Relay(m.Name, to.Name, to.Addr); err != nil {
					return err
				}
			}
			ways += fmt.Sprintf("%q, ", to.Name+"="+addr)
		}
		if m.Site, err = NewSite(o.Work); err != nil {
			return err
		}
		at := filepath.Join(home, m.Name)
		m.dir = filepath.Join(at, "fleet")
		lines := ""
		if o.Certs != "" {
			file := func(name string) string { return filepath.Join(o.Certs, name) }
			lines = fmt.Sprintf("ca = %q\ncert = %q\nkey = %q\n", file("ca.crt"), file(m.Name+".crt"), file(m.Name+".key"))
			m.way = link.Options{CA: file("ca.crt"), Cert: file("ops.crt"), Key: file("ops.key")}
		}
		m.text = func(k Make) (string, string) {
			return cmp.Or(k.Program, program), fmt.Sprintf("%s[ledger.peers]\nlisten = %q\nboxes = [%s]\n%s[fleet]\ndir = %q\nzone = %q\nvoters = %d\ndrain_ms = %d\nsilent_ms = %d\n%s",
				k.Operator, m.Addr, ways, lines, m.dir, m.Zone, o.Voters, cmp.Or(k.DrainMs, o.DrainMs), cmp.Or(k.SilentMs, o.SilentMs), overs[k.TakeOver || o.TakeOver]+arms(o.TrialCalls))
		}
		k := Make{}
		if len(o.Makes) > 0 {
			k = o.Makes[i%len(o.Makes)]
		}
		runs, operator := m.text(k)
		size := Size{Tenants: Stands, Classes: Classes, Sockets: defaultSockets, MemoryMB: cmp.Or(o.Memory, Memory), GiveUp: o.GiveUp}
		if m.Box, err = newBoxOfSize(runs, at, m.Name, m.Site, operator, cmp.Or(o.Window, Window), size); err != nil {
			return err
		}
	}
	errs := make([]error, len(f.Members))
	var all sync.WaitGroup
	for i, m := range f.Members {
		all.Go(func() { errs[i] = m.Start() })
	}
	if all.Wait(); errors.Join(errs...) != nil {
		return errors.Join(errs...)
	}
	if err := Until("the first takes part", 10*time.Second, func() bool { _, err := f.Members[0].State(); return err == nil }); err != nil {
		return err
	}
	return f.Members[0].Say(context.Background(), driver.Command{Found: true})
}

// Close ends all processes.
func (f *Fleet) Close() {
	if f.dismiss != nil {
		f.dismiss()
	}
	close(f.over)
	if f.Calls != nil {
		f.Calls.Stop()
	}
	for _, m := range f.Members {
		m.Kill()
		if m.Site != nil {
			m.Site.Close()
		}
	}
	f.Net.Close()
}

// Member gives a box by its name.
func (f *Fleet) Member(name string) *Member {
	return f.Members[slices.IndexFunc(f.Members, func(m *Member) bool { return m.Name == name })]
}

// Names are all boxes' names, sorted.
func (f *Fleet) Names() []string {
	var out []string
	for _, m := range f.Members {
		out = append(out, m.Name)
	}
	slices.Sort(out)
	return out
}

// Balance has a balancer ask each door every 50 ms until the fleet's end, and gives what tells a box that said yes, each
// in its turn; nil = none did.
func (f *Fleet) Balance() func() *Member {
	f.doors.Do(func() { f.next = f.balance() })
	return f.next
}

func (f *Fleet) balance() func() *Member {
	good := make([]atomic.Bool, len(f.Members))
	for i, m := range f.Members {
		go func() {
			for c := time.NewTicker(50 * time.Millisecond); ; {
				select {
				case <-f.over:
					c.Stop()
					return
				case <-c.C:
					good[i].Store(Health(m.Admin) == http.StatusOK)
				}
			}
		}()
	}
	var turn atomic.Uint64
	return func() *Member {
		for range f.Members {
			if i := int(turn.Add(1) % uint64(len(f.Members))); good[i].Load() {
				return f.Members[i]
			}
		}
		return nil
	}
}

// Call has callers send through the balancer.
func (f *Fleet) Call(callers int) {
	next := f.Balance()
	f.Calls = NewChurnAt(func(int) string {
		if m := next(); m != nil {
			return m.Listen
		}
		return ""
	}, callers)
}

// ErrWait is what did not come to be in time.
var ErrWait = errors.New("it does not come to be")

// Until waits until done holds.
func Until(what string, most time.Duration, done func() bool) error {
	for end := time.Now().Add(most); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s, within %s: %w", what, most, ErrWait)
		}
	}
	return nil
}

// Settle waits until all boxes hold the same state, in which all are members and in, and so many vote.
func (f *Fleet) Settle(most time.Duration, voters int) error {
	return Until("all boxes are in", most, func() bool {
		return f.same(func(s driver.Status) bool {
			n := 0
			for _, x := range s.Members {
				if x.Voter {
					n++
				}
			}
			return s.Leader != "" && len(s.Members) == len(f.Members) && n >= voters &&
				!slices.ContainsFunc(s.Boxes, func(b maintenance.Server) bool { return b.Phase != maintenance.InService || b.Incarnation == 0 })
		})
	})
}

// same tells that all boxes hold one state, for which ok holds.
func (f *Fleet) same(ok func(driver.Status) bool) bool {
	var first driver.Status
	for i, m := range f.Members {
		s, err := m.State()
		if i == 0 {
			first = s
		}
		if err != nil || s.Index != first.Index || s.Digest != first.Digest || !ok(s) {
			return false
		}
	}
	return true
}

// Over waits until all boxes hold the same state, in which a plan is over, and gives the plan.
func (f *Fleet) Over(plan string, most time.Duration) (p maintenance.Plan, err error) {
	err = Until("plan "+plan+" is over everywhere", most, func() bool {
		return f.same(func(s driver.Status) bool {
			x := s.Plan(plan)
			if x == nil || x.State < maintenance.Done || slices.ContainsFunc(s.Boxes, func(b maintenance.Server) bool { return b.Phase != maintenance.InService }) {
				return false
			}
			p = *x
			return true
		})
	})
	return p, err
}

// Leader is the box that leads as those that answer see it; nil = none says.
func (f *Fleet) Leader() *Member {
	var best driver.Status
	for _, m := range f.Members {
		if s, err := m.State(); err == nil && s.Leader != "" && s.Term >= best.Term {
			best = s
		}
	}
	if best.Leader == "" {
		return nil
	}
	return f.Member(best.Leader)
}

// asks is how long an operator or staff wait for an answer.
const asks = 12 * time.Second

func (m *Member) client() (*link.Client, error) {
	l, err := link.New(m.way, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	return l.Dial(m.Name, m.Addr), nil
}

// State is how the fleet stands, as this box sees it.
func (m *Member) State() (driver.Status, error) {
	c, err := m.client()
	if err != nil {
		return driver.Status{}, err
	}
	defer c.Close()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	return driver.FetchStatus(ctx, c)
}

// Say sends an operator's word to this box.
func (m *Member) Say(ctx context.Context, w driver.Command) error {
	c, err := m.client()
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, stop := context.WithTimeout(ctx, asks)
	defer stop()
	return driver.SendCommand(ctx, c, w)
}

// Propose has an operator ask this box for a plan.
func (m *Member) Propose(ctx context.Context, p maintenance.Plan) error {
	return m.Say(ctx, driver.Command{Entry: maintenance.Entry{Kind: maintenance.Propose, Plan: p}})
}

// Start starts its process if it has none and staff do not work on it.
func (m *Member) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.worked {
		return nil
	}
	return m.start()
}

func (m *Member) start() error {
	if m.up {
		return nil
	}
	err := m.Box.Start()
	if n := len(m.downs); err == nil && n > 0 && m.downs[n-1].To.IsZero() {
		m.downs[n-1].To = time.Now()
	}
	m.up, m.frozen, m.since = err == nil, false, time.Now()
	return err
}

// Kill ends its process at once.
func (m *Member) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kill()
}

func (m *Member) kill() {
	if m.up {
		m.downs = append(m.downs, Span{From: time.Now()})
		m.Box.Kill()
		m.up = false
	}
}

// Wipe ends its process at once; what the fleet kept there is gone.
func (m *Member) Wipe() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kill()
	return os.RemoveAll(m.dir)
}

// Freeze stops its process where it is, or has it go on.
func (m *Member) Freeze(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.up || m.frozen == on:
		return
	case on:
		m.downs = append(m.downs, Span{From: time.Now()})
		m.Box.Freeze()
	default:
		m.Box.Thaw()
		m.downs[len(m.downs)-1].To = time.Now()
	}
	m.frozen = on
}

// FleetDir is where it keeps the fleet's log.
func (m *Member) FleetDir() string { return m.dir }

// Works tells how often staff have worked on the machine.
func (m *Member) Works() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.works
}

// away tells that the box does not take requests by the fleet's word: its door says no, or staff have it. A process
// that is dead, stopped or hardly up is away by nobody's word.
func (m *Member) away() bool {
	m.mu.Lock()
	up, worked := m.up && !m.frozen && time.Since(m.since) > time.Second, m.worked
	m.mu.Unlock()
	return worked || up && Health(m.Admin) == http.StatusServiceUnavailable
}

// Health is what a box's health says at its door; 0 = nothing.
func Health(addr string) int {
	c := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + addr + "/healthcheck")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, io.LimitReader(res.Body, 1<<10))
	return res.StatusCode
}

// Figures are those of its door's /stats, by name; nil = it does not answer.
func (m *Member) Figures() map[string]float64 { return Stats(m.Admin) }

// Stats are the metrics of an admin endpoint, by name; nil = it does not answer.
func Stats(addr string) map[string]float64 {
	c := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + addr + "/stats")
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	out := map[string]float64{}
	for lines := bufio.NewScanner(io.LimitReader(res.Body, 1<<20)); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), "=")
		if x, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = x
		}
	}
	return out
}

// Watch is what was seen of a fleet from outside.
type Watch struct {
	Most   int      // boxes that were away at a time
	Faults []string // what must not be seen
}

// Staff has staff look after all boxes, as from outside: they count who is away, end the process of a box that is out,
// work on its machine for so long and start it again; note tells of each. finish, or the fleet's end, sends them away,
// and tells what they saw.
func (f *Fleet) Staff(work time.Duration, note func(string)) (finish func() *Watch) {
	ctx, stop := context.WithCancel(context.Background())
	seen := make(chan *Watch, 1)
	go func() { seen <- f.watch(ctx, work, note) }()
	f.dismiss = sync.OnceValue(func() *Watch {
		stop()
		return <-seen
	})
	return f.dismiss
}

// Look asks something of all boxes at a time.
func (f *Fleet) Look(is func(*Member) bool) []bool {
	out := make([]bool, len(f.Members))
	var all sync.WaitGroup
	for i, m := range f.Members {
		all.Go(func() { out[i] = is(m) })
	}
	all.Wait()
	return out
}

func (f *Fleet) watch(ctx context.Context, work time.Duration, note func(string)) *Watch {
	w := &Watch{}
	var busy sync.WaitGroup
	for ; ctx.Err() == nil; time.Sleep(40 * time.Millisecond) {
		away := f.Look((*Member).away)
		n := 0
		for i, m := range f.Members {
			if !away[i] {
				continue
			}
			n++
			s, err := m.State()
			b := s.State.Server(m.Name)
			if err != nil || b == nil || b.Incarnation != s.Incarnation {
				continue
			}
			switch phase := b.Phase; {
			case phase == maintenance.Drained && m.take():
				note(m.Name + " is out")
				busy.Go(func() {
					if err := m.work(work); err != nil {
						note(m.Name + ": " + err.Error())
					}
				})
			case s.Self.Hold && phase != maintenance.Draining && phase != maintenance.Drained:
				w.Faults = append(w.Faults, m.Name+" drains, and the log has it "+phase.String())
			}
		}
		w.Most = max(w.Most, n)
	}
	busy.Wait()
	return w
}

// take has staff come to a box; false = they are there, or its process is not.
func (m *Member) take() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.worked || !m.up || m.frozen {
		return false
	}
	m.worked = true
	m.works++
	return true
}

// work ends the process, and starts it after so long.
func (m *Member) work(d time.Duration) error {
	m.mu.Lock()
	var err error
	if m.up {
		if m.frozen {
			m.Box.Thaw()
			m.frozen = false
		}
		var code int
		if code, err = m.Box.Stop(); code != 0 && err == nil {
			err = fmt.Errorf("it ended with %d", code)
		}
		m.up = false
	}
	m.mu.Unlock()
	time.Sleep(d)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.worked = false
	return errors.Join(err, m.start())
}

// Stands is how a part of what the fleet agrees on stands as this box sees it, into s.
func (m *Member) Stands(part string, s any) error {
	c, err := m.client()
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	return driver.FetchModuleStatus(ctx, c, part, s)
}
