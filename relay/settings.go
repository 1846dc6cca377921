package relay

// Idempotency says whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent requests may be sent again at any time.
	Idempotent Idempotency = iota
	// IdempotencyKeyed requests carry a key by which the endpoints of a DedupScope drop a second execution.
	IdempotencyKeyed
	// AtMostOnce requests may be sent again only when every attempt provably never ran.
	AtMostOnce
)

// DedupScope names the endpoints that share the record of idempotency keys.
type DedupScope int

// The scopes, from the widest to the narrowest.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupFailureDomain
)

// RolloutControl says how the relays' votes move a rollout.
type RolloutControl int

// The kinds of control.
const (
	// ControlSingleVote: one vote promotes a stage or rolls the build back.
	ControlSingleVote RolloutControl = iota
	// ControlQuorum: a counted number of relays does.
	ControlQuorum
	// ControlTimed: a stage is promoted by time alone; votes hold it or roll the build back.
	ControlTimed
)

// Settings are what an instance is given once, at its start. A zero value means that the deployment does not name it.
type Settings struct {
	Self                    ID
	Relays                  int // relays of the fleet
	Zone                    Zone
	Classes                 []ClassSettings
	Tenants                 []TenantSettings
	OverQuotaPriorityWeight float64
	Limits                  Limits
	Rules                   Rules
	Rollout                 Rollout
	ListOnRequest           bool     // the endpoint list arrives only after a Watch or a FetchList
	LoadReportFields        []string // names of the numbers in a load report
	LoadReportInAttempts    bool     // load reports also arrive with the ends of attempts
	Costs                   Costs
}

// ClassSettings are the terms of one class of requests.
type ClassSettings struct {
	Idempotency        Idempotency
	DedupScope         DedupScope // of an IdempotencyKeyed class
	DedupWindow        Seconds    // after the first attempt, in which a second execution is dropped
	LatencyObjective   Seconds    // an answer within it counts as in time
	ObjectivePerWork   float64    // the objective grows by this multiple of the request's own work
	Deadline           Seconds    // after which the client gives up
	PriorityWeight     float64    // of an answer in time
	LatePriorityWeight float64    // of a later one
	Streamed           bool       // the client reads the answer while it is produced
}

// TenantSettings are the terms of one tenant.
type TenantSettings struct {
	TrafficShare float64 // of all requests
	QuotaPerSec  float64
}

// Limits are what the deployment permits.
type Limits struct {
	MaxAttempts    int // for each request
	CancelAttempts bool
	HealthChecks   bool
	PeerMessages   bool // relays may send each other messages
	HedgedRequests bool // a request may have several attempts under way
	RetryAfter     bool // a Reject may name a time to come back
	MaxRetryAfter  Seconds
	ConnectTimeout Seconds
}

// Rules are the numbers of the rules that every relay keeps.
type Rules struct {
	AnswerSlack      Seconds
	DrainGrace       Seconds // in which a draining endpoint may still get attempts
	PollInterval     Seconds // to which a relay without a watch is held; infinite: no such time
	SlowStartFloor   float64 // least part of its capacity that a fresh endpoint has
	SlowStartTime    Seconds // after which it has all of it at the latest
	OverloadMultiple float64 // times its present capacity above which a fresh endpoint collapses
	OverloadWindow   Seconds // over which that is counted
}

// Rollout is how new builds are brought in.
type Rollout struct {
	Control              RolloutControl
	InPlace              bool      // machines of the earlier build are drained as their successors start
	ExposureLimits       []float64 // by stage: the part of requests that a build on trial may get
	StageShares          []float64 // by stage: the part of the fleet that runs the build
	ExposureAllowance    float64   // attempts that are not counted against the limit
	ExposureWindow       Seconds   // over which exposure is counted
	PerClass             bool      // exposure is counted for each class
	IdempotentOnlyStages int       // number of first stages that only idempotent requests may meet
	StickyKeys           bool      // a key that the newest build has answered does not return to an earlier one
	KeyLocality          bool      // endpoints are faster for keys that they have seen lately
	PromoteQuorum        int
	RollBackQuorum       int
	HoldQuorum           int
	VoteTTL              Seconds
	CallTimeout          Seconds // of a call to the platform
	VotesPerSec          float64 // that the platform takes from all relays
	MinStageTime         Seconds
	MaxStageTime         Seconds // after which a timed stage is promoted
	ReportedShare        float64 // of wrong answers, that clients report (MisreportedOutcome)
	DelayCost            float64 // of answers by a build older than the newest good one
	HarmCost             float64 // of wrong answers, and of attempts that a bad build fails
}

// Costs are what reduces the points of the service, in points each.
type Costs struct {
	CrossZone, Waste, HealthCheck, Message, LateFailure float64
}
