package limits

import "time"

// Calls to discovery.
//
// The relay protocol treats an update that a stalled watch missed as received 2 s after the end of the watch's wait (6 s for
// a call that does not wait), and the relay must have the list by then. Calls time out well before that, to leave time for
// connecting and polling again.
const (
	// MaxWatchTime is the longest time that a watch waits for an update.
	MaxWatchTime = 20 * time.Second

	// MinWatchFraction is the smallest fraction of MaxWatchTime that a watch waits. The wait is random so that relays whose
	// watches stalled together do not poll together.
	MinWatchFraction = 0.5

	// WatchResponseTimeout is how long a response may take beyond the watch's wait. Three quarters of the 2 s remain.
	WatchResponseTimeout = 500 * time.Millisecond

	// WatchEndMargin is how long after the time for which an answer is needed the wait of a watch ends: answers that come before
	// that time do not count.
	WatchEndMargin = 10 * time.Millisecond

	// PollResponseTimeout is how long the response to a call that does not wait may take. A third of the 6 s remains.
	PollResponseTimeout = 4 * time.Second

	// ListReadTimeout is the longest time between two parts of a response. A response that pauses for longer has stalled.
	ListReadTimeout = 1 * time.Second

	// DiscoveryDialTimeout is how long establishing a connection may take.
	DiscoveryDialTimeout = 1 * time.Second

	// PromptFailureTime is the time within which a call fails if discovery is down. A busy discovery keeps calls in its queue for
	// a second or more before it fails them.
	PromptFailureTime = 500 * time.Millisecond

	// AddressChangeOverlap is how long the old address is read after discovery has moved and the new address has sent its
	// first list, to receive drains that the old address had already sent.
	AddressChangeOverlap = 500 * time.Millisecond

	// KeepAliveRaceWindow is the time after sending a call on a kept-alive connection in which discovery may have closed the
	// idle connection before it received the call. A round trip takes milliseconds.
	KeepAliveRaceWindow = 100 * time.Millisecond

	// PushedListPollFraction is the fraction of the drain grace that may pass between attempts to open a watch, at a relay
	// without a watch whose lists are pushed. MinPushedListPoll is the minimum, for a short drain grace.
	PushedListPollFraction = 0.4
	MinPushedListPoll      = 20 * time.Millisecond

	// AgentListTimeout is how long clients wait at start for the list of an agent that pushes lists. Changes that the agent
	// holds apply to the relay from its start.
	AgentListTimeout = 1 * time.Second

	// FirstListTimeout is how long clients wait at start for the first list if none is known. A relay has to be ready
	// within 10 s.
	FirstListTimeout = 5 * time.Second
)
