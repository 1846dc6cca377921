// Package pipeline takes a request through its stages: accept, admit, route, send, respond, account, one file each. It
// holds the one loop that owns the decision module (package policy) and the records of all requests.
//
// Whatever happens on a socket or elsewhere is posted to the loop as an Event. The loop applies the events, fires its
// timers, has the module step over what all that meant, and carries out the module's commands in their order. It never
// blocks and decides nothing. Accept runs on the goroutine that reads a connection, all else on the loop, unless a method
// says otherwise. The parts that do I/O import this package and implement its interfaces; it imports the module (policy,
// relay, settings), the codec (internal/pgwire), the buffers, the bounds and the counters.
package pipeline

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/policy"
	"lichenroad/relay"
	"lichenroad/settings"
)

// Loop owns the decision module. The goroutine that calls Run is the loop's; it ends when Run's stop channel is closed.
// The exported fields are set before Run and constant from then on. mu guards the queue of posted events; all other
// fields belong to the loop.
type Loop struct {
	Clock     Clock
	Site      settings.Site
	Pool      *buffer.Pool
	Metrics   *metrics.Counters
	Log       *logrus.Logger
	Upstream  Upstream
	Discovery Discovery
	Platform  Platform
	Peers     Peers
	Guard     Guard // nil: none

	module        *policy.Policy
	requests      map[relay.RequestID]*Request
	finished      []*Request // that ended since the last step, and wait for dropFinished
	lastID        relay.RequestID
	events        []relay.Event // for the module's next step
	timers        timerHeap
	timerSequence uint64
	serviceOpen   bool
	onServiceOpen []func()

	mu     sync.Mutex
	posted []Event
	spare  []Event       // the last slice that TakePosted gave, whose space is used again; of the loop
	wakeup chan struct{} // has one element when the loop is to look at posted
}

// NewLoop returns a loop with a fresh decision module.
func NewLoop(site settings.Site, seed int64, pool *buffer.Pool, counters *metrics.Counters, log *logrus.Logger) *Loop {
	return &Loop{
		Clock:    NewClock(),
		Site:     site,
		Pool:     pool,
		Metrics:  counters,
		Log:      log,
		module:   policy.New(site.Settings, seed),
		requests: map[relay.RequestID]*Request{},
		wakeup:   make(chan struct{}, 1),
	}
}

// Run runs the loop until stop is closed. Events that are posted later are not applied.
func (l *Loop) Run(stop <-chan struct{}) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		for _, event := range l.TakePosted() {
			event.Apply(l)
		}
		l.fireTimers()
		if len(l.events) > 0 {
			l.step()
			continue // the commands may have led to more events
		}
		if len(l.timers) > 0 {
			alarm.Reset(l.untilNextTimer())
		}
		select {
		case <-stop:
			return
		case <-l.wakeup:
		case <-alarm.C:
		}
	}
}

// step shows the module all that has happened, and carries out its commands.
func (l *Loop) step() {
	events := l.TakeEvents()
	finishedBefore := len(l.finished)
	for _, command := range l.module.Step(l.Clock.Now(), events) {
		l.execute(command)
	}
	l.dropFinished(finishedBefore)
}

// AddEvent adds an event to those that the module sees with its next step. Only on the loop.
func (l *Loop) AddEvent(event relay.Event) { l.events = append(l.events, event) }

// TakeEvents gives the events for the module's next step, and forgets them. Only on the loop.
func (l *Loop) TakeEvents() []relay.Event {
	events := l.events
	l.events = nil
	return events
}

// OpenService begins service: an endpoint list stands that may be acted on. Only on the loop.
func (l *Loop) OpenService() {
	if l.serviceOpen {
		return
	}
	l.serviceOpen = true
	for _, run := range l.onServiceOpen {
		run()
	}
	l.onServiceOpen = nil
}

// OnServiceOpen runs a function once service has begun, at once if it has already. Only on the loop.
func (l *Loop) OnServiceOpen(run func()) {
	if l.serviceOpen {
		run()
		return
	}
	l.onServiceOpen = append(l.onServiceOpen, run)
}
