package live

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Connection is the number of a connection to a relay, from 1 on.
type Connection int

// Request is a request that is to be sent.
type Request struct {
	Number int     // of the arrival in the replay, from 0 on
	Due    float64 // seconds since the start
	Relay  int     // number of the relay that it is sent to
}

// Action is what a Decision tells the caller to do.
type Action int

// The actions.
const (
	Wait   Action = iota // nothing: the request waits for a connection, or none is waiting
	Reuse                // send the request on an open connection
	Open                 // send the request on a new connection
	Reject               // drop the request, because too many wait already
)

// Decision is an action, the request that it applies to, and the connection for a request that is sent.
type Decision struct {
	Action     Action
	Request    Request
	Connection Connection
}

// Bounds limit a sender's connections and queues, and define when its own delays make a run invalid.
type Bounds struct {
	Connections  int     // maximum number of open connections to each relay
	Waiting      int     // maximum number of requests that wait for a connection to each relay
	LateAfter    float64 // seconds; a request that is sent more than this after it was due is late
	MaxLateShare float64 // fraction of late or unsent requests above which a run is invalid
}

// DefaultBounds keep the connections to a relay below half of its descriptors (relaySockets), because it needs the other half
// for its own connections.
var DefaultBounds = Bounds{Connections: 300, Waiting: 5000, LateAfter: 0.01, MaxLateShare: 0.01}

// Range and precision of the histogram of delays.
const (
	minLatency        = 1     // microsecond
	maxLatency        = 600e6 // microseconds
	significantDigits = 3
)

// Sender decides on which connection a request is sent or whether it waits, and records how late requests were sent. It tracks
// the state of all connections but uses no clock, socket or goroutine. It is not safe for concurrent use.
type Sender struct {
	bounds   Bounds
	relays   []relayConnections
	lateness *hdrhistogram.Histogram // delay from when a request was due to when it was sent, in microseconds
	sent     int
	late     int // requests sent more than LateAfter after they were due
	unsent   int // rejected requests
	broken   int // connections that broke or could not be opened
}

// relayConnections are the connections to one relay.
type relayConnections struct {
	idle    []Connection // by time of last use; the last is reused first, so that few connections stay in use
	open    int
	last    Connection // the one opened last
	waiting []Request
	maxOpen int // largest number open at a time
}

// NewSender returns a sender for a number of relays, without any connections.
func NewSender(relays int, bounds Bounds) *Sender {
	return &Sender{bounds: bounds, relays: make([]relayConnections, relays),
		lateness: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
}

// Send decides how a request that is due is handled. Requests to a relay are sent in the order in which they became due.
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

// queue lets a request wait for a connection, or rejects it if the maximum number wait already.
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
	_ = s.lateness.RecordValue(int64(delay * microsPerSecond)) // a delay above maxLatency is missing from the quantiles only
	if delay > s.bounds.LateAfter {
		s.late++
	}
}

// Release takes back a connection whose request has finished; reusable is false if the connection broke. If requests wait for
// the relay, the decision sends the one that has waited longest, on this connection or on a new one that replaces it.
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

// DropWaiting removes and returns all requests that wait for a connection. It is used when a run ends early.
func (s *Sender) DropWaiting() []Request {
	var dropped []Request
	for i := range s.relays {
		dropped = append(dropped, s.relays[i].waiting...)
		s.relays[i].waiting = nil
	}
	return dropped
}

// Lateness reports how late the sender itself was. Times are in seconds.
type Lateness struct {
	Sent              int                `json:"sent"`
	Unsent            int                `json:"unsent"`
	Late              int                `json:"late"`
	LateAfter         float64            `json:"late_after_s"`
	LateShare         float64            `json:"late_share"`
	MaxLateShare      float64            `json:"late_share_allowed"`
	Quantiles         map[string]float64 `json:"late_s"` // by name: p50, p99 and max
	MaxConnections    int                `json:"connections_most"`
	BrokenConnections int                `json:"connections_broken"`
	Invalid           string             `json:"invalid,omitempty"` // why the run is invalid; empty if it is valid
}

// Lateness returns the sender's own delays so far.
func (s *Sender) Lateness() Lateness {
	lateness := Lateness{Sent: s.sent, Unsent: s.unsent, Late: s.late, LateAfter: s.bounds.LateAfter, MaxLateShare: s.bounds.MaxLateShare,
		BrokenConnections: s.broken, Quantiles: map[string]float64{}}
	for i := range s.relays {
		lateness.MaxConnections = max(lateness.MaxConnections, s.relays[i].maxOpen)
	}
	for name, quantile := range map[string]float64{"p50": 50, "p99": 99, "max": 100} {
		lateness.Quantiles[name] = float64(s.lateness.ValueAtQuantile(quantile)) / microsPerSecond
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
