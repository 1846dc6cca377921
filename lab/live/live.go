// Package live replays the requests of a trace at their recorded times against relays that run as processes, over the wire
// protocol on loopback. The load is open-loop: a request is sent when it is due, whether or not earlier ones were answered,
// and its latency counts from when it was due, so that it includes the delay of a late sender.
//
// The goroutine of Run owns the session. Each request in flight has a goroutine, and the emulated planners share a request
// log. The Sender, which decides on which connection a request is sent, uses no clock, socket or goroutine. Requests are
// counted by package lab; planners, discovery, client connections and processes are those of lab/fakes.
package live

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"lichenroad/lab"
	"lichenroad/lab/fakes"
)

const (
	lateMargin    = 0.1  // seconds; a request that ends more than this after its deadline is counted as late
	startupTime   = 0.5  // seconds from the start to the first arrival, in which the relays finish starting up
	finishedQueue = 1024 // finished requests that may wait for the session's loop
)

var sites = []string{"bole", "kality"}

// Options are the parameters of a live replay.
type Options struct {
	Executable     string // path of the lichenroad executable, which is started for each relay
	Dir            string // directory for configurations and logs; created if missing
	Relays         int
	Planners       int
	Seed           int64
	RequestClasses []string // names, indexed by an arrival's class
	Tenants        []string // names, indexed by an arrival's tenant
	Bounds         Bounds
}

// Result is what a live replay measured.
type Result struct {
	lab.ReplayResult
	Sender        Lateness `json:"sender"`
	LateResponses int      `json:"answers_after_patience"` // requests that ended more than lateMargin after their deadline
	EndedEarly    bool     `json:"ended_early"`            // whether the context ended the replay
}

// inFlightRequest is a request that was sent and has not ended, or that waits for a connection.
type inFlightRequest struct {
	arrival lab.Arrival
	counted lab.CountedRequest // the request as the tally counts it
	terms   *lab.ClassTerms
}

// connectionKey identifies a connection of the session.
type connectionKey struct {
	relay      int
	connection Connection
}

// session is the state of a running live replay. Fields that change while it runs are used by the loop in play only, except
// for inProgress and requestLog, which the planners' goroutines share. The goroutines of exchanges send to finished.
type session struct {
	options     Options
	terms       []lab.ClassTerms
	termIndexes []int    // index into terms by an arrival's class
	relays      []string // addresses
	started     time.Time
	sender      *Sender
	tally       *lab.Tally
	connections map[connectionKey]*fakes.Client
	inFlight    map[int]inFlightRequest // by request number
	arrived     int                     // requests that were due so far, which is the number of the next one
	late        int                     // requests counted as late
	cleanups    []func()                // called by close in reverse order

	inProgress atomic.Int64 // requests that planners are processing
	requestLog *requestLog
	finished   chan finishedRequest
}

// Run replays arrivals, which must be in order of time, until the channel is closed or the context ends. When the context
// ends, requests that wait for a connection are dropped, and those that were sent are still waited for, a limited time beyond
// their deadlines. Run fails if the processes can't be started, and ends every process that it started.
func Run(ctx context.Context, options Options, arrivals <-chan lab.Arrival) (Result, error) {
	s, err := newSession(options)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	if err := s.start(); err != nil {
		return Result{}, err
	}
	span, early := s.runLoop(ctx, arrivals)
	return s.result(span, early), nil
}

func newSession(options Options) (*session, error) {
	s := &session{
		options:     options,
		terms:       lab.AllClassTerms(),
		sender:      NewSender(options.Relays, options.Bounds),
		tally:       lab.NewTally(options.Tenants),
		connections: map[connectionKey]*fakes.Client{},
		inFlight:    map[int]inFlightRequest{},
		requestLog:  newRequestLog(),
		finished:    make(chan finishedRequest, finishedQueue),
	}
	for _, name := range options.RequestClasses {
		index, err := lab.ClassIndex(name)
		if err != nil {
			return nil, err
		}
		s.termIndexes = append(s.termIndexes, index)
	}
	return s, nil
}

// close closes the connections, then ends what start started, in reverse order.
func (s *session) close() {
	for _, client := range s.connections {
		_ = client.Close() // no request is in flight on it
	}
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

func (s *session) result(span float64, early bool) Result {
	r := Result{ReplayResult: s.tally.Result(), Sender: s.sender.Lateness(), LateResponses: s.late, EndedEarly: early}
	r.Seed, r.Relays, r.Endpoints, r.Duration = s.options.Seed, s.options.Relays, s.options.Planners, span
	s.requestLog.addTo(&r.ReplayResult)
	r.AttemptsPerRequest = float64(r.Attempts) / math.Max(float64(r.All.Requests), 1)
	return r
}

// now returns the time since the start in seconds.
func (s *session) now() float64 { return time.Since(s.started).Seconds() }

// runLoop sends requests that are due and counts those that have finished. It returns the time at which the last request was
// due, and whether the context ended the replay early.
func (s *session) runLoop(ctx context.Context, arrivals <-chan lab.Arrival) (span float64, early bool) {
	s.started = time.Now()
	schedule := newSchedule(s.started, arrivals)
	defer schedule.timer.Stop()
	done := ctx.Done()
	for schedule.hasMore() || len(s.inFlight) > 0 {
		select {
		case arrival, ok := <-schedule.arrivalChannel():
			schedule.add(arrival, ok)
		case <-schedule.timer.C:
			if arrival, due := schedule.takeDue(s.now()); due {
				span = arrival.At
				s.send(arrival)
			}
		case request := <-s.finished:
			s.finish(request)
		case <-done:
			early, done = true, nil
			schedule.stop()
			for _, request := range s.sender.DropWaiting() {
				s.endUnsent(request)
			}
		}
	}
	return span, early
}

// endUnsent counts a request that is never sent as unanswered.
func (s *session) endUnsent(request Request) {
	s.tally.RequestEnded(s.inFlight[request.Number].counted, s.now(), lab.RequestUnanswered)
	delete(s.inFlight, request.Number)
}

// send counts a request that is due, and sends it, lets it wait or drops it as the sender decides.
func (s *session) send(arrival lab.Arrival) {
	counted := lab.CountedRequest{At: arrival.At, Class: s.termIndexes[arrival.Class], Tenant: arrival.Tenant, Work: arrival.Work}
	request := Request{Number: s.arrived, Due: arrival.At, Relay: int(arrival.Relay % uint64(len(s.relays)))}
	s.arrived++
	s.inFlight[request.Number] = inFlightRequest{arrival: arrival, counted: counted, terms: &s.terms[counted.Class]}
	cores := lab.CoresPerEndpoint * s.options.Planners
	s.tally.RequestArrived(counted, float64(s.inProgress.Load())/float64(cores))
	s.apply(s.sender.Send(request))
}

// apply carries out a decision of the sender.
func (s *session) apply(decision Decision) {
	request := decision.Request
	switch decision.Action {
	case Reject:
		s.endUnsent(request)
	case Reuse, Open:
		key := connectionKey{request.Relay, decision.Connection}
		client := s.connections[key]
		if client == nil {
			client = &fakes.Client{}
			s.connections[key] = client
		}
		next := exchange{request: request, connection: decision.Connection, inFlight: s.inFlight[request.Number], client: client}
		go func() { s.finished <- s.run(next) }()
	}
}

// finish counts a request that has finished, and sends the request that has waited longest for a connection to the same
// relay.
func (s *session) finish(f finishedRequest) {
	inFlight := s.inFlight[f.request.Number]
	delete(s.inFlight, f.request.Number)
	s.sender.RecordSent(f.request, f.sentAt)
	s.tally.RequestEnded(inFlight.counted, f.endedAt, f.outcome)
	if f.endedAt > f.request.Due+inFlight.terms.Deadline+lateMargin {
		s.late++
	}
	if !f.reusable {
		key := connectionKey{f.request.Relay, f.connection}
		if client := s.connections[key]; client.Conn != nil {
			_ = client.Close() // the connection has failed already
		}
		delete(s.connections, key)
	}
	s.apply(s.sender.Release(f.request.Relay, f.connection, f.reusable))
}
