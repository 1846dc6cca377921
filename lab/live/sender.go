package live

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Connection numbers a connection to a relay, from 1 on.
type Connection int

// Request is an arrival that is to be sent.
type Request struct {
	Number int     // of the arrival, from 0 on
	Due    float64 // seconds since the start
	Relay  int
}

// Action is what the sender's host does.
type Action int

// The actions.
const (
	Wait   Action = iota // nothing: every connection is in use, or no request waits
	Reuse                // send the request on an open connection
	Open                 // send the request on a new connection
	Reject               // drop the request: too many wait already
)

// Decision is an action with the request that it is for, and its connection if it is sent.
type Decision struct {
	Action     Action
	Request    Request
	Connection Connection
}

// Bounds limit a sender, and say when its own delays make a run invalid.
type Bounds struct {
	Connections  int     // to each relay
	Waiting      int     // requests that wait for a connection to each relay
	LateAfter    float64 // seconds after which a request was sent late
	MaxLateShare float64 // share of late or unsent requests above which a run is invalid
}

// DefaultBounds are half of a relay's descriptors as connections; the other half is for the relay's own connections.
var DefaultBounds = Bounds{Connections: 300, Waiting: 5000, LateAfter: 0.01, MaxLateShare: 0.01}

// Latencies are recorded in microseconds, with three significant digits.
const (
	minLatency        = 1
	maxLatency        = 600e6
	significantDigits = 3
)

// Sender decides which request is sent on which connection, which one waits, and how late requests were sent. It holds the
// state of all connections without clock, socket or goroutine, and is not safe for concurrent use.
type Sender struct {
	bounds   Bounds
	relays   []relayConnections
	lateness *hdrhistogram.Histogram // microseconds from due to sent
	sent     int
	late     int // sent later than LateAfter
	unsent   int // rejected
	broken   int // connections that broke or did not open
}

// relayConnections are the connections to one relay.
type relayConnections struct {
	idle    []Connection // the one used last is at the end and reused first, so that few stay in use
	open    int
	last    Connection // that was opened
	waiting []Request
	maxOpen int // at a time
}

// NewSender returns a sender without connections.
func NewSender(relays int, bounds Bounds) *Sender {
	return &Sender{bounds: bounds, relays: make([]relayConnections, relays),
		lateness: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
}

// Send decides about a request that is due. Requests to a relay are sent in the order in which they were due.
func (s *Sender) Send(request Request) Decision {
	relay := &s.relays[request.Relay]
	if len(relay.waiting) > 0 {
		return s.queue(relay, request)
	}
	if last := len(relay.idle) - 1; last >= 0 {
		connection := relay.idle[last]
		relay.idle = relay.idle[:last]
		return Decision{Action: Reuse, Request: request, Connection: connection}
	}
	if relay.open < s.bounds.Connections {
		return Decision{Action: Open, Request: request, Connection: relay.openNew()}
	}
	return s.queue(relay, request)
}

func (r *relayConnections) openNew() Connection {
	r.open++
	r.maxOpen = max(r.maxOpen, r.open)
	r.last++
	return r.last
}

// queue lets a request wait, or rejects it where too many wait.
func (s *Sender) queue(relay *relayConnections, request Request) Decision {
	if len(relay.waiting) >= s.bounds.Waiting {
		s.unsent++
		return Decision{Action: Reject, Request: request}
	}
	relay.waiting = append(relay.waiting, request)
	return Decision{Action: Wait, Request: request}
}

// RecordSent records when a request was sent.
func (s *Sender) RecordSent(request Request, now float64) {
	s.sent++
	delay := math.Max(now-request.Due, 0)
	_ = s.lateness.RecordValue(int64(delay * 1e6)) // a delay over ten minutes is left out of the quantiles alone
	if delay > s.bounds.LateAfter {
		s.late++
	}
}

// Release takes back a connection whose request has finished; reusable is false where it broke. The request that waited
// longest is sent, on it or on a new one.
func (s *Sender) Release(relayNumber int, connection Connection, reusable bool) Decision {
	relay := &s.relays[relayNumber]
	if !reusable {
		relay.open--
		s.broken++
	}
	if len(relay.waiting) == 0 {
		if reusable {
			relay.idle = append(relay.idle, connection)
		}
		return Decision{Action: Wait}
	}
	request := relay.waiting[0]
	relay.waiting = relay.waiting[1:]
	if reusable {
		return Decision{Action: Reuse, Request: request, Connection: connection}
	}
	return Decision{Action: Open, Request: request, Connection: relay.openNew()}
}

// DropWaiting removes and returns the requests that wait, as when a run is ended.
func (s *Sender) DropWaiting() []Request {
	var dropped []Request
	for i := range s.relays {
		dropped = append(dropped, s.relays[i].waiting...)
		s.relays[i].waiting = nil
	}
	return dropped
}

// Lateness says how late the sender itself was. Times are seconds.
type Lateness struct {
	Sent              int                `json:"sent"`
	Unsent            int                `json:"unsent"`
	Late              int                `json:"late"`
	LateAfter         float64            `json:"late_after_s"`
	LateShare         float64            `json:"late_share"`
	MaxLateShare      float64            `json:"late_share_allowed"`
	Quantiles         map[string]float64 `json:"late_s"` // by p50, p99 and max
	MaxConnections    int                `json:"connections_most"`
	BrokenConnections int                `json:"connections_broken"`
	Invalid           string             `json:"invalid,omitempty"` // why the run is invalid; empty: it is valid
}

// Lateness returns the sender's own delays so far.
func (s *Sender) Lateness() Lateness {
	lateness := Lateness{Sent: s.sent, Unsent: s.unsent, Late: s.late, LateAfter: s.bounds.LateAfter, MaxLateShare: s.bounds.MaxLateShare,
		BrokenConnections: s.broken, Quantiles: map[string]float64{}}
	for i := range s.relays {
		lateness.MaxConnections = max(lateness.MaxConnections, s.relays[i].maxOpen)
	}
	for name, quantile := range map[string]float64{"p50": 50, "p99": 99, "max": 100} {
		lateness.Quantiles[name] = float64(s.lateness.ValueAtQuantile(quantile)) / 1e6
	}
	if total := s.sent + s.unsent; total > 0 {
		lateness.LateShare = float64(s.late+s.unsent) / float64(total)
	}
	if lateness.LateShare > s.bounds.MaxLateShare {
		lateness.Invalid = fmt.Sprintf("the sender was over %g s late with %.2f%% of the queries (%d unsent), %.2f%% are allowed",
			s.bounds.LateAfter, 100*lateness.LateShare, s.unsent, 100*s.bounds.MaxLateShare)
	}
	return lateness
}
