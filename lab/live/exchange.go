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
	relayShift  = 48    // a request's ID holds the number of its relay in the bits from this one on
	minTimeLeft = 0.001 // seconds; a request with no more time than this until its deadline isn't sent

	millisPerSecond = 1e3
	microsPerSecond = 1e6
	nanosPerSecond  = 1e9
)

// exchange is one request on one connection. While it runs, only its goroutine uses the client.
type exchange struct {
	request    Request
	connection Connection
	inFlight   inFlightRequest
	client     *fakes.Client // Conn is nil if the connection is new
}

// finishedRequest is the result of an exchange. Times are in seconds since the start.
type finishedRequest struct {
	request    Request
	connection Connection
	reusable   bool // whether the connection can be used for another request
	sentAt     float64
	endedAt    float64
	outcome    lab.RequestOutcome
}

// run opens the connection if it is new, sends the request and waits for the response. The deadline counts from when the
// request was due, so that a delay of the sender shortens the time that is left for the response.
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
	if timeLeft <= minTimeLeft {
		f.reusable = true
		return f
	}
	response, err := e.client.Query(s.statementOf(e, timeLeft), time.Duration(timeLeft*nanosPerSecond))
	if err != nil {
		return f // the request is counted as unanswered, the connection as broken
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

// statement is a request as relays and planners parse it. The name of the object that it reads or writes tells the planners
// how many attempts at the request fail.
type statement struct {
	id       uint64
	terms    *lab.ClassTerms
	tenant   string
	timeLeft float64 // seconds until the deadline
	work     float64 // seconds of service time
	failures int     // number of attempts that fail, the first ones
}

// String returns the statement as SQL text. The comment holds the request's terms.
func (s statement) String() string {
	comment := fmt.Sprintf("/* id=%016x,c=%s,t=%s,d=%d,h=%d", s.id, s.terms.Name, s.tenant, int(s.timeLeft*millisPerSecond), int(s.work*microsPerSecond))
	object := fmt.Sprintf("f%d-%x", s.failures, s.id)
	switch s.terms.Idempotency {
	case relay.Idempotent:
		return fmt.Sprintf("SELECT body FROM objects WHERE oid = '%s' %s */", object, comment)
	case relay.IdempotencyKeyed:
		comment += fmt.Sprintf(",k=%x", s.id)
	}
	return fmt.Sprintf(`INSERT INTO objects (oid, body) VALUES ('%s', '\x00') RETURNING body %s */`, object, comment)
}
