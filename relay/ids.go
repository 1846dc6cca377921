package relay

// Identifiers. Each has a type of its own so that the compiler tells them apart.
type (
	// RequestID names one request of a client. The host chooses it and may use it again once the request is over.
	RequestID uint32
	// EndpointID names one server of the endpoint list. It survives a restart of the server's process.
	EndpointID uint64
	// ID numbers the relays of the fleet, from 0.
	ID uint32
	// RequestClass is the index of a request's class in Settings.Classes.
	RequestClass int
	// Tenant is the index of a request's tenant in Settings.Tenants.
	Tenant int
	// Zone is the index of a zone.
	Zone int
	// MachineType is the index of a type of machine; endpoints of one type are about equally fast.
	MachineType int
	// FailureDomain is the index of a small group of endpoints that share their deduplication records.
	FailureDomain int
	// Build is the number of a build; a higher one is newer.
	Build int
	// Stage is the index of a stage of a build's rollout, from 0.
	Stage int
	// Key identifies what a request is about; 0 means nothing in particular.
	Key uint64
	// TimerID names a timer that the module has set.
	TimerID uint64
	// AttemptNumber numbers the attempts of one request, from 0, in the order of their SendAttempt commands.
	AttemptNumber int
	// Seconds is a time since the start of the instance, or a duration.
	Seconds = float64
)

// Broadcast addresses a SendMessage to all other relays.
const Broadcast ID = 1<<32 - 1
