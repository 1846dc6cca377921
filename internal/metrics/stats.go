// Package metrics counts what the program takes in, sends and answers. The counters are safe for use by any
// goroutine; Fields gives them all, for one line of the log.
package metrics

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// ID names a counter.
type Counter int

// The counters. What was taken in is honoured + denied + written off + left + open at any time.
const (
	ClientConns Counter = iota
	ClientConnsOpen
	EndpointConns
	EndpointConnsOpen
	Accepted
	Succeeded
	Rejected
	Failed
	ClientLeft
	Open
	AttemptsSent
	AttemptsOpen
	AttemptSucceeded
	AttemptErrored
	AttemptRejected
	AttemptTimedOut
	AttemptConnectFailed
	AttemptConnectionBroken
	AttemptCancelled
	AttemptNotSent
	AttemptsReleased
	RejectedAfterClose
	HealthChecks
	Votes
	VotesCounted
	VotesNotCounted
	VotesStale
	VotesMaybeCounted
	RolloutStatuses
	PeerMessagesOut
	PeerMessagesIn
	PeerMessagesDropped
	DiscoveryCalls
	DiscoveryFailed
	DiscoveryStalled
	EndpointsRemovedByPeers
	BadInput
	ConnLimitReached
	BufferLimitReached
	QueueLimitReached
	LogDropped
	Reloads
	ReloadsRefused
	counterCount
)

var counterNames = [counterCount]string{
	ClientConns: "client_conns", ClientConnsOpen: "client_conns_open", EndpointConns: "endpoint_conns",
	EndpointConnsOpen: "endpoint_conns_open", Accepted: "accepted", Succeeded: "succeeded", Rejected: "rejected",
	Failed: "failed", ClientLeft: "client_left", Open: "open", AttemptsSent: "attempts_sent", AttemptsOpen: "attempts_open",
	AttemptSucceeded: "attempt_succeeded", AttemptErrored: "attempt_errored", AttemptRejected: "attempt_rejected",
	AttemptTimedOut: "attempt_timed_out", AttemptConnectFailed: "attempt_connect_failed", AttemptConnectionBroken: "attempt_connection_broken",
	AttemptCancelled: "attempt_cancelled", AttemptNotSent: "attempt_not_sent", AttemptsReleased: "attempts_released", RejectedAfterClose: "rejected_after_close", HealthChecks: "health_checks", Votes: "votes",
	VotesCounted: "votes_counted", VotesNotCounted: "votes_not_counted", VotesStale: "votes_stale", VotesMaybeCounted: "votes_maybe_counted",
	RolloutStatuses: "rollout_statuses", PeerMessagesOut: "peer_messages_out", PeerMessagesIn: "peer_messages_in", PeerMessagesDropped: "peer_messages_dropped",
	DiscoveryCalls: "discovery_calls", DiscoveryFailed: "discovery_failed", DiscoveryStalled: "discovery_stalled",
	EndpointsRemovedByPeers: "endpoints_removed_by_peers", BadInput: "bad_input",
	ConnLimitReached: "bound_conns", BufferLimitReached: "bound_buffers", QueueLimitReached: "bound_queue", LogDropped: "log_dropped",
	Reloads: "reloads", ReloadsRefused: "reloads_refused",
}

// Counters holds one value for each ID.
type Counters struct{ values [counterCount]atomic.Int64 }

// Add changes a counter.
func (c *Counters) Add(id Counter, n int64) { c.values[id].Add(n) }

// Get reads a counter.
func (c *Counters) Get(id Counter) int64 { return c.values[id].Load() }

// Fields gives all counters by name, for one line of the log.
func (c *Counters) Fields() logrus.Fields {
	fields := logrus.Fields{}
	for id, name := range counterNames {
		fields[name] = c.values[id].Load()
	}
	return fields
}
