package relay

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState int

// The states.
const (
	Removed EndpointState = iota
	Draining
	Ready
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID            EndpointID
	Zone          Zone
	MachineType   MachineType
	FailureDomain FailureDomain
	Build         Build
	Weight        float64
	State         EndpointState
	StartKnown    bool    // false for an endpoint that has run for long
	StartedAt     Seconds // may be negative
	Partial       bool    // the entry of an endpoint that leaves, of which no more than ID and State could be read
}

// ListUpdateKind says how to read a ListUpdate.
type ListUpdateKind int

// The kinds of update.
const (
	// ListFetchFailed: a call to discovery failed; the old list stands.
	ListFetchFailed ListUpdateKind = iota
	// ListCached: the full list as it was last saved, which may be old.
	ListCached
	// ListDelta: the endpoints that have changed.
	ListDelta
	// ListFull: the full list; an endpoint that it leaves out is removed.
	ListFull
	// ListWatchStalled: the watch has stalled and is broken. The old list stands; what the watch has missed counts as
	// delivered soon.
	ListWatchStalled
)

// ListUpdate is news of the endpoint list, or of a call for it that failed.
type ListUpdate struct {
	Kind      ListUpdateKind
	Endpoints []Endpoint
	FromPeers bool // other relays reported it: no call to discovery was answered
}

// ListLease says until when the endpoint list may be acted on. Without any lease it may be at all times.
type ListLease struct{ ExpiresAt Seconds }

// DiscoveryRecovered says that another relay got its list from discovery after a time in which calls failed.
type DiscoveryRecovered struct{}
