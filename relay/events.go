package relay

// Event is something that a host reports to the decision module. Only types of this package implement Event.
type Event interface{ isEvent() }

// Outcome is the result of an attempt or a health check.
type Outcome int

// Outcomes. An attempt may have had an effect unless NeverRan returns true for its outcome.
const (
	Succeeded Outcome = iota
	Errored
	RejectedByEndpoint
	TimedOut
	ConnectFailed
	ConnectionBroken
	Cancelled
	NotSent
)

// outcomeNames maps outcomes to their names in logs.
var outcomeNames = [...]string{
	Succeeded:          "succeeded",
	Errored:            "errored",
	RejectedByEndpoint: "rejected",
	TimedOut:           "timed_out",
	ConnectFailed:      "connect_failed",
	ConnectionBroken:   "connection_broken",
	Cancelled:          "cancelled",
	NotSent:            "not_sent",
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// NeverRan reports whether the outcome proves that the endpoint did not execute the attempt.
func (o Outcome) NeverRan() bool {
	return o == RejectedByEndpoint || o == ConnectFailed || o == NotSent
}

type (
	// Request is a new request from a client.
	Request struct {
		ID       RequestID
		Deadline Seconds // time at which the client stops waiting
		Work     Seconds // expected processing time on a standard core, if HasWork
		HasWork  bool
		Retried  bool // the client marked the request as a retry
		Key      Key
		Tenant   Tenant
		Class    RequestClass
	}

	// AttemptEnded reports the end of an attempt. Each SendAttempt leads to exactly one AttemptEnded.
	AttemptEnded struct {
		Request         RequestID
		Attempt         AttemptNumber
		Endpoint        EndpointID
		Outcome         Outcome
		Duration        Seconds
		RequestFinished bool // the request has its final answer or no longer needs one
		LoadReport      []float32
	}

	// StreamStarted reports that the client has begun to receive the answer of an attempt while the endpoint still produces
	// it.
	StreamStarted struct {
		Request  RequestID
		Attempt  AttemptNumber
		Endpoint EndpointID
		Duration Seconds
	}

	// ClientDisconnected reports that the client of a request has closed its connection.
	ClientDisconnected struct{ Request RequestID }

	// TimerFired reports that the time of a SetTimer has been reached.
	TimerFired struct{ ID TimerID }

	// HealthCheckEnded reports the result of a HealthCheck.
	HealthCheckEnded struct {
		Endpoint   EndpointID
		Duration   Seconds
		Outcome    Outcome
		LoadReport []float32
	}

	// MessageReceived is a message from another relay.
	MessageReceived struct {
		From ID
		Body []byte
	}

	// ReportedCounts holds the outcomes of attempts at a build, as counted by the platform.
	ReportedCounts struct {
		Build        Build
		Class        RequestClass
		Attempts     int
		Failures     int
		MeanDuration Seconds
		Age          Seconds // time since the platform counted them
	}

	// MisreportedOutcome reports that a client found an answer wrong that this relay had passed on as succeeded.
	MisreportedOutcome struct {
		Class    RequestClass
		Endpoint EndpointID
		Age      Seconds // time since the attempt was sent
	}
)

func (Request) isEvent()            {}
func (AttemptEnded) isEvent()       {}
func (StreamStarted) isEvent()      {}
func (ClientDisconnected) isEvent() {}
func (TimerFired) isEvent()         {}
func (HealthCheckEnded) isEvent()   {}
func (MessageReceived) isEvent()    {}
func (ReportedCounts) isEvent()     {}
func (MisreportedOutcome) isEvent() {}
func (ListUpdate) isEvent()         {}
func (ListLease) isEvent()          {}
func (DiscoveryRecovered) isEvent() {}
func (RolloutStatus) isEvent()      {}
func (CanaryScope) isEvent()        {}
