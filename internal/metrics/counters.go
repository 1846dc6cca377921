// Package metrics holds what the program reports about itself: counters, and the line that each closed connection leaves
// in the log with the reason of its close. Its only state is Counters, which any goroutine may change and read without a
// lock; it starts no goroutine. It imports nothing of the program. The names in the log are public: docs/on-call.md
// explains each, and a change belongs into CHANGELOG.md.
package metrics

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Counter identifies one of the Counters.
type Counter int

// The counters. They only grow, but those named Open, which are the present number.
//
// At any time Accepted is the sum of Succeeded, Rejected, Failed, ClientLeft and Open, and AttemptsSent the sum of
// AttemptsOpen and the outcomes from AttemptSucceeded to AttemptNotSent, which stand together for that.
const (
	// Connections.
	ClientConns Counter = iota
	ClientConnsOpen
	EndpointConns // dialed, whether they came up or not
	EndpointConnsOpen

	// Requests of clients, and how they ended.
	Accepted
	Succeeded
	Rejected
	Failed
	ClientLeft // before their response
	Open

	// Attempts, one or more of a request, and how they ended.
	AttemptsSent // to a connection, which may have to come up first
	AttemptsOpen
	AttemptSucceeded
	AttemptErrored
	AttemptRejected // by the endpoint
	AttemptTimedOut
	AttemptConnectFailed
	AttemptConnectionBroken
	AttemptCancelled
	AttemptNotSent

	AttemptsReleased   // taken back before their last byte was written
	RejectedAfterClose // requests that arrived while their connection was closed as idle
	HealthChecks

	// Votes on a rollout, and the platform's replies to them.
	Votes
	VotesCounted
	VotesNotCounted
	VotesStale        // the build or stage voted on was past
	VotesMaybeCounted // no reply came
	RolloutStatuses   // received from the platform

	// Messages between relays.
	PeerMessagesOut
	PeerMessagesIn
	PeerMessagesDropped

	// Calls to discovery.
	DiscoveryCalls
	DiscoveryFailed
	DiscoveryStalled        // failed calls that got no response in time
	EndpointsRemovedByPeers // known from peers before discovery reported it

	// Bad input and the program's own limits.
	BadInput
	ConnLimitReached
	BufferLimitReached
	QueueLimitReached
	LogDropped // lines that the log's reader was too slow for
	Reloads
	ReloadsRefused
	counterCount
)

// counterNames has the name of each counter in the log.
var counterNames = [counterCount]string{
	ClientConns:             "client_conns",
	ClientConnsOpen:         "client_conns_open",
	EndpointConns:           "endpoint_conns",
	EndpointConnsOpen:       "endpoint_conns_open",
	Accepted:                "accepted",
	Succeeded:               "succeeded",
	Rejected:                "rejected",
	Failed:                  "failed",
	ClientLeft:              "client_left",
	Open:                    "open",
	AttemptsSent:            "attempts_sent",
	AttemptsOpen:            "attempts_open",
	AttemptSucceeded:        "attempt_succeeded",
	AttemptErrored:          "attempt_errored",
	AttemptRejected:         "attempt_rejected",
	AttemptTimedOut:         "attempt_timed_out",
	AttemptConnectFailed:    "attempt_connect_failed",
	AttemptConnectionBroken: "attempt_connection_broken",
	AttemptCancelled:        "attempt_cancelled",
	AttemptNotSent:          "attempt_not_sent",
	AttemptsReleased:        "attempts_released",
	RejectedAfterClose:      "rejected_after_close",
	HealthChecks:            "health_checks",
	Votes:                   "votes",
	VotesCounted:            "votes_counted",
	VotesNotCounted:         "votes_not_counted",
	VotesStale:              "votes_stale",
	VotesMaybeCounted:       "votes_maybe_counted",
	RolloutStatuses:         "rollout_statuses",
	PeerMessagesOut:         "peer_messages_out",
	PeerMessagesIn:          "peer_messages_in",
	PeerMessagesDropped:     "peer_messages_dropped",
	DiscoveryCalls:          "discovery_calls",
	DiscoveryFailed:         "discovery_failed",
	DiscoveryStalled:        "discovery_stalled",
	EndpointsRemovedByPeers: "endpoints_removed_by_peers",
	BadInput:                "bad_input",
	ConnLimitReached:        "bound_conns",
	BufferLimitReached:      "bound_buffers",
	QueueLimitReached:       "bound_queue",
	LogDropped:              "log_dropped",
	Reloads:                 "reloads",
	ReloadsRefused:          "reloads_refused",
}

// Counters holds one value for each Counter. The zero value is ready for use, by any goroutine; it must not be copied.
type Counters struct{ values [counterCount]atomic.Int64 }

// Add adds n, which is negative where an Open counter falls.
func (c *Counters) Add(id Counter, n int64) { c.values[id].Add(n) }

// Get returns the present value.
func (c *Counters) Get(id Counter) int64 { return c.values[id].Load() }

// Fields returns all counters by name, for one line of the log. Counters that change meanwhile may not add up.
func (c *Counters) Fields() logrus.Fields {
	fields := logrus.Fields{}
	for id, name := range counterNames {
		fields[name] = c.values[id].Load()
	}
	return fields
}
