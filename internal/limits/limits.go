// Package limits holds every bound and time of the sockets, with its unit and the reason for its size. None
// decides about a query: which unit, wait, denial, retry, probe or vote is package policy's. Facts of the
// protocols, such as the longest value, stand with their parsers.
package limits

import "time"

// The one block of socket matters. Times that depend on the site are derived from its settings where they are
// used; the values here stand where the settings name none.
const (
	// The process.
	MaxSpareDescriptors        = 64          // descriptors, at most, for discovery, platform, other relays, the poller, and clients told it is full
	MinSpareDescriptors        = 32          // and at least: half of it is in use from the start
	SpareDescriptorFraction    = 0.25        // of all descriptors, between the two
	EndpointDescriptorFraction = 0.5         // of the other descriptors, for units: an open query has one leg, hardly ever two
	HeapFraction               = 0.7         // of the memory at which the collector works harder: the rest is stacks and sockets
	BufferFraction             = 0.25        // of the memory that buffers may hold: as much again is copies and the library's own
	PollerCount                = 1           // of netpoll's: two, or a thread more for Go, answered no sooner and took more of the core
	DefaultMemoryMB            = 192         // MB where no limit is named
	DefaultDescriptors         = 1024        // descriptors where no limit is named
	MinMemoryMB                = 32          // MB below which a start is refused: the program alone takes 10
	MinDescriptors             = 64          // descriptors below which it is: 32 are spare, and some must be left
	MaxConfigBytes             = 16 << 20    // bytes of a configuration: a list of units as long as one may be
	PlatformMaxDeadline        = 3.0         // s of patience counted at the end where the settings' is shorter, as the platform does
	ForcedShutdownDelay        = 0.5         // s beyond that after which the program ends whatever is open
	KillDelay                  = 0.7         // s beyond the longest patience, up to PlatformMaxDeadline of it, that SIGKILL comes behind SIGTERM at the earliest
	FinalAnswerMargin          = 0.15        // s before that by which whatever came since has its answer: patience ends within 50 ms, the rest is the way
	MaxQueuedEvents            = 1 << 16     // events waiting for the loop: several for each descriptor; peer messages are dropped at it
	MaxRetainedEvents          = 1 << 12     // events whose space is kept for the next round: a busy moment's
	MaxQueuedLogLines          = 1 << 12     // lines of the log waiting to be written, some 600 KB; more are dropped
	LogFlushTimeout            = time.Second // that the log may take at the end
	MaxOpenRequests            = 1 << 14     // open queries where the settings name no bound: far more than there are descriptors

	// Clients.
	MaxPipelinedQueries    = 16                      // queries of a connection not yet answered: far more than a client has out
	OverflowClientFraction = 0.5                     // of the spare descriptors, for clients over the bound that are told so; more are closed at once
	ReclaimFraction        = 0.75                    // of the clients' descriptors from which on a new connection has an idle one closed
	MinClientIdleTime      = 2 * time.Second         // that a connection stays idle before that: the protocol page allows it from then on
	MinClientSilentTime    = 500 * time.Millisecond  // the same without a startup, which a client writes as it connects: a round trip is milliseconds
	FirstQueryTimeout      = 300 * time.Millisecond  // that a connection gets for its first query as the program ends: it comes right behind the startup
	PartialMessageTimeout  = 2 * time.Second         // that the rest of a message may take before its connection counts as idle: no longer than MinClientIdleTime
	RecheckDelay           = 10 * time.Millisecond   // until what has come is read, when a connection or the backlog was to be closed
	ClientWriteTimeout     = 5 * time.Second         // that a client may take to accept an answer: longer than it waits for one
	StartupTimeout         = 2500 * time.Millisecond // that a client may take over its startup: one that says nothing is owed an end within 3 s
	ShutdownAcceptTime     = 500 * time.Millisecond  // after SIGTERM in which new connections come: 0.4 s, and some more
	ClientCloseTimeout     = 1 * time.Second         // that a client gets to close its end when this end is shut

	// Units.
	EndpointIdleFraction  = 0.8                    // of the settings' idle limit after which a connection is closed: before the unit does
	ResponseSettleTime    = 20 * time.Millisecond  // after an answer in which more of it may come, before the next query: a second answer came up to 4 ms late
	ResponseRestTimeout   = 250 * time.Millisecond // that the rest of an answer may take once it has begun: at most 64 KiB, sent in one go
	IdleSweepInterval     = 1 * time.Second        // between looks at idle connections: small beside any idle limit
	DefaultConnectTimeout = 1 * time.Second        // that a connection may take to come up where the settings name no limit
	MaxLoadReportBytes    = 256                    // bytes of the longest load report that is looked at: a few names and figures
	InlineWriteTimeout    = 20 * time.Millisecond  // that a small write may hold the loop up; its send buffer is empty, it takes none

	// Discovery.
	//
	// What a silent watch misses counts as told 2 s after its wait is over (6 s for a call that does not wait), and the
	// list has to be in hand by then: a call is given up well before, and the rest is for dialling and asking anew.
	MaxWatchTime           = 20 * time.Second       // that a watch waits for something new at most
	MinWatchFraction       = 0.5                    // of that at least, by the seed: else a fleet whose watches fell silent together asks together
	WatchResponseTimeout   = 500 * time.Millisecond // that an answer may take beyond what the call may wait: three quarters of the 2 s are left
	PollResponseTimeout    = 4 * time.Second        // the same for a call that does not wait: a third of the 6 s is left
	ListReadTimeout        = 1 * time.Second        // between two pieces of an answer that has begun: one that stalls is silent too
	AddressChangeOverlap   = 500 * time.Millisecond // behind a move, in which drains that were on their way from the old address are heard
	DiscoveryDialTimeout   = 1 * time.Second        // that the connection may take to come up
	PushedListPollFraction = 0.4                    // of the drain grace that a relay with no watch lets pass between tries, where lists are pushed
	MinPushedListPoll      = 20 * time.Millisecond  // that it does let pass, however short the grace
	AgentListTimeout       = 1 * time.Second        // that clients wait at the start for the list of an agent that has told it all along
	FirstListTimeout       = 5 * time.Second        // that they wait for any list where none is known: a relay has to be ready within 10 s
	KeepAliveRaceWindow    = 100 * time.Millisecond // behind a call on a kept connection in which its end crossed the call: a round trip is milliseconds

	// The platform.
	DefaultCallTimeout  = 1 * time.Second        // that an answer may take where the settings name no limit
	HeartbeatTimeout    = 3 * time.Second        // without a line after which a second watch is opened: three signs of life
	MinBackoff          = 100 * time.Millisecond // before a watch is opened again; doubled up to the next
	MaxBackoff          = 1 * time.Second        // as often as the platform tells that it lives
	VoteConnIdleTimeout = 5 * time.Second        // after which the votes' connection is closed: the platform does at about 10
	MaxQueuedVotes      = 64                     // votes that may wait to be sent: the module has one out at a time

	// Other relays.
	PeerReadRetryDelay    = 100 * time.Millisecond // after an error of the socket, so that a lasting one is no busy loop
	MaxQueuedPeerMessages = 256                    // messages to other relays that may wait: the module tells a few a second
)
