// Package relay is the interface between the decisions (package policy) and whatever hosts them: a
// simulator's pipe today, a socket service or a second protocol later. It holds types only. All times
// are seconds with fractions, counted from the start of the instance; spans are seconds too.
package relay

// Ids, each a type of its own. A Unit is one server; it keeps its id over a restart of its process.
type (
	RequestID     uint32
	EndpointID    uint64
	RelayID       uint32
	RequestClass  int
	Tenant        int
	Zone          int
	MachineType   int
	FailureDomain int
	Build         int
	Stage         int
	Key           uint64 // what a query concerns; 0: nothing
	TimerID       uint64
	AttemptNumber int
	Seconds       = float64
)

// Everyone addresses a Tell to all other relays.
const Broadcast RelayID = 1<<32 - 1

// Repeat says whether a query of a category may run again.
type Idempotency int

const (
	Idempotent       Idempotency = iota
	IdempotencyKeyed             // carries a mark by which a Group of units drops a repeat
	AtMostOnce
)

// Group names the units that drop a repeat of one numbered query.
type DedupScope int

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupFailureDomain
)

// Control says what the votes on a build bring about.
type RolloutControl int

const (
	ControlSingleVote RolloutControl = iota // one vote moves or ends a stage
	ControlQuorum                           // a counted share of relays does
	ControlTimed                            // a stage moves by itself; votes hold it or send the build back
)

// Settings are what an instance is told once, at its start. A zero value means absent.
type Settings struct {
	Self                    RelayID
	Relays                  int
	Zone                    Zone
	Classes                 []ClassSettings
	Tenants                 []TenantSettings
	OverQuotaPriorityWeight float64
	Limits                  Limits
	Rules                   Rules
	Rollout                 Rollout
	ListOnRequest           bool     // the roster answers only a Watch or a Fetch
	LoadReportFields        []string // names of the figures in a load report
	LoadReportInAttempts    bool     // load reports come with outcomes too
	Costs                   Costs
}

// ClassSettings are the terms of one category of queries.
type ClassSettings struct {
	Idempotency        Idempotency
	DedupScope         DedupScope
	DedupWindow        Seconds
	LatencyObjective   Seconds
	ObjectivePerWork   float64 // the due time grows by this multiple of the query's own work
	Deadline           Seconds
	PriorityWeight     float64
	LatePriorityWeight float64
	Streamed           bool
}

// TenantSettings are the terms of one customer.
type TenantSettings struct {
	TrafficShare float64
	QuotaPerSec  float64
}

// Limits is what the site permits.
type Limits struct {
	MaxAttempts    int
	CancelAttempts bool
	HealthChecks   bool
	PeerMessages   bool
	HedgedRequests bool
	RetryAfter     bool
	MaxRetryAfter  Seconds
	ConnectTimeout Seconds
}

// Rules are the figures of the five rules.
type Rules struct {
	AnswerSlack      Seconds
	DrainGrace       Seconds
	PollInterval     Seconds // to which a relay with no watch is held; infinite: no such time
	SlowStartFloor   float64
	SlowStartTime    Seconds
	OverloadMultiple float64
	OverloadWindow   Seconds
}

// Rollout is how new builds are brought in.
type Rollout struct {
	Control              RolloutControl
	InPlace              bool // machines of the earlier build are drained as successors run
	ExposureLimits       []float64
	StageShares          []float64
	ExposureAllowance    float64
	ExposureWindow       Seconds
	PerClass             bool
	IdempotentOnlyStages int
	StickyKeys           bool
	KeyLocality          bool
	PromoteQuorum        int
	RollBackQuorum       int
	HoldQuorum           int
	VoteTTL              Seconds
	CallTimeout          Seconds
	VotesPerSec          float64
	MinStageTime         Seconds
	MaxStageTime         Seconds
	ReportedShare        float64
	DelayCost            float64
	HarmCost             float64
}

// Prices are what costs points of service.
type Costs struct {
	CrossZone, Waste, HealthCheck, Message, LateFailure float64
}

// EndpointState is what the roster says of a unit.
type EndpointState int

const (
	Removed EndpointState = iota
	Draining
	Ready
)

// Endpoint is one line of the roster. StartedAt counts like all times and may be negative; Started is
// false when the unit has run for long.
type Endpoint struct {
	ID            EndpointID
	Zone          Zone
	MachineType   MachineType
	FailureDomain FailureDomain
	Build         Build
	Weight        float64
	State         EndpointState
	StartKnown    bool
	StartedAt     Seconds
	Partial       bool // of a unit that leaves: no more than Unit and State could be read
}

// ListUpdateKind says how to read a Roster event.
type ListUpdateKind int

const (
	ListFetchFailed ListUpdateKind = iota // a call failed; the old list stands
	ListCached                            // the whole list as last held, maybe old
	ListDelta
	ListFull
	ListWatchStalled // the watch fell silent and is broken: what it missed counts as told soon; the old list stands
)

// Outcome is how a leg or a probe ended.
type Outcome int

const (
	Succeeded          Outcome = iota
	Errored                    // may have run
	RejectedByEndpoint         // never ran
	TimedOut                   // may have run
	ConnectFailed              // never ran
	ConnectionBroken           // may have run
	Cancelled                  // may have run
	NotSent                    // never ran
)

// NeverRan tells whether the outcome proves that the leg had no effect.
func (o Outcome) NeverRan() bool {
	return o == RejectedByEndpoint || o == ConnectFailed || o == NotSent
}

// Phase is where the newest build stands.
type Phase int

const (
	PhaseCanary Phase = iota
	PhaseRollingBack
	PhaseReleased
	PhaseWithdrawn
)

// Reply says what came of the vote that a RolloutStatus answers.
type VoteReply int

const (
	ReplyNone VoteReply = iota
	ReplyCounted
	ReplyNotCounted // lapsed, refused or in error
	ReplyMaybeCounted
	ReplyStale // not counted, as its build or stage is past: no use in casting it again
)

// Event is anything an instance learns.
type Event interface{}

// Events in.
type (
	ListUpdate struct {
		Kind      ListUpdateKind
		Endpoints []Endpoint
		FromPeers bool // other relays told of it: no call to discovery was answered
	}
	// ListLease tells until when the list may be acted on. Without any, it may be at all times.
	ListLease struct{ ExpiresAt Seconds }
	// DiscoveryRecovered tells that another relay has got its list, after a time in which calls failed.
	DiscoveryRecovered struct{}
	Request            struct {
		ID       RequestID
		Deadline Seconds // when the client gives up
		Work     Seconds // expected, on a standard core
		HasWork  bool
		Retried  bool // a client's marked repeat
		Key      Key
		Tenant   Tenant
		Class    RequestClass
	}
	AttemptEnded struct {
		Request         RequestID
		Attempt         AttemptNumber
		Endpoint        EndpointID
		Outcome         Outcome
		Duration        Seconds
		RequestFinished bool // the query is finished
		LoadReport      []float32
	}
	StreamStarted struct {
		Request  RequestID
		Attempt  AttemptNumber
		Endpoint EndpointID
		Duration Seconds
	}
	ClientDisconnected struct{ Request RequestID }
	TimerFired         struct{ ID TimerID }
	HealthCheckEnded   struct {
		Endpoint   EndpointID
		Duration   Seconds
		Outcome    Outcome
		LoadReport []float32
	}
	MessageReceived struct {
		From RelayID
		Body []byte
	}
	RolloutStatus struct {
		Valid         bool // the fields below hold
		Build         Build
		Stage         Stage
		Phase         Phase
		ExposureLimit float64
		Age           Seconds
		Reply         VoteReply
	}
	// Scope narrows the trial of a build: which customers may meet it, and by what groups their queries are counted.
	// Builds after it are closed to all. Without any Scope every customer may meet a build on trial.
	CanaryScope struct {
		Build         Build
		Stage         Stage  // that holds here, no later than the platform's
		GroupOfTenant []int  // by customer; -1, or past the end: of no group, which is closed
		GroupOpen     []bool // by group
	}
	ReportedCounts struct {
		Build        Build
		Class        RequestClass
		Attempts     int
		Failures     int
		MeanDuration Seconds
		Age          Seconds
	}
	MisreportedOutcome struct {
		Class    RequestClass
		Endpoint EndpointID
		Age      Seconds // since the leg was sent
	}
)

// Verdict is what a vote says of a build at a stage.
type Verdict int

const (
	NoVote Verdict = iota
	VotePromote
	VoteHold
	VoteRollBack
)

// Order is anything an instance does.
type Command interface{}

// Orders out.
type (
	SendAttempt struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  Seconds // 0: until the client gives up
		SendBy   Seconds // the time by which its last byte is written, or else it ends as NotSent; 0: no such time
	}
	// Recall takes a leg back that may have been ordered on what no longer holds: it ends as NotSent if its last byte is
	// not written yet, and goes on otherwise.
	CancelUnsent struct {
		Request RequestID
		Attempt AttemptNumber
	}
	CancelAttempt struct {
		Request RequestID
		Attempt AttemptNumber
	}
	Reject struct {
		Request    RequestID
		RetryAfter Seconds
	}
	Fail     struct{ Request RequestID }
	SetTimer struct {
		ID TimerID
		At Seconds
	}
	HealthCheck struct{ Endpoint EndpointID }
	CloseIdle   struct{ Endpoint EndpointID }
	SendMessage struct {
		To   RelayID
		Body []byte
	}
	Vote struct {
		Build   Build
		Stage   Stage
		Verdict Verdict
	}
	// Watch orders the roster's changes, or no more of them; Anew, that a watch which stands is given up for a new one.
	Watch     struct{ On, Restart bool }
	FetchList struct{}
	Log       struct{ Line string }
)
