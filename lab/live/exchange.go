package live

import (
	"fmt"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab"
	"lichenroad/lab/fakes"
	"lichenroad/relay"
)

const (
	relayShift     = 48    // a request's ID has its relay's number above these bits
	minTimeToSpend = 0.001 // seconds left until the deadline below which a request isn't sent
)

// exchange is one request on one connection. While it runs, its goroutine alone uses the client.
type exchange struct {
	request    Request
	connection Connection
	inFlight   inFlightRequest
	client     *fakes.Client // not connected if the connection is new
}

// finishedRequest is the end of an exchange. Times are seconds since the start.
type finishedRequest struct {
	request    Request
	connection Connection
	reusable   bool // the connection can take another request
	sentAt     float64
	endedAt    float64
	outcome    lab.RequestOutcome
}

// run connects where need be, sends the request and waits for its response, at most up to the request's deadline. The
// sender's own delay is part of what the client waits.
func (s *session) run(e exchange) (f finishedRequest) {
	f = finishedRequest{request: e.request, connection: e.connection, outcome: lab.RequestUnanswered}
	defer func() { f.endedAt = s.now() }()
	if e.client.Conn == nil {
		client, err := fakes.Dial(s.relays[e.request.Relay])
		if err != nil {
			f.sentAt = s.now()
			return f
		}
		*e.client = *client
	}
	f.sentAt = s.now()
	timeLeft := e.request.Due + e.inFlight.terms.Deadline - f.sentAt
	if timeLeft <= minTimeToSpend {
		f.reusable = true
		return f
	}
	response, err := e.client.Query(s.statementOf(e, timeLeft), time.Duration(timeLeft*1e9))
	if err != nil {
		return f // counted as unanswered, and the connection as broken
	}
	f.reusable = true
	f.outcome = outcomeOf(response)
	return f
}

func outcomeOf(response fakes.Response) lab.RequestOutcome {
	switch {
	case response.Value != "":
		return lab.RequestSucceeded
	case response.Code == pgwire.CodeTooManyConnections:
		return lab.RequestRejected
	default:
		return lab.RequestFailed
	}
}

func (s *session) statementOf(e exchange, timeLeft float64) string {
	arrival := e.inFlight.arrival
	return statement{
		id:       uint64(e.request.Relay)<<relayShift | uint64(e.request.Number),
		terms:    e.inFlight.terms,
		tenant:   s.options.Tenants[arrival.Tenant],
		timeLeft: timeLeft,
		work:     arrival.Work,
		failures: arrival.FailedAttempts,
	}.String()
}

// statement is a request in the form that relays and planners read. The object's name says how many of the request's
// attempts fail.
type statement struct {
	id       uint64
	terms    *lab.ClassTerms
	tenant   string
	timeLeft float64 // seconds until the deadline
	work     float64 // seconds
	failures int
}

// String is the statement's text.
func (s statement) String() string {
	comment := fmt.Sprintf("/* id=%016x,c=%s,t=%s,d=%d,h=%d", s.id, s.terms.Name, s.tenant, int(s.timeLeft*1000), int(s.work*1e6))
	object := fmt.Sprintf("f%d-%x", s.failures, s.id)
	switch s.terms.Idempotency {
	case relay.Idempotent:
		return fmt.Sprintf("SELECT body FROM objects WHERE oid = '%s' %s */", object, comment)
	case relay.IdempotencyKeyed:
		comment += fmt.Sprintf(",k=%x", s.id)
	}
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('%s', '\x00') RETURNING body %s */`, object, comment)
}
