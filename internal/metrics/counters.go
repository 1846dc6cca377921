// Package metrics has the counters of the program, and the log line that each connection writes when it ends, with the
// close reason. Its only state is in Counters, which any goroutine may change and read without a lock; it starts no
// goroutine and imports nothing from this module. The names in the log are public: docs/on-call.md explains each of them,
// and changes must be listed in CHANGELOG.md.
package metrics

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Counter identifies one of the Counters.
type Counter int

// The counters only grow, except for those whose names end in Open, which count what is open now.
//
// At any time Accepted is the sum of Succeeded, Rejected, Failed, ClientLeft and Open, and AttemptsSent is the sum of
// AttemptsOpen and the outcomes from AttemptSucceeded to AttemptNotSent, which are consecutive for this reason.
const (
	// Connections.
	ClientConns Counter = iota
	ClientConnsOpen
	EndpointConns // all that were dialed, successfully or not
	EndpointConnsOpen

	// Requests from clients and their outcomes.
	Accepted
	Succeeded
	Rejected
	Failed
	ClientLeft // the client disconnected before the response
	Open

	// Attempts, of which a request has one or more, and their outcomes.
	AttemptsSent // given to a connection, which may have to be established first
	AttemptsOpen
	AttemptSucceeded
	AttemptErrored
	AttemptRejected // by the endpoint
	AttemptTimedOut
	AttemptConnectFailed
	AttemptConnectionBroken
	AttemptCancelled
	AttemptNotSent

	AttemptsReleased   // withdrawn before the last byte was written
	RejectedAfterClose // requests that arrived while their connection was being closed as idle
	HealthChecks

	// Votes on a rollout, and the platform's replies to them.
	Votes
	VotesCounted
	VotesNotCounted
	VotesStale                 // the build or stage was no longer current
	VotesMaybeCounted          // no reply arrived
	RolloutStatuses            // received from the platform on watches
	RolloutStatusesBesideVotes // received from the platform beside the replies to votes, as the watches receive them too
	// RolloutStatusesUnordered and RolloutStatusesBackward count statuses that were not applied, also in replies to votes.
	RolloutStatusesUnordered // received on a connection that may be behind
	RolloutStatusesBackward  // sent later than the present one, but about an earlier build or undoing a rollback

	// Messages between relays.
	PeerMessagesOut
	PeerMessagesIn
	PeerMessagesDropped

	// Calls to discovery.
	DiscoveryCalls
	DiscoveryFailed
	DiscoveryStalled        // calls that failed because no response arrived in time
	EndpointsRemovedByPeers // removals that a peer reported before discovery did
	PeerClocksAhead         // messages whose times were not used, as the clock of the peer is ahead

	// Bad input and the program's own limits.
	BadInput
	DuplicateIDs // requests with the id of an earlier request
	ConnLimitReached
	BufferLimitReached
	QueueLimitReached
	RequestLinesSuppressed // log lines of requests that were not written because there were too many of their kind
	LogDropped             // log lines dropped because the reader of the log was too slow
	Reloads
	ReloadsRefused
	counterCount
)

// counterNames maps counters to their names in the log.
var counterNames = [counterCount]string{
	ClientConns:                "client_conns",
	ClientConnsOpen:            "client_conns_open",
	EndpointConns:              "endpoint_conns",
	EndpointConnsOpen:          "endpoint_conns_open",
	Accepted:                   "accepted",
	Succeeded:                  "succeeded",
	Rejected:                   "rejected",
	Failed:                     "failed",
	ClientLeft:                 "client_left",
	Open:                       "open",
	AttemptsSent:               "attempts_sent",
	AttemptsOpen:               "attempts_open",
	AttemptSucceeded:           "attempt_succeeded",
	AttemptErrored:             "attempt_errored",
	AttemptRejected:            "attempt_rejected",
	AttemptTimedOut:            "attempt_timed_out",
	AttemptConnectFailed:       "attempt_connect_failed",
	AttemptConnectionBroken:    "attempt_connection_broken",
	AttemptCancelled:           "attempt_cancelled",
	AttemptNotSent:             "attempt_not_sent",
	AttemptsReleased:           "attempts_released",
	RejectedAfterClose:         "rejected_after_close",
	HealthChecks:               "health_checks",
	Votes:                      "votes",
	VotesCounted:               "votes_counted",
	VotesNotCounted:            "votes_not_counted",
	VotesStale:                 "votes_stale",
	VotesMaybeCounted:          "votes_maybe_counted",
	RolloutStatuses:            "rollout_statuses",
	RolloutStatusesBesideVotes: "rollout_statuses_beside_votes",
	RolloutStatusesUnordered:   "rollout_statuses_unordered",
	RolloutStatusesBackward:    "rollout_statuses_backward",
	PeerMessagesOut:            "peer_messages_out",
	PeerMessagesIn:             "peer_messages_in",
	PeerMessagesDropped:        "peer_messages_dropped",
	DiscoveryCalls:             "discovery_calls",
	DiscoveryFailed:            "discovery_failed",
	DiscoveryStalled:           "discovery_stalled",
	EndpointsRemovedByPeers:    "endpoints_removed_by_peers",
	PeerClocksAhead:            "peer_clocks_ahead",
	BadInput:                   "bad_input",
	DuplicateIDs:               "duplicate_ids",
	ConnLimitReached:           "bound_conns",
	BufferLimitReached:         "bound_buffers",
	QueueLimitReached:          "bound_queue",
	RequestLinesSuppressed:     "request_lines_suppressed",
	LogDropped:                 "log_dropped",
	Reloads:                    "reloads",
	ReloadsRefused:             "reloads_refused",
}

// Counters holds a value for each Counter. The zero value is ready for use. It is safe for concurrent use and must not be
// copied.
type Counters struct{ values [counterCount]atomic.Int64 }

// Add adds n to a counter. n is negative when an Open counter decreases.
func (c *Counters) Add(id Counter, n int64) { c.values[id].Add(n) }

// Get returns the current value of a counter.
func (c *Counters) Get(id Counter) int64 { return c.values[id].Load() }

// Fields returns all counters by name, for a log line. The sums of related counters may be off if they change meanwhile.
func (c *Counters) Fields() logrus.Fields {
	fields := logrus.Fields{}
	for id, name := range counterNames {
		fields[name] = c.values[id].Load()
	}
	return fields
}
