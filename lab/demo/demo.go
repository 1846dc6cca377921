// Package demo takes two builds, a good one and a bad one, through a small plan on loopback, with relays, desk and
// planners as real processes, and watches from outside that no relay goes over its cap.
package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lichenroad/internal/linewire"
	"lichenroad/internal/planxml"
	"lichenroad/internal/releasecontroller"
	"lichenroad/lab/fakes"
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Facts of the demonstration.
const (
	relays     = 3
	ofEach     = 3                      // planners of a build at a site
	perSecond  = 60.0                   // queries to each relay
	took       = 5 * time.Millisecond   // of a query
	patience   = 800 * time.Millisecond // of a client
	window     = 2.0                    // s in which exposure is counted
	freeLegs   = 1.0 + 2                // legs in it that are free, and two as the platform's page has it for sockets
	slack      = 1.04                   // as it has too
	lowerAfter = 0.5                    // s after which a lower cap binds: its news, the grace, legs on their way
)

var sites = []string{"bole", "kality"}
var customers = []string{"dairy", "goods", "nobody"} // of the pilot, of the rest, of no group

// Options are what a demonstration is given.
type Options struct {
	Self  string // the program
	Dir   string // for configurations, journal and report
	Out   io.Writer
	Limit time.Duration // after which it gives up
}

// Result is what it showed.
type Result struct {
	Queries, Honoured, Denied, Failed, TrialLegs int
	GoodOut, BadBack                             bool
	MostOfCap                                    float64
	Broken                                       []string
	Report                                       string
}

type leg struct {
	at       float64
	relay    int
	customer string
	build    int
}

type asked struct {
	at       float64
	relay    int
	customer string
}

type show struct {
	o       Options
	begun   time.Time
	plan    *plan.Plan
	file    string
	watch   string
	disc    *fakes.Discovery
	desk    *fakes.Process
	mu      sync.Mutex
	units   map[string]fakes.Endpoint
	procs   []*fakes.Process
	legs    []leg
	asked   []asked
	news    []toldAt
	bad     map[int]bool
	counts  [4]atomic.Int64
	stable  int
	clients sync.WaitGroup
}

type toldAt struct {
	at float64
	n  relay.RolloutStatus
}

// start runs the program with some words; lines of its standard output go to each.
func (s *show) start(each func(string), words ...string) (*fakes.Process, error) {
	p, err := fakes.StartProcess(s.o.Self, s.o.Dir, each, words...)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	return p, nil
}

func (s *show) now() float64 { return time.Since(s.begun).Seconds() }

func (s *show) say(format string, a ...any) {
	fmt.Fprintf(s.o.Out, "%5.1f s  %s\n", s.now(), fmt.Sprintf(format, a...))
}

func planText(ports []string) string {
	var b strings.Builder
	b.WriteString(`<plan version="1" clock-skew="1s" news-life="10s">
  <site name="bole"/><site name="kality"/>
  <group name="pilot"><customer name="dairy"/></group>
  <group name="rest"><customer name="goods"/></group>
`)
	fmt.Fprintf(&b, `  <service name="map-data" watch="%s">
    <votes control="clock" step-time="2s"/>
    <step name="all" share="1" cap="1" least="1s"><open/></step>
  </service>
  <service name="planner" watch="%s" back-for="1s" settle="2s">
    <votes control="share" on="0.6" back="0.3"/>
    <step name="pilot" share="0.17" cap="0.25" least="3s"><open site="bole" group="pilot"/><needs service="map-data"/></step>
    <step name="all" share="1" cap="0.6" least="4s"><open site="bole" group="rest"/><open site="kality"/></step>
`, ports[0], ports[1])
	for i := range relays {
		fmt.Fprintf(&b, "    <relay name=\"n%d\" site=\"%s\" listen=\"%s\"/>\n", i, sites[i%2], ports[2+i])
	}
	b.WriteString("  </service>\n</plan>\n")
	return b.String()
}

func (s *show) config(i int, listen, platform string) map[string]any {
	const ms = 1000000
	settings := map[string]any{"areas": sites, "kinds": []string{"m"}, "az": i % 2, "my_number": i, "replicas_of_me": relays, "discovery": "subscribe",
		"grades": []any{map[string]any{"name": "look", "repeat": "retryable", "target": 300 * ms, "deadline": 1000 * ms, "worth": 1}},
		"tenants": []any{map[string]any{"name": customers[0], "share": 0.4, "quota_per_s": 1000}, map[string]any{"name": customers[1], "share": 0.4, "quota_per_s": 1000},
			map[string]any{"name": customers[2], "share": 0.2, "quota_per_s": 1000}},
		"policy_limits": map[string]any{"cancel": true, "conn_idle": 30000 * ms, "dial_timeout": 250 * ms, "max_attempts": 3, "retry_after": true, "max_retry_after": 1000 * ms},
		"report":        map[string]any{"via": "off"}, "rules": map[string]any{"drain_grace": 250 * ms, "ask_every": 10000 * ms},
		"family_info": map[string]any{"call_timeout": 500 * ms, "exposure_caps": []float64{0.25, 0.6}, "waves": []float64{0.17, 1}, "uncounted": 1, "span": 2000 * ms,
			"decided_by": "by_count", "to_advance": 2, "to_abort": 1, "ballot_ttl": 10000 * ms, "votes_per_s": 100, "min_dwell": 2000 * ms}}
	return map[string]any{"name": fmt.Sprintf("n%d", i), "listen": listen, "discovery": s.disc.Addr(), "seed": strconv.Itoa(11 + i),
		"platform": map[string]any{"address": platform}, "known": s.disc.List(), "settings": settings}
}

// launch starts a planner and lists it when it answers.
func (s *show) launch(build int, site string, fails float64) error {
	ports, err := fakes.FreePorts(1)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("b%d-%s-%d", build, site, time.Now().UnixNano())
	p, err := s.start(func(line string) { s.leg(line, build) }, "lab", "planner", "--listen", ports[0], "--name", name,
		"--took", took.String(), "--fails", strconv.FormatFloat(fails, 'g', -1, 64))
	if err != nil {
		return err
	}
	if err := fakes.WaitListening(ports[0], p); err != nil {
		return fmt.Errorf("planner %s: %w", name, err)
	}
	s.mu.Lock()
	s.units[name] = fakes.Endpoint{ID: name, HostPort: ports[0], Zone: site, MachineType: "m", Lifecycle: "SERVING", Weight: 1,
		StartedMs: time.Now().UnixMilli(), Build: build}
	s.mu.Unlock()
	s.list()
	return nil
}

// leg notes what a planner took in: when, from which relay, for whom.
func (s *show) leg(line string, build int) {
	w := strings.Fields(line)
	if len(w) != 4 || w[0] != "leg" {
		return
	}
	at, _ := strconv.ParseInt(w[1], 10, 64)
	id, _ := strconv.ParseUint(w[2], 16, 64)
	s.mu.Lock()
	s.legs = append(s.legs, leg{float64(at-s.begun.UnixNano()) / 1e9, int(id >> 48), w[3], build})
	s.mu.Unlock()
}

func (s *show) list() {
	s.mu.Lock()
	var out []fakes.Endpoint
	for _, u := range s.units {
		out = append(out, u)
	}
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	s.disc.Set(out)
}

// drain lists some planners as draining, and takes them off the list a little later.
func (s *show) drain(which func(fakes.Endpoint) bool) {
	s.mu.Lock()
	var names []string
	for name, u := range s.units {
		if which(u) && u.Lifecycle == "SERVING" {
			u.Lifecycle = "DRAINING"
			s.units[name] = u
			names = append(names, name)
		}
	}
	s.mu.Unlock()
	s.list()
	time.AfterFunc(1500*time.Millisecond, func() {
		s.mu.Lock()
		for _, name := range names {
			delete(s.units, name)
		}
		s.mu.Unlock()
		s.list()
	})
}

// deploy brings the fleet to where the desk stands.
func (s *show) deploy(n relay.RolloutStatus) error {
	build := int(n.Build)
	have := map[string]int{}
	s.mu.Lock()
	for _, u := range s.units {
		if u.Build == build && u.Lifecycle == "SERVING" {
			have[u.Zone]++
		}
	}
	fails := 0.0
	if s.bad[build] {
		fails = 0.5
	}
	s.mu.Unlock()
	switch n.Phase {
	case relay.PhaseCanary, relay.PhaseReleased:
		for i, site := range sites {
			want := 1
			if n.Stage >= 1 || n.Phase == relay.PhaseReleased {
				want = ofEach
			} else if i > 0 {
				want = 0 // the first step is at one site
			}
			for k := have[site]; k < want; k++ {
				if err := s.launch(build, site, fails); err != nil {
					return err
				}
			}
		}
		if n.Phase == relay.PhaseReleased && s.stable < build {
			s.stable = build
			s.drain(func(u fakes.Endpoint) bool { return u.Build < build })
		}
	case relay.PhaseRollingBack:
		s.drain(func(u fakes.Endpoint) bool { return u.Build >= build })
	}
	return nil
}

// follow watches the desk, over its restarts, and brings the fleet after it.
func (s *show) follow(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", s.watch)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		fmt.Fprint(c, linewire.WatchLine)
		stop := context.AfterFunc(ctx, func() { c.Close() })
		var last relay.RolloutStatus
		for r := bufio.NewScanner(c); r.Scan(); {
			reply, err := linewire.ParseReply(strings.TrimRight(r.Text(), "\r"))
			if err != nil || !reply.Status.Valid {
				continue
			}
			n := reply.Status
			same := n
			same.Age = last.Age
			if same == last {
				continue
			}
			last = n
			s.mu.Lock()
			s.news = append(s.news, toldAt{s.now(), n})
			s.mu.Unlock()
			s.say("planner build %d: %s, step %d, cap %g", n.Build, [...]string{"on trial", "going back", "released", "withdrawn"}[n.Phase], n.Stage, n.ExposureLimit)
			if err := s.deploy(n); err != nil {
				s.say("deployer: %v", err)
			}
		}
		stop()
		c.Close()
	}
}

// clients ask one relay, on connections of their own, at an even pace.
func (s *show) ask(ctx context.Context, no int, address string) {
	const lanes = 6
	for lane := range lanes {
		s.clients.Add(1)
		go func() {
			defer s.clients.Done()
			var c *fakes.Client
			tick := time.NewTicker(time.Duration(float64(time.Second) * lanes / perSecond))
			defer tick.Stop()
			for n := uint64(lane); ; n += lanes {
				select {
				case <-ctx.Done():
					if c != nil {
						c.Close()
					}
					return
				case <-tick.C:
				}
				var err error
				if c == nil {
					if c, err = fakes.Dial(address); err != nil {
						c = nil
						continue
					}
				}
				customer := customers[n/lanes%3]
				s.mu.Lock()
				s.asked = append(s.asked, asked{s.now(), no, customer})
				s.mu.Unlock()
				s.counts[0].Add(1)
				out, err := c.ReadObject(uint64(no)<<48|n, "look", customer, patience)
				switch {
				case err != nil:
					s.counts[3].Add(1)
					c.Close()
					c = nil
				case out.Value != "":
					s.counts[1].Add(1)
				case out.Code == "53300" || out.Code == "57P03":
					s.counts[2].Add(1)
				default:
					s.counts[3].Add(1)
				}
			}
		}()
	}
}

// Run plays the demonstration. It ends every process that it started.
func Run(ctx context.Context, o Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	s := &show{o: o, begun: time.Now(), units: map[string]fakes.Endpoint{}, bad: map[int]bool{3: true}, stable: 1}
	var r Result
	err := s.play(ctx, &r)
	if ctx.Err() != nil && err == nil {
		err = ctx.Err()
	}
	s.end()
	r.Queries, r.Honoured, r.Denied, r.Failed = int(s.counts[0].Load()), int(s.counts[1].Load()), int(s.counts[2].Load()), int(s.counts[3].Load())
	s.audit(&r)
	if err == nil {
		r.Report, err = s.report(&r)
	}
	return r, err
}

// end kills what was started, by its own number, and waits for it.
func (s *show) end() {
	s.mu.Lock()
	procs := s.procs
	s.mu.Unlock()
	for _, p := range procs {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.Done
	}
	if s.disc != nil {
		s.disc.Close()
	}
}

func (s *show) play(ctx context.Context, r *Result) error {
	if err := os.MkdirAll(s.o.Dir, 0o755); err != nil {
		return err
	}
	ports, err := fakes.FreePorts(2 + 2*relays)
	if err != nil {
		return err
	}
	s.watch = ports[1]
	s.file = filepath.Join(s.o.Dir, "plan.xml")
	if err := os.WriteFile(s.file, []byte(planText(ports)), 0o644); err != nil {
		return err
	}
	if s.plan, err = planxml.Load(s.file); err != nil {
		return err
	}
	if s.disc, err = fakes.NewDiscovery(); err != nil {
		return err
	}
	s.say("starting %d planners of build 1, a desk and %d relays", 2*ofEach, relays)
	for _, site := range sites {
		for range ofEach {
			if err := s.launch(1, site, 0); err != nil {
				return err
			}
		}
	}
	state := filepath.Join(s.o.Dir, "desk")
	if err := s.openDesk(state); err != nil {
		return err
	}
	for i := range relays {
		listen := ports[2+relays+i]
		b, err := json.MarshalIndent(s.config(i, listen, ports[2+i]), "", " ")
		if err != nil {
			return err
		}
		name := filepath.Join(s.o.Dir, fmt.Sprintf("n%d.json", i))
		if err := os.WriteFile(name, b, 0o644); err != nil {
			return err
		}
		p, err := s.start(nil, "serve", "--config", name, "--plan", s.file, "--service", "planner")
		if err != nil {
			return err
		}
		if err := fakes.WaitListening(listen, p); err != nil {
			return fmt.Errorf("relay n%d: %w", i, err)
		}
	}
	life, over := context.WithCancel(ctx)
	defer func() { over(); s.clients.Wait() }()
	for i := range relays {
		s.ask(life, i, ports[2+relays+i])
	}
	go s.follow(life)
	word := func(q releasecontroller.Request) error {
		q.Actor, q.Reason = "demo", "a demonstration"
		_, err := releasecontroller.Call(ctx, state, q)
		return err
	}
	s.say("offering build 2 of the planners, which is good; it needs map-data to be released")
	if err := word(releasecontroller.Request{Verb: "offer", Service: "planner", Build: 2}); err != nil {
		return err
	}
	if err := s.until(ctx, state, func(x rollout.Status) bool { return x.BlockCode == rollout.BlockedByDependency }, "planner waits"); err != nil {
		return err
	}
	s.say("planner waits: map-data released is needed; offering it")
	if err := word(releasecontroller.Request{Verb: "offer", Service: "map-data", Build: 2}); err != nil {
		return err
	}
	if err := s.until(ctx, state, func(x rollout.Status) bool { return x.Step == "all" }, "the second step"); err != nil {
		return err
	}
	s.say("killing the desk in the middle of the step, and starting it again 2 s later")
	s.desk.Signal(syscall.SIGKILL)
	<-s.desk.Done
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(2 * time.Second):
	}
	if err := s.openDesk(state); err != nil {
		return err
	}
	if err := s.until(ctx, state, func(x rollout.Status) bool { return x.Build == 2 && x.Phase == "released" }, "the release"); err != nil {
		return err
	}
	r.GoodOut = true
	s.say("build 2 is out; offering build 3, which fails half of its queries")
	if err := word(releasecontroller.Request{Verb: "offer", Service: "planner", Build: 3}); err != nil {
		return err
	}
	if err := s.until(ctx, state, func(x rollout.Status) bool { return x.Build == 3 && x.Phase == "withdrawn" }, "the way back"); err != nil {
		return err
	}
	r.BadBack = true
	s.say("build 3 went back by the relays' votes")
	return nil
}

func (s *show) openDesk(state string) error {
	p, err := s.start(nil, "desk", "run", "--plan", s.file, "--state", state)
	if err != nil {
		return err
	}
	s.desk = p
	if err := fakes.WaitListening(s.watch, p); err != nil {
		return fmt.Errorf("the desk: %w", err)
	}
	for { // its control file is written last
		if _, err := releasecontroller.Call(context.Background(), state, releasecontroller.Request{Verb: "status"}); err == nil {
			return nil
		}
		select {
		case <-p.Done:
			return errors.New("the desk ended at once")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// until asks the desk until the planners' service stands as wanted.
func (s *show) until(ctx context.Context, state string, is func(rollout.Status) bool, what string) error {
	for {
		out, err := releasecontroller.Call(ctx, state, releasecontroller.Request{Verb: "status"})
		if err == nil && is(out.Status[1]) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not come: %w", what, ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// audit holds every leg at a build on trial against the cap that was told, by relay and group.
func (s *show) audit(r *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.SliceStable(s.legs, func(i, j int) bool { return s.legs[i].at < s.legs[j].at })
	fail := func(format string, a ...any) {
		if len(r.Broken) < 50 {
			r.Broken = append(r.Broken, fmt.Sprintf(format, a...))
		}
	}
	for i, l := range s.legs {
		if !s.onTrial(l.build, l.at) {
			continue
		}
		r.TrialLegs++
		group := 0
		for k, c := range customers {
			if c == l.customer {
				group = k
			}
		}
		cap := s.capAt(l, group)
		if cap == 0 {
			fail("at %.3f s relay n%d sent a query of %s to build %d, where it was closed", l.at, l.relay, l.customer, l.build)
			continue
		}
		legs, queries := 0.0, 0.0
		for k := i; k >= 0 && s.legs[k].at > l.at-window; k-- {
			if o := s.legs[k]; o.relay == l.relay && o.customer == l.customer && o.build == l.build {
				legs++
			}
		}
		for k := len(s.asked) - 1; k >= 0; k-- {
			if q := s.asked[k]; q.relay == l.relay && q.customer == l.customer && q.at <= l.at && q.at > l.at-window-0.05 {
				queries++
			}
		}
		used := legs / (freeLegs + slack*cap*queries)
		r.MostOfCap = math.Max(r.MostOfCap, used)
		if used > 1 {
			fail("at %.3f s relay n%d had sent %g legs of %s to build %d in 2 s, for %g queries at a cap of %g", l.at, l.relay, legs, l.customer, l.build, queries, cap)
		}
	}
}

// onTrial says whether a build was not released yet.
func (s *show) onTrial(build int, at float64) bool {
	if build == 1 {
		return false
	}
	for _, t := range s.news {
		if t.at <= at+0.2 && int(t.n.Build) == build && t.n.Phase == relay.PhaseReleased {
			return false
		}
	}
	return true
}

// capAt is the highest cap of a group at a relay that was in force of late.
func (s *show) capAt(l leg, group int) (cap float64) {
	if group >= 2 {
		return 0
	}
	for i, t := range s.news {
		until := math.Inf(1)
		if i+1 < len(s.news) {
			until = s.news[i+1].at + lowerAfter
		}
		if int(t.n.Build) != l.build || t.n.Phase != relay.PhaseCanary || t.at-0.2 > l.at || until < l.at {
			continue
		}
		if open := t.n.Stage >= 1 || group == 0 && l.relay%2 == 0; open {
			cap = math.Max(cap, t.n.ExposureLimit)
		}
	}
	return cap
}
