// Package pipeline takes a request through its stages: accept, admit, route, send, respond and account, each in a file
// of its own. Its Loop owns the decision module (package policy) and the records of all requests.
//
// Whatever happens outside the loop, such as input on a socket, is posted to it as an Event. In each round the loop
// applies the posted events, runs the timers that are due, passes the resulting relay.Events to the decision module in
// one step, and carries out the module's commands in order. The loop never blocks and makes no decisions itself. Accept
// runs on the goroutine that reads a connection; all else runs on the loop goroutine unless documented otherwise.
// Packages that do I/O import this package and implement its interfaces. It imports the decision module (policy, relay,
// settings), the codec (internal/pgwire), the buffers, the limits and the counters.
package pipeline

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/policy"
	"lichenroad/relay"
	"lichenroad/settings"
)

// Loop owns the decision module. The goroutine that calls Run is the loop goroutine. The exported fields are set before
// Run and constant from then on. mu guards the queue of posted events; the other unexported fields are for the loop
// goroutine only.
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
	Guard     Guard // nil if there is none

	module        *policy.Policy
	requests      map[relay.RequestID]*Request
	ids           idRegistry
	requestLog    requestLog
	finished      []*Request // requests that have ended, to be removed by dropFinished
	lastID        relay.RequestID
	events        []relay.Event // for the module's next step
	timers        timerHeap
	timerSequence uint64
	serviceOpen   bool
	onServiceOpen []func()

	mu     sync.Mutex
	posted []Event
	spare  []Event       // the last slice that TakePosted returned, reused for the next events; not guarded by mu
	wakeup chan struct{} // wakes the loop to apply posted; buffered, so that Post never blocks
}

// NewLoop returns a loop with a new decision module.
func NewLoop(site settings.Site, seed int64, pool *buffer.Pool, counters *metrics.Counters, log *logrus.Logger) *Loop {
	return &Loop{
		Clock:      NewClock(),
		Site:       site,
		Pool:       pool,
		Metrics:    counters,
		Log:        log,
		requestLog: newRequestLog(log, counters),
		module:     policy.New(site.Settings, seed),
		requests:   map[relay.RequestID]*Request{},
		ids:        newIDRegistry(int64(limits.KnownIDMemoryFraction * float64(pool.Limit()))),
		wakeup:     make(chan struct{}, 1),
	}
}

// Run runs the loop until stop is closed. Events posted after that are not applied.
func (l *Loop) Run(stop <-chan struct{}) {
	wakeTimer := time.NewTimer(0)
	defer wakeTimer.Stop()
	for {
		for _, event := range l.TakePosted() {
			event.Apply(l)
		}
		l.fireTimers()
		if len(l.events) > 0 {
			l.step()
			continue // the commands may have caused more events
		}
		if len(l.timers) > 0 {
			wakeTimer.Reset(l.untilNextTimer())
		}
		select {
		case <-stop:
			return
		case <-l.wakeup:
		case <-wakeTimer.C:
		}
	}
}

// step passes the collected events to the decision module and carries out its commands.
func (l *Loop) step() {
	events := l.TakeEvents()
	finishedBefore := len(l.finished)
	for _, command := range l.module.Step(l.Clock.Now(), events) {
		l.execute(command)
	}
	l.dropFinished(finishedBefore)
}

// AddEvent adds an event for the next step of the decision module. Must run on the loop goroutine.
func (l *Loop) AddEvent(event relay.Event) { l.events = append(l.events, event) }

// TakeEvents returns the events for the next step of the decision module and clears them. Must run on the loop
// goroutine.
func (l *Loop) TakeEvents() []relay.Event {
	events := l.events
	l.events = nil
	return events
}

// OpenService opens service to clients: there is an endpoint list that may be used, or clients are no longer to wait
// for one. Must run on the loop goroutine.
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

// OnServiceOpen runs a function as soon as service is open, immediately if it already is. Must run on the loop
// goroutine.
func (l *Loop) OnServiceOpen(run func()) {
	if l.serviceOpen {
		run()
		return
	}
	l.onServiceOpen = append(l.onServiceOpen, run)
}
