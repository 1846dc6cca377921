package relay

// Idempotency tells whether requests of a class may be executed more than once.
type Idempotency int

// Kinds of idempotency.
const (
	// Idempotent requests may be retried at any time.
	Idempotent Idempotency = iota
	// IdempotencyKeyed requests carry a key with which the endpoints of a DedupScope suppress a second execution.
	IdempotencyKeyed
	// AtMostOnce requests may be retried only when every earlier attempt provably never ran.
	AtMostOnce
)

// DedupScope is the set of endpoints that share their records of idempotency keys.
type DedupScope int

// Deduplication scopes, from the widest to the narrowest.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupFailureDomain
)

// RolloutControl tells how the votes of the relays control a rollout.
type RolloutControl int

// Kinds of rollout control.
const (
	// ControlSingleVote: a single vote promotes a stage or rolls the build back.
	ControlSingleVote RolloutControl = iota
	// ControlQuorum: the votes of a quorum of relays promote a stage or roll the build back.
	ControlQuorum
	// ControlTimed: a stage is promoted when its time is over. Votes can only hold it or roll the build back.
	ControlTimed
)

// Settings holds the settings that an instance gets at its start. A field that the deployment does not set is zero.
type Settings struct {
	Self                    ID
	Relays                  int // number of relays in the fleet
	Zone                    Zone
	Classes                 []ClassSettings
	Tenants                 []TenantSettings
	OverQuotaPriorityWeight float64 // priority weight of a request beyond its tenant's quota, as a fraction of that of its class
	Limits                  Limits
	Rules                   Rules
	Rollout                 Rollout
	ListOnRequest           bool     // the endpoint list is delivered only after a Watch or a FetchList
	LoadReportFields        []string // names of the values in a load report
	LoadReportInAttempts    bool     // AttemptEnded events carry load reports, too
	Costs                   Costs
}

// ClassSettings holds the settings of a request class.
type ClassSettings struct {
	Idempotency        Idempotency
	DedupScope         DedupScope // for IdempotencyKeyed requests
	DedupWindow        Seconds    // time after the first attempt during which a second execution is suppressed
	LatencyObjective   Seconds    // an answer within this time counts as in time
	ObjectivePerWork   float64    // added to the objective for each second of the request's expected work
	Deadline           Seconds    // time after which the client stops waiting
	PriorityWeight     float64    // weight of an answer within the objective
	LatePriorityWeight float64    // weight of an answer after the objective
	Streamed           bool       // the client receives the answer while it is produced
}

// TenantSettings holds the settings of a tenant.
type TenantSettings struct {
	TrafficShare float64 // fraction of all requests
	QuotaPerSec  float64
}

// Limits holds what the deployment permits a relay to do.
type Limits struct {
	MaxAttempts    int  // maximum number of attempts for a request
	CancelAttempts bool // attempts may be cancelled
	HealthChecks   bool // endpoints may be sent health checks
	PeerMessages   bool // relays may send messages to each other
	HedgedRequests bool // a request may have several attempts in flight
	RetryAfter     bool // a Reject may set RetryAfter
	MaxRetryAfter  Seconds
	ConnectTimeout Seconds
}

// Rules holds the parameters of the rules that every relay has to keep.
type Rules struct {
	AnswerSlack      Seconds // time after a request's deadline within which its final answer must be given
	DrainGrace       Seconds // time during which a draining or removed endpoint may still be sent new attempts
	PollInterval     Seconds // time for which a relay without a watch may use its endpoint list; infinite: unlimited
	SlowStartFloor   float64 // smallest fraction of its full capacity that an endpoint may have when it starts
	SlowStartTime    Seconds // time after which an endpoint has its full capacity at the latest
	OverloadMultiple float64 // a warming endpoint fails at more than this multiple of its present capacity
	OverloadWindow   Seconds // time over which the load for OverloadMultiple is counted
}

// Rollout holds the settings for the rollout of new builds. The service's score is reduced by DelayCost points times the
// fraction of the priority weight served by builds older than the newest good one, and by HarmCost points times the fraction
// in wrong answers and in attempts with an effect that a bad build fails.
type Rollout struct {
	Control              RolloutControl
	InPlace              bool      // machines of the earlier build are drained while their replacements start
	ExposureLimits       []float64 // by stage: fraction of the requests that may be sent to a build on trial
	StageShares          []float64 // by stage: fraction of the fleet that runs the build
	ExposureAllowance    float64   // number of attempts that do not count against the exposure limit
	ExposureWindow       Seconds   // time over which exposure is counted
	PerClass             bool      // exposure is counted for each request class separately
	IdempotentOnlyStages int       // number of initial stages in which a build on trial may get only idempotent requests
	StickyKeys           bool      // requests for a key that the newest build has answered are not sent to earlier builds
	KeyLocality          bool      // endpoints are faster for keys that they have served recently
	PromoteQuorum        int       // votes needed to promote a stage
	RollBackQuorum       int       // votes needed to roll a build back
	HoldQuorum           int       // votes needed to hold a stage
	VoteTTL              Seconds   // time after which a vote expires; infinite: never
	CallTimeout          Seconds   // timeout of a call to the platform
	StatusInterval       Seconds   // time after which the platform repeats an unchanged status
	VotesPerSec          float64   // rate at which the platform accepts votes from all relays together
	MinStageTime         Seconds   // minimum duration of a stage
	MaxStageTime         Seconds   // time after which a timed stage is promoted
	ReportedShare        float64   // fraction of the wrong answers that clients report (see MisreportedOutcome)
	DelayCost            float64   // points of the score; see above
	HarmCost             float64   // points of the score; see above
}

// Costs holds the deductions from the service's score, in points:
//
//   - CrossZone for an attempt at an endpoint in another zone
//   - Waste times the work of endpoints that produced no answer (health checks and handshakes included), as a fraction of the
//     work offered
//   - HealthCheck for a health check
//   - Message for a full message of 256 bytes to another relay, for each receiver; a shorter message costs less in
//     proportion
//   - LateFailure times the fraction of requests, weighted by priority, that end without a successful answer after their
//     latency objective
type Costs struct {
	CrossZone, Waste, HealthCheck, Message, LateFailure float64
}
