// Package metrics counts what the program takes in, sends and answers. The counters are safe for use by any
// goroutine; Fields gives them all, for one line of the log.
package metrics

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// ID names a counter.
type ID int

// The counters. What was taken in is honoured + denied + written off + left + open at any time.
const (
	ClientConns ID = iota
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
	BoundConns
	BoundBuffers
	BoundQueue
	LogDropped
	Reloads
	ReloadsRefused
	counters
)

var names = [counters]string{
	ClientConns: "client_conns", ClientConnsOpen: "client_conns_open", EndpointConns: "unit_conns",
	EndpointConnsOpen: "unit_conns_open", Accepted: "taken_in", Succeeded: "honoured", Rejected: "denied",
	Failed: "written_off", ClientLeft: "left", Open: "open", AttemptsSent: "legs_sent", AttemptsOpen: "legs_open",
	AttemptSucceeded: "leg_honoured", AttemptErrored: "leg_errored", AttemptRejected: "leg_turned_away",
	AttemptTimedOut: "leg_timed_out", AttemptConnectFailed: "leg_no_connect", AttemptConnectionBroken: "leg_broken",
	AttemptCancelled: "leg_cancelled", AttemptNotSent: "leg_not_sent", AttemptsReleased: "legs_released", RejectedAfterClose: "late_refused", HealthChecks: "probes", Votes: "votes",
	VotesCounted: "votes_counted", VotesNotCounted: "votes_not_counted", VotesStale: "votes_moot", VotesMaybeCounted: "votes_maybe_counted",
	RolloutStatuses: "news", PeerMessagesOut: "peer_messages_out", PeerMessagesIn: "peer_messages_in", PeerMessagesDropped: "peer_messages_dropped",
	DiscoveryCalls: "roster_calls", DiscoveryFailed: "roster_failed", DiscoveryStalled: "roster_silent",
	EndpointsRemovedByPeers: "units_told_by_peers", BadInput: "bad_input",
	BoundConns: "bound_conns", BoundBuffers: "bound_buffers", BoundQueue: "bound_queue", LogDropped: "log_dropped",
	Reloads: "reloads", ReloadsRefused: "reloads_refused",
}

// Counters holds one value for each ID.
type Counters struct{ v [counters]atomic.Int64 }

// Add changes a counter.
func (c *Counters) Add(id ID, n int64) { c.v[id].Add(n) }

// Get reads a counter.
func (c *Counters) Get(id ID) int64 { return c.v[id].Load() }

// Fields gives all counters by name, for one line of the log.
func (c *Counters) Fields() logrus.Fields {
	fields := logrus.Fields{}
	for id, name := range names {
		fields[name] = c.v[id].Load()
	}
	return fields
}
