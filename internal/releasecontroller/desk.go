package releasecontroller

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/internal/sockets"
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

const (
	postsAhead = 1 << 12                // things that wait for the loop: some for each connection
	batchMost  = 256                    // of them that are taken with one flush of the journal
	lookEvery  = 250 * time.Millisecond // at the latest: the wall clock may be set
)

// Desk is a release desk that runs. One goroutine, Run, owns the state; the others post to it.
type Controller struct {
	core    *rollout.Core
	journal *Journal
	log     *logrus.Logger
	clock   func() plan.Unix
	posts   chan func(*Controller)
	done    chan struct{}
	ports   []*port
	control *control
	dir     string

	// Of the loop.
	lines   map[*line]struct{}
	events  []rollout.Event // of this batch, applied and not yet on disk
	answers []func()        // that wait for that
	told    []relay.RolloutStatus
	signAt  time.Time
	againAt time.Time
}

// Options are what a desk is started with.
type Options struct {
	Plan    *plan.Plan
	Dir     string // of the journal
	Control string // address of the control socket; a free port of 127.0.0.1 where empty
	Log     *logrus.Logger
	Clock   func() plan.Unix                         // the machine's where nil
	Crash   func(place string) error                 // for tests, see Journal
	Ready   func(d *Controller, addresses Addresses) // called once all ports are open
}

// Addresses lists where the ports are.
type Addresses struct {
	Relays  map[string]map[string]string // by service and relay
	Watch   map[string]string            // by service
	Control string
}

// Start reads the journal, folds it, opens the ports and runs until the context ends.
func Start(ctx context.Context, o Options) error {
	d := &Controller{core: rollout.New(o.Plan), log: o.Log, clock: o.Clock, posts: make(chan func(*Controller), postsAhead),
		done: make(chan struct{}), lines: map[*line]struct{}{}, told: make([]relay.RolloutStatus, len(o.Plan.Services)), dir: o.Dir}
	if d.clock == nil {
		d.clock = func() plan.Unix { return float64(time.Now().UnixNano()) / 1e9 }
	}
	var err error
	events := 0
	if d.journal, err = Open(o.Dir, func(e rollout.Event) error { events++; return d.core.Apply(e) }); err != nil {
		return err
	}
	defer d.journal.Close()
	d.journal.CrashPoint = o.Crash
	if d.journal.TruncatedBytes > 0 {
		d.log.WithField("bytes", d.journal.TruncatedBytes).Warn("truncated a torn record at the end of the journal")
	}
	d.log.WithField("events", events).Info("journal read")
	d.do(rollout.Event{At: d.now(), Kind: rollout.EventControllerStarted})
	if err := d.flush(); err != nil {
		return err
	}
	defer d.shut()
	at, err := d.open(o)
	if err != nil {
		return err
	}
	if o.Ready != nil {
		o.Ready(d, at)
	}
	return d.run(ctx)
}

// open listens on every address.
func (d *Controller) open(o Options) (Addresses, error) {
	at := Addresses{Relays: map[string]map[string]string{}, Watch: map[string]string{}}
	var err error
	if d.control, err = openControl(d, o.Control); err != nil {
		return at, fmt.Errorf("control: %w", err)
	}
	at.Control = d.control.ln.Addr().String()
	for i := range o.Plan.Services {
		s := &o.Plan.Services[i]
		at.Relays[s.Name] = map[string]string{}
		for _, r := range s.Relays {
			if r.Listen == "" {
				continue
			}
			p, err := d.listen(plan.ServiceIndex(i), r.Name, r.Listen)
			if err != nil {
				return at, fmt.Errorf("service %s, relay %s: %w", s.Name, r.Name, err)
			}
			d.ports = append(d.ports, p)
			at.Relays[s.Name][r.Name] = p.ln.Addr().String()
		}
		if s.Watch == "" {
			continue
		}
		p, err := d.listen(plan.ServiceIndex(i), "", s.Watch)
		if err != nil {
			return at, fmt.Errorf("service %s, watch: %w", s.Name, err)
		}
		d.ports = append(d.ports, p)
		at.Watch[s.Name] = p.ln.Addr().String()
	}
	return at, nil
}

func (d *Controller) now() plan.Unix { return d.clock() }

// post hands something to the loop. It waits where the loop is behind: the caller is a connection's goroutine, whose
// peer then waits too.
func (d *Controller) post(f func(*Controller)) {
	select {
	case d.posts <- f:
	case <-d.done:
	}
}

// do folds an event in; it goes to disk with the batch.
func (d *Controller) do(e rollout.Event) {
	if err := d.core.Apply(e); err != nil {
		d.log.WithError(err).Error("event rejected") // Core made it of its own state
		return
	}
	d.events = append(d.events, e)
}

// later sends an answer once the batch is on disk.
func (d *Controller) later(c *line, text func() string) {
	d.answers = append(d.answers, func() { c.send(text()) })
}

// flush puts the batch on disk, then sends the answers and tells what has changed.
func (d *Controller) flush() error {
	if len(d.events) > 0 {
		if err := d.journal.Append(d.events); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		for _, e := range d.events {
			if e.Kind != rollout.EventVoted {
				d.log.WithFields(logrus.Fields{"event": string(e.Kind), "service": e.Service, "build": e.Build, "step": e.Step,
					"name": e.Name, "who": e.Who, "why": e.Why}).Info("rollout event")
			}
		}
		d.events = d.events[:0]
	}
	for _, f := range d.answers {
		f()
	}
	d.answers = d.answers[:0]
	d.tell()
	return nil
}

// tell tells watches what has changed, and now and then all of it, with signs of life between.
func (d *Controller) tell() {
	now, wall := d.now(), time.Now()
	again, sign := wall.Sub(d.againAt) >= againEvery, wall.Sub(d.signAt) >= signEvery
	text := make([]string, len(d.told))
	for i := range d.told {
		n := d.core.Statuses(plan.ServiceIndex(i), now)
		same := d.told[i]
		same.Age = n.Age
		if n != same || again {
			d.told[i] = n
			if n.Valid {
				text[i] = linewire.StatusNoticeLine(n)
			}
		}
	}
	if again {
		d.againAt = wall
	}
	if sign {
		d.signAt = wall
	}
	for c := range d.lines {
		switch {
		case c.watching:
			out := text[c.port.service]
			if sign {
				out += linewire.KeepAliveLine
			}
			if out != "" {
				c.send(out)
			}
		case sign && wall.UnixNano()-c.used.Load() > int64(idleFor):
			go c.end(metrics.ClosedByIdleTimeout, nil)
		}
	}
}

// run is the loop.
func (d *Controller) run(ctx context.Context) error {
	defer close(d.done)
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-d.posts:
			f(d)
			for n := 1; n < batchMost && len(d.posts) > 0; n++ {
				(<-d.posts)(d)
			}
		case <-alarm.C:
		}
		d.events = append(d.events, d.core.Advance(d.now())...)
		if err := d.flush(); err != nil {
			return err
		}
		if d.journal.Large() {
			if err := d.journal.Compact(d.core.Snapshot()); err != nil {
				return fmt.Errorf("journal: %w", err)
			}
			d.log.Info("journal compacted")
		}
		wait := time.Duration(math.Min(math.Max(d.core.Next(d.now())-d.now(), 0.001), lookEvery.Seconds()) * float64(time.Second))
		alarm.Reset(wait)
	}
}

// Replan puts another plan in place. Ports stay as they are: new relays and services get theirs at the next start.
func (d *Controller) Replan(p *plan.Plan, err error) {
	d.post(func(d *Controller) {
		if err == nil {
			if len(p.Services) != len(d.told) {
				err = errors.New("services come and go only at a start")
			}
			for i := range d.core.Plan().Services {
				if err == nil && p.Services[i].Name != d.core.Plan().Services[i].Name {
					err = errors.New("services come and go only at a start")
				}
			}
			if err == nil {
				err = d.core.Replan(p)
			}
		}
		if err != nil {
			d.log.WithField("error", oneLine(err)).Error("plan rejected, keeping the old one")
			return
		}
		d.log.Info("plan reloaded")
	})
}

func (d *Controller) shut() {
	for _, p := range d.ports {
		sockets.StopAccepting(p.ln)
	}
	for c := range d.lines {
		c.end(metrics.ClosedByShutdown, nil)
	}
	if d.control != nil {
		d.control.close()
	}
}
