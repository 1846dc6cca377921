// Package live replays arrivals against relays that run as processes, over their wire protocol on loopback, on the recorded
// schedule. The loop is open: a request is sent when it is due, whether or not earlier ones were answered, and what a late
// sender adds counts into the latency. One goroutine, that of Run, owns the session; each request in flight has a goroutine
// for its connection, and the emulated planners share a request log. The Sender decides without clock, socket or goroutine.
// The package imports the laboratory's figures and fakes, and the wire protocol's reader.
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
	lateMargin    = 0.1  // seconds after the deadline from which a response came too late
	startupTime   = 0.5  // seconds from the start to the first arrival, for the relays to come up
	finishedQueue = 1024 // finished requests that wait for the loop
)

var sites = []string{"bole", "kality"}

// Options are the parameters of a live replay.
type Options struct {
	Executable     string // path of the program, which is run for each relay
	Dir            string // for configurations and logs
	Relays         int
	Planners       int
	Seed           int64
	RequestClasses []string // names, by an arrival's category
	Tenants        []string // names, by an arrival's customer
	Bounds         Bounds
}

// Result is what a live replay measured.
type Result struct {
	lab.ReplayResult
	Sender        Lateness `json:"sender"`
	LateResponses int      `json:"answers_after_patience"` // that came after the deadline
	EndedEarly    bool     `json:"ended_early"`            // by the context
}

// inFlightRequest is a request that was sent or waits for a connection.
type inFlightRequest struct {
	arrival lab.Arrival
	counted lab.CountedRequest // as the tally counts it
	terms   *lab.ClassTerms
}

// connectionKey names one connection of the session.
type connectionKey struct {
	relay      int
	connection Connection
}

// session is a live replay that runs. The loop in play owns all of it but inProgress and requestLog, which the planners'
// goroutines share, and finished, into which the goroutines of exchanges send.
type session struct {
	options     Options
	terms       []lab.ClassTerms
	termIndexes []int // into terms, by an arrival's category
	relays      []string
	started     time.Time
	sender      *Sender
	tally       *lab.Tally
	connections map[connectionKey]*fakes.Client
	inFlight    map[int]inFlightRequest // by the request's number
	sent        int
	late        int      // responses
	cleanups    []func() // run in reverse order

	inProgress atomic.Int64 // requests that planners process now
	requestLog *requestLog
	finished   chan finishedRequest
}

// Run plays arrivals, which come in their order, until there are no more or the context ends. Requests that are in flight at
// an early end are still waited for, up to their deadlines. Run ends every process that it started. It fails where the
// processes can't be started.
func Run(ctx context.Context, options Options, arrivals <-chan lab.Arrival) (Result, error) {
	s, err := newSession(options)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	if err := s.start(); err != nil {
		return Result{}, err
	}
	span, early := s.play(ctx, arrivals)
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

// close ends connections, then what start started, the latest first.
func (s *session) close() {
	for _, client := range s.connections {
		_ = client.Close() // nothing is in flight on it
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

// now is the time since the start in seconds.
func (s *session) now() float64 { return time.Since(s.started).Seconds() }

// play is the session's loop: it sends what is due and takes in what has finished. span is when the last request was due.
func (s *session) play(ctx context.Context, arrivals <-chan lab.Arrival) (span float64, early bool) {
	s.started = time.Now()
	schedule := newSchedule(s.started, arrivals)
	defer schedule.timer.Stop()
	done := ctx.Done()
	for schedule.hasMore() || len(s.inFlight) > 0 {
		select {
		case arrival, ok := <-schedule.readable():
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

// endUnsent counts a request that is not sent.
func (s *session) endUnsent(request Request) {
	s.tally.RequestEnded(s.inFlight[request.Number].counted, s.now(), lab.RequestUnanswered)
	delete(s.inFlight, request.Number)
}

// send counts a request that is due, and sends it or lets it wait as the sender decides.
func (s *session) send(arrival lab.Arrival) {
	counted := lab.CountedRequest{At: arrival.At, Class: s.termIndexes[arrival.Class], Tenant: arrival.Tenant, Work: arrival.Work}
	request := Request{Number: s.sent, Due: arrival.At, Relay: int(arrival.Relay % uint64(len(s.relays)))}
	s.sent++
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

// finish counts a request that has finished, and gives its connection to the request that waited longest for one.
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
			_ = client.Close() // it has failed already
		}
		delete(s.connections, key)
	}
	s.apply(s.sender.Release(f.request.Relay, f.connection, f.reusable))
}
