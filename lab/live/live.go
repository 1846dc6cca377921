package live

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab"
	"lichenroad/lab/fakes"
	"lichenroad/relay"
)

// Facts of a live replay.
const (
	overrun   = 0.1 // s after the end of patience from which an answer is one that came too late
	ms        = 1000000
	relayBits = 48 // of a query's id: the relay stands above them
)

var sites = []string{"bole", "kality"}

// Options are what a live replay is made of.
type Options struct {
	Self       string // the program
	Dir        string // for configurations and logs
	Relays     int
	Units      int
	Seed       int64
	Categories []string
	Customers  []string
	Bounds     Bounds
}

// Result is what it showed.
type Result struct {
	lab.Replayed
	Sender  Lateness `json:"sender"`
	Overran int      `json:"answers_after_patience"`
	Ended   bool     `json:"ended_early"`
}

// over is a job that is over.
type over struct {
	job  Job
	lane Lane
	kept bool
	went float64
	at   float64
	how  lab.Ended
}

// session is a live replay that goes on. Its loop owns all state; connections have a goroutine each.
type session struct {
	o      Options
	terms  []lab.Term
	places []int
	begun  time.Time
	sender *Sender
	tally  *lab.Tally
	book   *book
	busy   atomic.Int64
	over   chan over
	conns  map[[2]int]*fakes.Client
	asked  map[int]playing // that are out or wait, by number
	relays []string
	sent   int
	ran    int // late answers
	closer []func()
}

type playing struct {
	lab.Arrival
	asked lab.Asked
	term  *lab.Term
}

// Run plays arrivals, which come in their order, until there are no more or the context ends. It ends every process
// that it started. Queries that are out at an early end are still waited for, as long as their patience lasts.
func Run(ctx context.Context, o Options, arrivals <-chan lab.Arrival) (Result, error) {
	s := &session{o: o, terms: lab.Terms(), sender: NewSender(o.Relays, o.Bounds), tally: lab.NewTally(o.Customers), book: newBook(),
		over: make(chan over, 1024), conns: map[[2]int]*fakes.Client{}, asked: map[int]playing{}}
	for _, name := range o.Categories {
		at, err := lab.Place(name)
		if err != nil {
			return Result{}, err
		}
		s.places = append(s.places, at)
	}
	defer func() {
		for _, c := range s.conns {
			c.Close()
		}
		for i := len(s.closer) - 1; i >= 0; i-- {
			s.closer[i]()
		}
	}()
	if err := s.start(); err != nil {
		return Result{}, err
	}
	span, early := s.play(ctx, arrivals)
	r := Result{Replayed: s.tally.Done(), Sender: s.sender.Lateness(), Overran: s.ran, Ended: early}
	r.Seed, r.Relays, r.Units, r.Span = o.Seed, o.Relays, o.Units, span
	s.book.mu.Lock()
	r.Legs, r.Crossings = s.book.legs, s.book.cross
	for _, id := range s.book.twice {
		r.Broken = append(r.Broken, lab.Broken{Rule: "effect twice", Text: "query " + id + " ran twice and may only once"})
	}
	s.book.mu.Unlock()
	r.LegsEach = float64(r.Legs) / math.Max(float64(r.All.Queries), 1)
	return r, nil
}

// start brings up planners, discovery and relays.
func (s *session) start() error {
	if err := os.MkdirAll(s.o.Dir, 0o755); err != nil {
		return err
	}
	disc, err := fakes.NewDiscovery()
	if err != nil {
		return err
	}
	s.closer = append(s.closer, disc.Close)
	var units []fakes.Endpoint
	for i := range s.o.Units {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.closer = append(s.closer, func() { ln.Close() })
		name := fmt.Sprintf("p%d", i)
		p := &fakes.Server{Name: name, Workers: lab.CoresEach, MaxInFlight: lab.MostQueue, Seed: s.o.Seed + int64(i), Handle: func(text string) (time.Duration, bool) {
			return s.book.leg(text, i%len(sites), time.Now())
		}, InProgress: &s.busy}
		go p.Serve(ln)
		units = append(units, fakes.Endpoint{ID: name, HostPort: ln.Addr().String(), Zone: sites[i%len(sites)], MachineType: "m", Lifecycle: "SERVING", Weight: 1,
			StartedMs: time.Now().Add(-time.Hour).UnixMilli(), Build: 1})
	}
	disc.Set(units)
	if s.relays, err = fakes.FreePorts(s.o.Relays); err != nil {
		return err
	}
	for i, listen := range s.relays {
		b, err := json.MarshalIndent(s.config(i, listen, disc), "", " ")
		if err != nil {
			return err
		}
		name := filepath.Join(s.o.Dir, fmt.Sprintf("n%d.json", i))
		if err := os.WriteFile(name, b, 0o644); err != nil {
			return err
		}
		p, err := fakes.StartProcess(s.o.Self, s.o.Dir, nil, "serve", "--config", name, "--log-level", "warn")
		if err != nil {
			return err
		}
		s.closer = append(s.closer, func() { p.Signal(syscall.SIGKILL); <-p.Done })
		if err := fakes.WaitListening(listen, p); err != nil {
			return fmt.Errorf("relay n%d: %w", i, err)
		}
	}
	return nil
}

func (s *session) config(i int, listen string, disc *fakes.Discovery) map[string]any {
	var grades, tenants []any
	for _, t := range s.terms {
		g := map[string]any{"name": t.Name, "repeat": map[relay.Idempotency]string{relay.Idempotent: "retryable", relay.IdempotencyKeyed: "dedup",
			relay.AtMostOnce: "fragile"}[t.Repeat], "target": int64(t.Due * 1e9), "deadline": int64(t.Patience * 1e9), "worth": t.Value}
		if t.Repeat == relay.IdempotencyKeyed {
			g["group"], g["repeat_window"] = "zone", int64(t.Window*1e9)
		}
		grades = append(grades, g)
	}
	for _, name := range s.o.Customers {
		tenants = append(tenants, map[string]any{"name": name, "share": 1 / float64(len(s.o.Customers)), "quota_per_s": 100000})
	}
	return map[string]any{"name": fmt.Sprintf("n%d", i), "listen": listen, "discovery": disc.Addr(), "seed": strconv.FormatInt(s.o.Seed*1000+int64(i), 10),
		"limits": map[string]any{"sockets": 1024, "memory_mb": 192}, "known": disc.List(),
		"settings": map[string]any{"areas": sites, "kinds": []string{"m"}, "az": i % len(sites), "my_number": i, "replicas_of_me": s.o.Relays,
			"discovery": "subscribe", "grades": grades, "tenants": tenants,
			"policy_limits": map[string]any{"cancel": true, "conn_idle": 30000 * ms, "dial_timeout": 500 * ms, "max_attempts": 3, "retry_after": true, "max_retry_after": 1000 * ms},
			"report":        map[string]any{"via": "off"}, "rules": map[string]any{"drain_grace": 250 * ms, "ask_every": 30000 * ms, "answer_slack": 10 * ms},
			"family_info": map[string]any{"call_timeout": 1000 * ms, "exposure_caps": []float64{1}, "waves": []float64{1}, "uncounted": 1, "span": 2000 * ms,
				"decided_by": "by_count", "to_advance": s.o.Relays, "to_abort": s.o.Relays, "ballot_ttl": 10000 * ms, "votes_per_s": 100, "min_dwell": 2000 * ms}}}
}

func (s *session) now() float64 { return time.Since(s.begun).Seconds() }

// play is the loop: it sends what is due and takes what is over.
func (s *session) play(ctx context.Context, arrivals <-chan lab.Arrival) (span float64, early bool) {
	s.begun = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var next lab.Arrival
	first, any, has := 0.0, false, false
	done := ctx.Done()
	for arrivals != nil || has || len(s.asked) > 0 {
		more := arrivals
		if has {
			more = nil // one ahead is enough
		}
		select {
		case a, ok := <-more:
			if !ok {
				arrivals = nil
				continue
			}
			if !any {
				any, first = true, a.At-0.5 // half a second for the relays to come up
			}
			a.At -= first
			next, has = a, true
			timer.Reset(time.Until(s.begun.Add(time.Duration(next.At * 1e9))))
		case <-timer.C:
			if has && s.now() >= next.At {
				span = next.At
				s.ask(next)
				has = false
			} else if has {
				timer.Reset(time.Until(s.begun.Add(time.Duration(next.At * 1e9))))
			}
		case e := <-s.over:
			s.finish(e)
		case <-done:
			early, arrivals, has, done = true, nil, false, nil
			for _, j := range s.sender.Drop() { // what waits for a connection was never asked
				s.unheard(j)
			}
		}
	}
	return span, early
}

// unheard ends a query that does not go out.
func (s *session) unheard(j Job) {
	s.tally.Ended(s.asked[j.No].asked, s.now(), lab.EndedUnheard)
	delete(s.asked, j.No)
}

func (s *session) ask(a lab.Arrival) {
	p := playing{Arrival: a, asked: lab.Asked{At: a.At, Category: s.places[a.Category], Customer: a.Customer, Work: a.Work}}
	p.term = &s.terms[p.asked.Category]
	j := Job{No: s.sent, Due: a.At, Relay: int(a.Relay % uint64(len(s.relays)))}
	s.sent++
	s.asked[j.No] = p
	s.tally.Asked(p.asked, float64(s.busy.Load())/float64(lab.CoresEach*s.o.Units))
	act, lane := s.sender.Due(j)
	s.act(j, act, lane)
}

func (s *session) act(j Job, act Act, lane Lane) {
	switch act {
	case Refuse:
		s.unheard(j)
	case Reuse, Open:
		key := [2]int{j.Relay, int(lane)}
		p, c := s.asked[j.No], s.conns[key]
		if c == nil {
			c = &fakes.Client{}
			s.conns[key] = c
		}
		go s.exchange(j, lane, p, c)
	}
}

// exchange asks one query on a connection and waits for its answer. Its patience is what is left of it: the sender's own
// delay is part of what the client waits.
func (s *session) exchange(j Job, lane Lane, p playing, c *fakes.Client) {
	e := over{job: j, lane: lane, how: lab.EndedUnheard}
	defer func() { e.at = s.now(); s.over <- e }()
	if c.Conn == nil {
		n, err := fakes.Dial(s.relays[j.Relay])
		if err != nil {
			e.went = s.now()
			return
		}
		*c = *n
	}
	e.went = s.now()
	left := j.Due + p.term.Patience - e.went
	if left <= 0.001 {
		e.kept = true
		return
	}
	out, err := c.Query(statement(uint64(j.Relay)<<relayBits|uint64(j.No), p.term, s.o.Customers[p.Customer], left, p.Work, p.Fails), time.Duration(left*1e9))
	if err != nil {
		return
	}
	e.kept = true
	switch {
	case out.Value != "":
		e.how = lab.EndedHonoured
	case out.Code == pgwire.CodeFull:
		e.how = lab.EndedDenied
	default:
		e.how = lab.EndedWrittenOff
	}
}

// statement is a query in the form that relays and planners read: h is its work, the object says how many of its legs fail.
func statement(no uint64, t *lab.Term, customer string, left, work float64, fails int) string {
	note := fmt.Sprintf("/* id=%016x,c=%s,t=%s,d=%d,h=%d", no, t.Name, customer, int(left*1000), int(work*1e6))
	object := fmt.Sprintf("f%d-%x", fails, no)
	switch t.Repeat {
	case relay.Idempotent:
		return fmt.Sprintf("SELECT body FROM objects WHERE oid = '%s' %s */", object, note)
	case relay.IdempotencyKeyed:
		note += fmt.Sprintf(",k=%x", no)
	}
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('%s', '\x00') RETURNING body %s */`, object, note)
}

// finish takes a query that is over, and sends what waited for its connection.
func (s *session) finish(e over) {
	p := s.asked[e.job.No]
	delete(s.asked, e.job.No)
	s.sender.Went(e.job, e.went)
	s.tally.Ended(p.asked, e.at, e.how)
	if e.at > e.job.Due+p.term.Patience+overrun {
		s.ran++
	}
	key := [2]int{e.job.Relay, int(e.lane)}
	if !e.kept {
		if c := s.conns[key]; c.Conn != nil {
			c.Close()
		}
		delete(s.conns, key)
	}
	j, act, lane := s.sender.Free(e.job.Relay, e.lane, e.kept)
	if act != Hold {
		s.act(j, act, lane)
	}
}
