package relay

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState int

// Endpoint states.
const (
	Removed EndpointState = iota
	Draining
	Ready
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID            EndpointID
	Zone          Zone
	MachineType   MachineType
	FailureDomain FailureDomain
	Build         Build
	Weight        float64
	State         EndpointState
	StartKnown    bool    // whether StartedAt is set; false for an endpoint that has been running for a long time
	StartedAt     Seconds // negative for an endpoint that started before this instance
	Partial       bool    // only ID and State are set: the endpoint is draining or removed and the rest is unknown
}

// ListUpdateKind tells how to apply a ListUpdate.
type ListUpdateKind int

// Kinds of list updates.
const (
	// ListFetchFailed: a call to discovery failed. The previous list stays valid.
	ListFetchFailed ListUpdateKind = iota
	// ListCached: the full list from the local cache, which may be outdated.
	ListCached
	// ListDelta: only the endpoints that have changed.
	ListDelta
	// ListFull: the full list. An endpoint that is not in it has been removed.
	ListFull
	// ListWatchStalled: the watch received nothing in time and was closed. The previous list stays valid, but the relay
	// soon counts as notified of the changes that the watch missed.
	ListWatchStalled
)

// ListUpdate reports a change of the endpoint list, or a failed attempt to get it.
type ListUpdate struct {
	Kind      ListUpdateKind
	Endpoints []Endpoint
	FromPeers bool // learned from other relays, not from an answer of discovery
}

// ListLease sets the time until which the endpoint list may be used. Until the first ListLease the list never expires.
type ListLease struct{ ExpiresAt Seconds }

// DiscoveryRecovered reports that another relay got an answer from discovery after a period of failed calls.
type DiscoveryRecovered struct{}
