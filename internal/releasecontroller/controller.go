// Package releasecontroller runs the release controller: it hosts the state machine rollout.Core, which takes every
// decision about releases, on sockets and on disk. It owns the journal of the state's events, the listeners at which
// relays vote and watch, and the control socket for operators. One goroutine, the loop of Start, applies events; an event
// is on disk before anyone is notified of it. It imports plan, rollout and relay for their types, internal/linewire for
// the lines to relays, and internal/sockets and internal/metrics for their connections.
package releasecontroller

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/metrics"
	"lichenroad/internal/sockets"
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

const (
	maxQueuedCalls = 1 << 12                // functions that wait for the loop: some for each connection
	maxBatch       = 256                    // functions that are run before one flush of the journal
	maxSleep       = 250 * time.Millisecond // between two looks at the clock: the wall clock may be set
)

// Controller is a release controller that runs. The goroutine that called Start runs the loop, which ends with Start's
// context or at an error of the journal. Other goroutines hand functions to the loop with post.
type Controller struct {
	// Set before the loop starts, then only read.
	log       *logrus.Logger
	clock     func() plan.Unix
	calls     chan func(*Controller)
	done      chan struct{} // closed when the loop ends
	dir       string
	listeners []*relayListener
	control   *controlServer

	// Owned by the loop.
	core           *rollout.Core
	journal        *Journal
	conns          map[*relayConn]struct{}
	pendingEvents  []rollout.Event       // applied, and not yet on disk
	pendingReplies []func()              // to send once pendingEvents are on disk
	notified       []relay.RolloutStatus // last status sent to watchers, by service
	resentAt       time.Time             // when every status was last sent, changed or not
	keepAliveAt    time.Time             // when keep-alives were last sent
}

// Options are the settings of Start.
type Options struct {
	Plan           *plan.Plan
	Dir            string // of the journal
	ControlAddress string // address of the control socket; a free port of 127.0.0.1 if empty
	Log            *logrus.Logger
	Clock          func() plan.Unix                                  // the machine's if nil
	CrashPoint     func(place string) error                          // for tests, see Journal
	Ready          func(controller *Controller, addresses Addresses) // called once all listeners are open; may be nil
}

// Addresses lists the addresses of the open listeners.
type Addresses struct {
	Relays  map[string]map[string]string // by service and relay
	Watch   map[string]string            // by service
	Control string
}

// Start opens the journal and rebuilds the state from it, opens the listeners, and runs until the context ends. It
// returns nil in that case, and otherwise the error that stopped it; after an error of the journal the state on disk is
// found out by the next start.
func Start(ctx context.Context, options Options) error {
	d := &Controller{
		log:      options.Log,
		clock:    options.Clock,
		calls:    make(chan func(*Controller), maxQueuedCalls),
		done:     make(chan struct{}),
		dir:      options.Dir,
		core:     rollout.New(options.Plan),
		conns:    map[*relayConn]struct{}{},
		notified: make([]relay.RolloutStatus, len(options.Plan.Services)),
	}
	if d.clock == nil {
		d.clock = func() plan.Unix { return float64(time.Now().UnixNano()) / 1e9 }
	}
	if err := d.openJournal(options); err != nil {
		return err
	}
	defer d.journal.Close()
	d.apply(rollout.Event{At: d.now(), Kind: rollout.EventControllerStarted})
	if err := d.flush(); err != nil {
		return err
	}
	defer d.shutdown()
	addresses, err := d.openListeners(options)
	if err != nil {
		return err
	}
	if options.Ready != nil {
		options.Ready(d, addresses)
	}
	return d.run(ctx)
}

// openJournal applies the journal's events to the state machine.
func (d *Controller) openJournal(options Options) error {
	events := 0
	journal, err := Open(options.Dir, func(e rollout.Event) error {
		events++
		return d.core.Apply(e)
	})
	if err != nil {
		return err
	}
	journal.CrashPoint = options.CrashPoint
	d.journal = journal
	if journal.TruncatedBytes > 0 {
		d.log.WithField("bytes", journal.TruncatedBytes).Warn("truncated a torn record at the end of the journal")
	}
	d.log.WithField("events", events).Info("journal read")
	return nil
}

// openListeners opens the control socket and one listener for each address of the plan.
func (d *Controller) openListeners(options Options) (Addresses, error) {
	addresses := Addresses{Relays: map[string]map[string]string{}, Watch: map[string]string{}}
	var err error
	if d.control, err = openControl(d, options.ControlAddress); err != nil {
		return addresses, fmt.Errorf("control: %w", err)
	}
	addresses.Control = d.control.listener.Addr().String()
	for i := range options.Plan.Services {
		service := &options.Plan.Services[i]
		addresses.Relays[service.Name] = map[string]string{}
		for _, r := range service.Relays {
			if r.ListenAddress == "" {
				continue
			}
			address, err := d.listen(plan.ServiceIndex(i), r.Name, r.ListenAddress)
			if err != nil {
				return addresses, fmt.Errorf("service %s, relay %s: %w", service.Name, r.Name, err)
			}
			addresses.Relays[service.Name][r.Name] = address
		}
		if service.WatchAddress == "" {
			continue
		}
		address, err := d.listen(plan.ServiceIndex(i), "", service.WatchAddress)
		if err != nil {
			return addresses, fmt.Errorf("service %s, watch: %w", service.Name, err)
		}
		addresses.Watch[service.Name] = address
	}
	return addresses, nil
}

// shutdown closes the connections and stops the listeners. The loop has ended.
func (d *Controller) shutdown() {
	for _, l := range d.listeners {
		sockets.StopAccepting(l.listener)
	}
	for c := range d.conns {
		c.close(metrics.ClosedByShutdown, nil)
	}
	if d.control != nil {
		d.control.close()
	}
}

func (d *Controller) now() plan.Unix { return d.clock() }

// post hands a function to the loop. It blocks while the loop is behind: the caller is a connection's goroutine, whose
// peer then waits too. Once the loop has ended the function is dropped.
func (d *Controller) post(f func(*Controller)) {
	select {
	case d.calls <- f:
	case <-d.done:
	}
}

// apply applies an event to the state machine; it goes to disk with the batch. Loop only.
func (d *Controller) apply(e rollout.Event) {
	if err := d.core.Apply(e); err != nil {
		d.log.WithError(err).Error("event rejected") // Core made it from its own state
		return
	}
	d.pendingEvents = append(d.pendingEvents, e)
}

// advance makes the moves that the state machine has become ready for. Loop only.
func (d *Controller) advance() {
	d.pendingEvents = append(d.pendingEvents, d.core.Advance(d.now())...)
}

// replyAfterFlush sends a reply once the batch is on disk; its text is made then. Loop only.
func (d *Controller) replyAfterFlush(c *relayConn, text func() string) {
	d.pendingReplies = append(d.pendingReplies, func() { c.send(text()) })
}

// flush puts the batch on disk, then sends the replies and notifies watchers. Loop only.
func (d *Controller) flush() error {
	if len(d.pendingEvents) > 0 {
		if err := d.journal.Append(d.pendingEvents); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		d.logEvents()
		d.pendingEvents = d.pendingEvents[:0]
	}
	for _, reply := range d.pendingReplies {
		reply()
	}
	d.pendingReplies = d.pendingReplies[:0]
	d.notifyWatchers()
	return nil
}

// logEvents writes a line for each event of the batch but the votes, which are too many.
func (d *Controller) logEvents() {
	for _, e := range d.pendingEvents {
		if e.Kind == rollout.EventVoted {
			continue
		}
		d.log.WithFields(logrus.Fields{"event": string(e.Kind), "service": e.Service, "build": e.Build, "step": e.Step,
			"name": e.FreezeName, "who": e.Actor, "why": e.Reason}).Info("rollout event")
	}
}

// run is the loop: it runs a batch of functions, advances the state machine, and flushes.
func (d *Controller) run(ctx context.Context) error {
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-d.calls:
			f(d)
			for n := 1; n < maxBatch && len(d.calls) > 0; n++ {
				(<-d.calls)(d)
			}
		case <-timer.C:
		}
		d.advance()
		if err := d.flush(); err != nil {
			return err
		}
		if err := d.compactIfLarge(); err != nil {
			return err
		}
		timer.Reset(d.sleep())
	}
}

func (d *Controller) compactIfLarge() error {
	if !d.journal.NeedsCompaction() {
		return nil
	}
	if err := d.journal.Compact(d.core.Snapshot()); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	d.log.Info("journal compacted")
	return nil
}

// sleep is the time until the loop must look at the state machine again, from a millisecond to maxSleep.
func (d *Controller) sleep() time.Duration {
	const minSeconds = 0.001
	untilNext := d.core.NextAdvance(d.now()) - d.now()
	seconds := math.Min(math.Max(untilNext, minSeconds), maxSleep.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

var errServicesDiffer = errors.New("services come and go only at a start")

// Replan puts another plan in place of the present one; a plan with an error, as plan.Load returned it, or with other
// services is logged and changes nothing. Listeners stay as they are: those of new relays are opened by the next start.
// Any goroutine may call it.
func (d *Controller) Replan(next *plan.Plan, err error) {
	d.post(func(d *Controller) {
		if err == nil {
			err = d.replan(next)
		}
		if err != nil {
			d.log.WithField("error", oneLine(err)).Error("plan rejected, keeping the old one")
			return
		}
		d.log.Info("plan reloaded")
	})
}

func (d *Controller) replan(next *plan.Plan) error {
	present := d.core.Plan().Services
	if len(next.Services) != len(present) {
		return errServicesDiffer
	}
	for i := range present {
		if next.Services[i].Name != present[i].Name {
			return errServicesDiffer
		}
	}
	return d.core.Replan(next)
}
