// Package simwire decodes and encodes the frames on the pipe between the simulator and a process that hosts many instances
// of the decision module. It does not interpret what it decodes: times remain nanoseconds of the simulator's clock. Readers
// and Writers reuse their buffers and are not safe for concurrent use. The package imports no other package of the Go
// module.
package simwire

import "errors"

// ErrMalformed is wrapped by every error about a frame's content.
var ErrMalformed = errors.New("malformed frame")

// Code is the type of an event on the wire.
type Code uint8

// Event codes. The comments list the fields that are set in addition to Code and Instance.
const (
	EventMessage            Code = 1  // message from another instance: From, Body
	EventRolloutStatus      Code = 2  // ExposureLimit, Phase, VoteReply, Build, Stage, Age, Outcome
	EventReportedCounts     Code = 3  // Build, Class, Attempts, Failures, Duration, Age
	EventStart              Code = 4  // start of an instance: Seed, Body
	EventStop               Code = 5  // stop of an instance; no further fields
	EventAttemptEnded       Code = 6  // Request, Attempt, Endpoint, Outcome, Duration, RequestFinished, LoadReport
	EventRequest            Code = 7  // Request, Deadline, Work, Flags, Key, Tenant, Class
	EventHealthCheckEnded   Code = 8  // Endpoint, Duration, Outcome, LoadReport
	EventListUpdate         Code = 9  // List, ListKind
	EventTimerFired         Code = 10 // Timer
	EventMisreportedOutcome Code = 11 // Class, Endpoint, Age
	EventClientDisconnected Code = 12 // Request
	EventList               Code = 13 // numbered list to which later list updates refer; without Instance: List, Entries
	EventStreamStarted      Code = 14 // Request, Attempt, Endpoint, Duration
)

// Request flags.
const (
	FlagHasWork uint8 = 1 << iota // Work is known
	FlagRetried                   // the client marked the request as a retry
)

// Outcome is the result of an attempt, a health check or a vote. Its values are error numbers (errno) of Linux.
type Outcome uint8

// Outcomes. Any other value is an unspecified error.
const (
	OutcomeSucceeded        Outcome = 0
	OutcomeRejected         Outcome = 11 // rejected by the endpoint
	OutcomeConnectionBroken Outcome = 104
	OutcomeTimedOut         Outcome = 110
	OutcomeConnectFailed    Outcome = 111
	OutcomeNotSent          Outcome = 114 // for a vote: its build or stage is no longer current
	OutcomeCancelled        Outcome = 125
)

// ListKind is the kind of a list update.
type ListKind uint8

// Kinds of list updates. Any other value is a failed call to discovery.
const (
	ListCached ListKind = 2
	ListDelta  ListKind = 3
	ListFull   ListKind = 4
)

// EndpointState is the state of an endpoint according to a list.
type EndpointState uint8

// Endpoint states. Any other value is a removed endpoint.
const (
	EndpointDraining EndpointState = 1
	EndpointReady    EndpointState = 2
)

// Entry is the entry of an endpoint in a numbered list.
type Entry struct {
	Zone          uint16
	MachineType   uint16
	FailureDomain uint16
	Build         float32
	Weight        float32
	State         EndpointState
	StartedAt     uint64 // ns; 0: unknown
	Endpoint      uint64
}

// Event is a record of a batch. It has the fields of all codes, but only those of its Code are set. With a single type for
// all codes, a batch is one reused slice, without an allocation for each event. The slices in an Event are valid until the
// next Read.
type Event struct {
	Code            Code
	Instance        uint16
	Seed            uint64
	Body            []byte // settings or message content
	List            uint32 // number of the list
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
	RequestFinished uint8  // 0: the request continues
	LoadReport      []float32
	Timer           uint64
	From            uint32 // number of the sending instance
	ExposureLimit   float32
	Phase           uint8
	VoteReply       uint8 // 1: the event answers a vote, and Outcome is the result
	Build           uint16
	Stage           uint8
	Age             uint64 // ns
	Attempts        uint32
	Failures        uint32
}
