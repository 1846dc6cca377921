// Package releasecontroller hosts rollout.Core, the state machine that takes all decisions about releases, and connects it
// to the network and the disk.
//
// It owns the journal of events, the listeners for votes and watches from relays, and the control socket for operators.
// One goroutine, the loop that Start runs, applies all events. Each event is on disk before its effects are sent to
// anyone. The package imports plan, rollout and relay for their types, internal/linewire for the line protocol, and
// internal/sockets and internal/metrics for the connections.
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
	maxQueuedCalls = 1 << 12                // functions waiting for the loop; each connection has a few
	maxBatch       = 256                    // functions run before the journal is flushed once for all
	maxSleep       = 250 * time.Millisecond // longest wait between calls of Advance: the wall clock may be set

	finalWriteTimeout = 1 * time.Second // for replies to be written when the controller ends
)

// Controller is a running release controller. The goroutine that called Start runs the loop, which ends when the context
// is done or the journal fails. Other goroutines pass functions to the loop with post.
type Controller struct {
	// Set before the loop starts and read-only after that.
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
	pendingEvents  []rollout.Event       // already applied, but not on disk yet
	pendingReplies []func()              // called once pendingEvents are on disk
	notified       []relay.RolloutStatus // status last sent to watchers, by plan.ServiceIndex
	resentAt       time.Time             // when all statuses were last sent, changed or not
	keepAliveAt    time.Time             // when keep-alives were last sent
}

// Options are the settings of Start.
type Options struct {
	Plan           *plan.Plan
	Dir            string // holds the journal, its lock and the control file
	ControlAddress string // loopback address of the control socket; if empty, a free port of 127.0.0.1
	Log            *logrus.Logger
	Clock          func() plan.Unix                                  // the system clock if nil
	CrashPoint     func(place string) error                          // for tests; see Journal.CrashPoint
	Ready          func(controller *Controller, addresses Addresses) // called when all listeners are open; may be nil
}

// Addresses lists the addresses of the open listeners.
type Addresses struct {
	Relays  map[string]map[string]string // by the names of service and relay
	Watch   map[string]string            // by service name
	Control string
}

// Start opens the journal, rebuilds the state from it, opens the listeners, and runs until the context is done, for which
// it returns nil. Any other end returns an error. After a journal error it is unknown which events are on disk; the next
// start reads them.
func Start(ctx context.Context, options Options) error {
	ctl := &Controller{
		log:      options.Log,
		clock:    options.Clock,
		calls:    make(chan func(*Controller), maxQueuedCalls),
		done:     make(chan struct{}),
		dir:      options.Dir,
		core:     rollout.New(options.Plan),
		conns:    map[*relayConn]struct{}{},
		notified: make([]relay.RolloutStatus, len(options.Plan.Services)),
	}
	if ctl.clock == nil {
		ctl.clock = func() plan.Unix { return float64(time.Now().UnixNano()) / 1e9 }
	}
	if err := ctl.openJournal(options); err != nil {
		return err
	}
	defer ctl.journal.Close()
	ctl.apply(rollout.Event{At: ctl.now(), Kind: rollout.EventControllerStarted})
	if err := ctl.flush(); err != nil {
		return err
	}
	defer ctl.shutdown()
	addresses, err := ctl.openListeners(options)
	if err != nil {
		return err
	}
	if options.Ready != nil {
		options.Ready(ctl, addresses)
	}
	return ctl.run(ctx)
}

// openJournal opens the journal and applies its events to the state machine.
func (ctl *Controller) openJournal(options Options) error {
	events := 0
	journal, err := Open(options.Dir, func(e rollout.Event) error {
		events++
		return ctl.core.Replay(e)
	})
	if err != nil {
		return err
	}
	if err := ctl.core.EndReplay(); err != nil {
		journal.Close()
		return fmt.Errorf("the plan does not fit the journal in %s: %w", options.Dir, err)
	}
	journal.CrashPoint = options.CrashPoint
	ctl.journal = journal
	if journal.TruncatedBytes > 0 {
		ctl.log.WithField("bytes", journal.TruncatedBytes).Warn("truncated a torn record at the end of the journal")
	}
	ctl.log.WithField("events", events).Info("journal read")
	return nil
}

// openListeners opens the control socket and a listener for each listening address in the plan.
func (ctl *Controller) openListeners(options Options) (Addresses, error) {
	addresses := Addresses{Relays: map[string]map[string]string{}, Watch: map[string]string{}}
	var err error
	if ctl.control, err = openControl(ctl, options.ControlAddress); err != nil {
		return addresses, fmt.Errorf("control socket: %w", err)
	}
	addresses.Control = ctl.control.listener.Addr().String()
	for i := range options.Plan.Services {
		service := &options.Plan.Services[i]
		addresses.Relays[service.Name] = map[string]string{}
		for _, r := range service.Relays {
			if r.ListenAddress == "" {
				continue
			}
			address, err := ctl.listen(plan.ServiceIndex(i), r.Name, r.ListenAddress)
			if err != nil {
				return addresses, fmt.Errorf("service %s, relay %s: %w", service.Name, r.Name, err)
			}
			addresses.Relays[service.Name][r.Name] = address
		}
		if service.WatchAddress == "" {
			continue
		}
		address, err := ctl.listen(plan.ServiceIndex(i), "", service.WatchAddress)
		if err != nil {
			return addresses, fmt.Errorf("service %s, watch address: %w", service.Name, err)
		}
		addresses.Watch[service.Name] = address
	}
	return addresses, nil
}

// shutdown stops the listeners, then closes the connections and the control socket when the replies that were given to them
// are written. It runs after the loop has ended.
func (ctl *Controller) shutdown() {
	deadline := time.Now().Add(finalWriteTimeout)
	for _, l := range ctl.listeners {
		sockets.StopAccepting(l.listener)
	}
	for c := range ctl.conns {
		c.waitSent(deadline)
		c.close(metrics.ClosedByShutdown, nil)
	}
	if ctl.control != nil {
		ctl.control.close(deadline)
	}
}

func (ctl *Controller) now() plan.Unix { return ctl.clock() }

// post passes a function to the loop. It blocks while the queue is full, which stops the caller from reading more from its
// connection and so slows the peer down. Once the loop has ended, the function is dropped.
func (ctl *Controller) post(f func(*Controller)) {
	select {
	case ctl.calls <- f:
	case <-ctl.done:
	}
}

// apply applies an event to the state machine and adds it to the batch for the journal. Only the loop may call it.
func (ctl *Controller) apply(e rollout.Event) {
	if err := ctl.core.Apply(e); err != nil {
		ctl.log.WithError(err).Error("event rejected") // not expected, as Core created the event from its current state
		return
	}
	ctl.pendingEvents = append(ctl.pendingEvents, e)
}

// advance lets the state machine make the transitions that are due by now. Only the loop may call it.
func (ctl *Controller) advance() {
	ctl.pendingEvents = append(ctl.pendingEvents, ctl.core.Advance(ctl.now())...)
}

// replyAfterFlush sends a reply once the batch is on disk. text is called at that time, so the reply shows the state after
// the whole batch. Only the loop may call it.
func (ctl *Controller) replyAfterFlush(c *relayConn, text func() string) {
	ctl.pendingReplies = append(ctl.pendingReplies, func() { c.reply(text()) })
}

// flush writes the batch to disk, then sends the replies and notifies watchers. Only the loop may call it.
func (ctl *Controller) flush() error {
	if len(ctl.pendingEvents) > 0 {
		if err := ctl.journal.Append(ctl.pendingEvents); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		ctl.logEvents()
		ctl.pendingEvents = ctl.pendingEvents[:0]
	}
	for _, reply := range ctl.pendingReplies {
		reply()
	}
	ctl.pendingReplies = ctl.pendingReplies[:0]
	ctl.notifyWatchers()
	return nil
}

// logEvents logs the events of the batch, except votes, as there are too many of them.
func (ctl *Controller) logEvents() {
	for _, e := range ctl.pendingEvents {
		if e.Kind == rollout.EventVoted {
			continue
		}
		ctl.log.WithFields(logrus.Fields{"event": string(e.Kind), "service": e.Service, "build": e.Build, "step": e.Step,
			"name": e.FreezeName, "who": e.Actor, "why": e.Reason}).Info("rollout event")
	}
}

// run is the loop: it calls a batch of posted functions, advances the state machine, and flushes, until ctx is done.
func (ctl *Controller) run(ctx context.Context) error {
	defer close(ctl.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-ctl.calls:
			f(ctl)
			for n := 1; n < maxBatch && len(ctl.calls) > 0; n++ {
				(<-ctl.calls)(ctl)
			}
		case <-timer.C:
		}
		ctl.advance()
		if err := ctl.flush(); err != nil {
			return err
		}
		if err := ctl.compactIfLarge(); err != nil {
			return err
		}
		timer.Reset(ctl.sleepDuration())
	}
}

func (ctl *Controller) compactIfLarge() error {
	if !ctl.journal.NeedsCompaction() {
		return nil
	}
	if err := ctl.journal.Compact(ctl.core.Snapshot()); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	ctl.log.Info("journal compacted")
	return nil
}

// sleepDuration returns how long the loop may wait before it must advance the state machine again: between a millisecond
// and maxSleep.
func (ctl *Controller) sleepDuration() time.Duration {
	const minSeconds = 0.001
	untilNext := ctl.core.NextAdvance(ctl.now()) - ctl.now()
	seconds := math.Min(math.Max(untilNext, minSeconds), maxSleep.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

var errServicesDiffer = errors.New("the services differ from those of the current plan; adding or removing one needs a restart")

// Replan replaces the plan. It takes the results of loading a plan: an error, or a plan with other services, is logged and
// changes nothing. Listeners are not changed; those of new relays are opened at the next start. Any goroutine may call it.
func (ctl *Controller) Replan(next *plan.Plan, err error) {
	ctl.post(func(ctl *Controller) {
		if err == nil {
			err = ctl.replan(next)
		}
		if err != nil {
			ctl.log.WithField("error", oneLine(err)).Error("plan rejected, keeping the old one")
			return
		}
		ctl.log.Info("plan reloaded")
	})
}

func (ctl *Controller) replan(next *plan.Plan) error {
	current := ctl.core.Plan().Services
	if len(next.Services) != len(current) {
		return errServicesDiffer
	}
	for i := range current {
		if next.Services[i].Name != current[i].Name {
			return errServicesDiffer
		}
	}
	return ctl.core.Replan(next)
}
