package limits

import "time"

// Calls to discovery.
//
// An update that a stalled watch misses counts as received 2 s after the watch's wait is over (6 s for a call that does not
// wait), and the list has to be at hand by then: a call times out well before, and the rest is for connecting and polling
// again.
const (
	// MaxWatchTime is the longest time that a watch waits for an update.
	MaxWatchTime = 20 * time.Second

	// MinWatchFraction is the least part of it, drawn by the seed: else a fleet whose watches stalled together would poll
	// together.
	MinWatchFraction = 0.5

	// WatchResponseTimeout is how long a response may take beyond the watch's wait: three quarters of the 2 s are left.
	WatchResponseTimeout = 500 * time.Millisecond

	// PollResponseTimeout is the same for a call that does not wait: a third of the 6 s is left.
	PollResponseTimeout = 4 * time.Second

	// ListReadTimeout is the time between two pieces of a response that has begun: one that takes longer has stalled.
	ListReadTimeout = 1 * time.Second

	// DiscoveryDialTimeout is how long the connection may take to be set up.
	DiscoveryDialTimeout = 1 * time.Second

	// AddressChangeOverlap is how long the old address is read after discovery moved, for drains that were on their way.
	AddressChangeOverlap = 500 * time.Millisecond

	// KeepAliveRaceWindow is the time behind a call on a kept connection in which discovery's close may have crossed the
	// call: a round trip is milliseconds.
	KeepAliveRaceWindow = 100 * time.Millisecond

	// PushedListPollFraction is the part of the drain grace that a relay without a watch lets pass between polls, where
	// lists are pushed; MinPushedListPoll is the least time, however short the grace.
	PushedListPollFraction = 0.4
	MinPushedListPoll      = 20 * time.Millisecond

	// AgentListTimeout is how long clients wait at the start for the list of an agent that has pushed it all along.
	AgentListTimeout = 1 * time.Second

	// FirstListTimeout is how long clients wait at the start for any list where none is known: a relay has to be ready
	// within 10 s.
	FirstListTimeout = 5 * time.Second
)
