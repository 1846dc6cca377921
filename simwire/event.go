// Package simwire decodes and encodes the frames of the simulator's pipe, on which one process hosts many instances of
// the decision module. It decides nothing: what is received is handed over as it is, in nanoseconds of the simulator's
// clock. A Reader owns the batch that it returned last, a Writer the reply that it collects; each is used by one
// goroutine. The package imports nothing of the project.
package simwire

import "errors"

// ErrMalformed is wrapped by every error about a frame's content.
var ErrMalformed = errors.New("malformed frame")

// Code says what an event is.
type Code uint8

// The codes of events, and the fields that each sets besides Code and Instance.
const (
	EventMessage            Code = 1  // from another instance: From, Body
	EventRolloutStatus      Code = 2  // ExposureLimit, Phase, VoteReply, Build, Stage, Age, Outcome
	EventReportedCounts     Code = 3  // Build, Class, Attempts, Failures, Duration, Age
	EventStart              Code = 4  // of an instance: Seed, Body
	EventStop               Code = 5  // of an instance
	EventAttemptEnded       Code = 6  // Request, Attempt, Endpoint, Outcome, Duration, RequestFinished, LoadReport
	EventRequest            Code = 7  // Request, Deadline, Work, Flags, Key, Tenant, Class
	EventHealthCheckEnded   Code = 8  // Endpoint, Duration, Outcome, LoadReport
	EventListUpdate         Code = 9  // List, ListKind
	EventTimerFired         Code = 10 // Timer
	EventMisreportedOutcome Code = 11 // Class, Endpoint, Age
	EventClientDisconnected Code = 12 // Request
	EventList               Code = 13 // a numbered list, for the list updates behind it; no Instance: List, Entries
	EventStreamStarted      Code = 14 // Request, Attempt, Endpoint, Duration
)

// Flags of a request.
const (
	FlagHasWork uint8 = 1 << iota // Work is set
	FlagRetried                   // the client sends it again
)

// Outcome is how an attempt, a health check or a vote ended. The numbers are those of the system's errors.
type Outcome uint8

// The outcomes; others are errors of no particular kind.
const (
	OutcomeSucceeded        Outcome = 0
	OutcomeRejected         Outcome = 11 // by the endpoint
	OutcomeConnectionBroken Outcome = 104
	OutcomeTimedOut         Outcome = 110
	OutcomeConnectFailed    Outcome = 111
	OutcomeNotSent          Outcome = 114 // of a vote: stale
	OutcomeCancelled        Outcome = 125
)

// ListKind is the kind of a list update.
type ListKind uint8

// The kinds of list updates; others are calls to discovery that failed.
const (
	ListCached ListKind = 2
	ListDelta  ListKind = 3
	ListFull   ListKind = 4
)

// EndpointState is the state of an endpoint in a list.
type EndpointState uint8

// The states of endpoints; others are endpoints that are gone.
const (
	EndpointDraining EndpointState = 1
	EndpointReady    EndpointState = 2
)

// Entry is one endpoint of a numbered list.
type Entry struct {
	Zone          uint16
	MachineType   uint16
	FailureDomain uint16
	Build         float32
	Weight        float32
	State         EndpointState
	StartedAt     uint64 // ns; 0: not known
	Endpoint      uint64
}

// Event is one record of a batch. It has the fields of all codes, of which only its Code's are set: a batch is then one
// slice that is used again, with no allocation for each event. Slices are valid until the next Read.
type Event struct {
	Code            Code
	Instance        uint16
	Seed            uint64
	Body            []byte // settings or message
	List            uint32 // number of a list
	ListKind        ListKind
	Entries         []Entry
	Request         uint32
	Deadline        uint64 // ns
	Work            uint64 // ns
	Flags           uint8
	Key             uint64
	Tenant          uint32
	Class           uint16
	Attempt         uint8
	Endpoint        uint64
	Outcome         Outcome
	Duration        uint64 // ns
	RequestFinished uint8  // 0: the request goes on
	LoadReport      []float32
	Timer           uint64
	From            uint32 // an instance
	ExposureLimit   float32
	Phase           uint8
	VoteReply       uint8 // 1: replies to a vote, whose result Outcome is
	Build           uint16
	Stage           uint8
	Age             uint64 // ns
	Attempts        uint32
	Failures        uint32
}
