// Package pipeline takes a query through its stages (take in, admit, route, send, relay, book) and holds the
// one loop that owns the decision module. Everything that happens on a socket is posted to the loop as an
// Event; the loop steps the module over what that means and carries out its orders. The loop never blocks
// and decides nothing.
package pipeline

import (
	"container/heap"
	"math"
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

// Clock counts seconds since the start of the program, as the module does.
type Clock struct{ start time.Time }

// NewClock starts counting now.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the present time.
func (c Clock) Now() relay.Seconds { return time.Since(c.start).Seconds() }

// Unix turns a Unix time in seconds into a time of this clock.
func (c Clock) Unix(s float64) relay.Seconds { return s - float64(c.start.UnixNano())/1e9 }

// Event is something that happened outside. Take runs on the loop.
type Event interface{ Apply(l *Loop) }

// Units, Roster, Platform and Peers carry out orders; none of their methods blocks. All are called on the loop.
type (
	Upstream interface {
		Send(*Attempt)
		Cancel(*Attempt) (sent bool) // give the leg up; says whether its last byte may have gone out
		CancelUnsent(*Attempt)       // the leg is late from now on: it ends as not sent, unless its last byte is out
		HealthCheck(relay.EndpointID)
		CloseIdle(relay.EndpointID)
	}
	Discovery interface {
		Watch(on, anew bool) // anew: a watch that stands is given up for a new one
		FetchList()
	}
	Platform interface{ Vote(relay.Vote) }
	Peers    interface{ SendMessage(relay.SendMessage) }

	// Guard stands between platform and module where a plan of releases holds. Both are called on the loop.
	Guard interface {
		RolloutStatusReceived(relay.RolloutStatus)
		Vote(relay.Vote)
	}
)

// Loop owns the module.
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

	module  *policy.Policy
	queries map[relay.RequestID]*Request
	over    []*Request // ended since the last step
	lastID  relay.RequestID
	batch   []relay.Event
	timers  timers
	seq     uint64
	listed  bool
	onList  []func()

	mu      sync.Mutex
	queue   []Event
	taken   []Event // the space of the last batch, used again
	waiting chan struct{}
}

// NewLoop returns a loop round a fresh module.
func NewLoop(site settings.Site, seed int64, pool *buffer.Pool, counters *metrics.Counters, log *logrus.Logger) *Loop {
	return &Loop{Clock: NewClock(), Site: site, Pool: pool, Metrics: counters, Log: log,
		module: policy.New(site.Settings, seed), queries: map[relay.RequestID]*Request{},
		waiting: make(chan struct{}, 1)}
}

// Post hands an event to the loop, from any goroutine. What it needs to know of time, it carries.
func (l *Loop) Post(e Event) {
	l.mu.Lock()
	l.queue = append(l.queue, e)
	l.mu.Unlock()
	select {
	case l.waiting <- struct{}{}:
	default:
	}
}

// TryPost posts an event that may be lost, and says whether it was taken.
func (l *Loop) TryPost(e Event) bool {
	l.mu.Lock()
	full := len(l.queue) >= limits.MaxQueuedEvents
	l.mu.Unlock()
	if full {
		l.Metrics.Add(metrics.QueueLimitReached, 1)
		return false
	}
	l.Post(e)
	return true
}

// Call is an event that runs a function on the loop.
type Func func(l *Loop)

// Take runs it.
func (f Func) Apply(l *Loop) { f(l) }

// Learn adds an event of the module to the batch of the next step. Only on the loop.
func (l *Loop) AddEvent(e relay.Event) { l.batch = append(l.batch, e) }

// Told takes news from the platform. Only on the loop.
func (l *Loop) RolloutStatusReceived(n relay.RolloutStatus) {
	if l.Guard != nil {
		l.Guard.RolloutStatusReceived(n)
	} else {
		l.AddEvent(n)
	}
}

// At runs a function on the loop at or after a time. Only on the loop.
func (l *Loop) RunAt(at relay.Seconds, f func()) {
	l.seq++
	heap.Push(&l.timers, timer{at, l.seq, f})
}

// OnServiceOpen runs a function once a list of units stands. Only on the loop.
func (l *Loop) OnServiceOpen(f func()) {
	if l.listed {
		f()
		return
	}
	l.onList = append(l.onList, f)
}

// Open begins service: a list of units stands that may be served by. Only on the loop.
func (l *Loop) OpenService() {
	if l.listed {
		return
	}
	l.listed = true
	for _, f := range l.onList {
		f()
	}
	l.onList = nil
}

// Run goes on until stop is closed.
func (l *Loop) Run(stop <-chan struct{}) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		for _, e := range l.TakePosted() {
			e.Apply(l)
		}
		l.alarms()
		if len(l.batch) > 0 {
			l.step()
			continue // orders may have led to more
		}
		if len(l.timers) > 0 {
			alarm.Reset(time.Duration(math.Ceil((l.timers[0].at - l.Clock.Now()) * 1e9)))
		}
		select {
		case <-stop:
			return
		case <-l.waiting:
		case <-alarm.C:
		}
	}
}

// Pending empties the queue. Only on the loop; what it gives is good until the next call.
func (l *Loop) TakePosted() []Event {
	clear(l.taken)
	if cap(l.taken) > limits.MaxRetainedEvents {
		l.taken = nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken, l.queue = l.queue, l.taken[:0]
	return l.taken
}

// Learned empties the batch. Only on the loop.
func (l *Loop) TakeEvents() []relay.Event {
	events := l.batch
	l.batch = nil
	return events
}

// alarms runs the timers that are due.
func (l *Loop) alarms() {
	for now := l.Clock.Now(); len(l.timers) > 0 && l.timers[0].at <= now; {
		heap.Pop(&l.timers).(timer).run()
	}
}

// step lets the module see all that has happened, and carries out its orders.
func (l *Loop) step() {
	events, over := l.TakeEvents(), len(l.over)
	for _, o := range l.module.Step(l.Clock.Now(), events) {
		l.order(o)
	}
	l.sweep(over)
}

func (l *Loop) order(o relay.Command) {
	switch o := o.(type) {
	case relay.SendAttempt:
		l.route(o)
	case relay.CancelUnsent:
		l.recall(o)
	case relay.CancelAttempt:
		l.cancel(o)
	case relay.Reject:
		l.deny(o)
	case relay.Fail:
		l.writeOff(o)
	case relay.SetTimer:
		l.RunAt(o.At, func() { l.AddEvent(relay.TimerFired{ID: o.ID}) })
	case relay.HealthCheck:
		l.Metrics.Add(metrics.HealthChecks, 1)
		l.Upstream.HealthCheck(o.Endpoint)
	case relay.CloseIdle:
		l.Upstream.CloseIdle(o.Endpoint)
	case relay.SendMessage:
		l.Peers.SendMessage(o)
	case relay.Vote:
		l.Metrics.Add(metrics.Votes, 1)
		if l.Guard != nil {
			l.Guard.Vote(o)
		} else {
			l.Platform.Vote(o)
		}
	case relay.Watch:
		l.Discovery.Watch(o.On, o.Restart)
	case relay.FetchList:
		l.Discovery.FetchList()
	case relay.Log:
		l.Log.WithField("source", "policy").Info(o.Line)
	}
}

type timer struct {
	at  relay.Seconds
	seq uint64
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}
