// Package stats counts what the program takes in, sends and answers. The counters are safe for use by any
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
	UnitConns
	UnitConnsOpen
	TakenIn
	Honoured
	Denied
	WrittenOff
	Left
	Open
	LegsSent
	LegsOpen
	LegHonoured
	LegErrored
	LegTurnedAway
	LegTimedOut
	LegNoConnect
	LegBroken
	LegCancelled
	LegNotSent
	LegsReleased
	LateRefused
	Probes
	Votes
	VotesCounted
	VotesNotCounted
	VotesMoot
	VotesMaybe
	News
	PeerMessagesOut
	PeerMessagesIn
	PeerMessagesDropped
	RosterCalls
	RosterFailed
	RosterSilent
	UnitsToldByPeers
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
	ClientConns: "client_conns", ClientConnsOpen: "client_conns_open", UnitConns: "unit_conns",
	UnitConnsOpen: "unit_conns_open", TakenIn: "taken_in", Honoured: "honoured", Denied: "denied",
	WrittenOff: "written_off", Left: "left", Open: "open", LegsSent: "legs_sent", LegsOpen: "legs_open",
	LegHonoured: "leg_honoured", LegErrored: "leg_errored", LegTurnedAway: "leg_turned_away",
	LegTimedOut: "leg_timed_out", LegNoConnect: "leg_no_connect", LegBroken: "leg_broken",
	LegCancelled: "leg_cancelled", LegNotSent: "leg_not_sent", LegsReleased: "legs_released", LateRefused: "late_refused", Probes: "probes", Votes: "votes",
	VotesCounted: "votes_counted", VotesNotCounted: "votes_not_counted", VotesMoot: "votes_moot", VotesMaybe: "votes_maybe_counted",
	News: "news", PeerMessagesOut: "peer_messages_out", PeerMessagesIn: "peer_messages_in", PeerMessagesDropped: "peer_messages_dropped",
	RosterCalls: "roster_calls", RosterFailed: "roster_failed", RosterSilent: "roster_silent",
	UnitsToldByPeers: "units_told_by_peers", BadInput: "bad_input",
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
