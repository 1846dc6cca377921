package relay

// Identifiers. Each has its own type so that the compiler rejects mix-ups.
type (
	// RequestID identifies a client's request. The host assigns it and may reuse it once the request has ended.
	RequestID uint32
	// EndpointID identifies a server of the endpoint list. It stays the same when the server's process restarts.
	EndpointID uint64
	// ID is the number of a relay in the fleet, from 0.
	ID uint32
	// RequestClass is the index of a request's class in Settings.Classes.
	RequestClass int
	// Tenant is the index of a request's tenant in Settings.Tenants.
	Tenant int
	// Zone is the index of a zone.
	Zone int
	// MachineType is the index of a machine type. Endpoints on the same machine type are about equally fast.
	MachineType int
	// FailureDomain is the index of a small group of endpoints that share their deduplication records.
	FailureDomain int
	// Build is the number of a build. Newer builds have higher numbers.
	Build int
	// Stage is the index of a rollout stage, from 0.
	Stage int
	// Key identifies the data that a request concerns; 0: no particular data.
	Key uint64
	// TimerID identifies a timer set by the decision module.
	TimerID uint64
	// AttemptNumber is the number of an attempt within its request, from 0, in the order of the SendAttempt commands.
	AttemptNumber int
	// Seconds is a duration, or a time counted from the start of the instance.
	Seconds = float64
)

// Broadcast is the destination of a SendMessage that goes to all other relays.
const Broadcast ID = 1<<32 - 1
