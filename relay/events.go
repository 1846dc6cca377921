package relay

// Event is what a host reports to the module. The kinds are those of this package alone.
type Event interface{ isEvent() }

// Outcome is how an attempt or a health check ended.
type Outcome int

// The outcomes. All but those of NeverRan may have had an effect.
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

// NeverRan says whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool {
	return o == RejectedByEndpoint || o == ConnectFailed || o == NotSent
}

type (
	// Request is a new request of a client.
	Request struct {
		ID       RequestID
		Deadline Seconds // when the client gives up
		Work     Seconds // expected, on a standard core
		HasWork  bool
		Retried  bool // the client has marked it as a retry of its own
		Key      Key
		Tenant   Tenant
		Class    RequestClass
	}

	// AttemptEnded is the end of an attempt. Each SendAttempt is answered by exactly one.
	AttemptEnded struct {
		Request         RequestID
		Attempt         AttemptNumber
		Endpoint        EndpointID
		Outcome         Outcome
		Duration        Seconds
		RequestFinished bool // the request has its final answer, or needs none
		LoadReport      []float32
	}

	// StreamStarted says that the client reads the answer of an attempt while it is produced.
	StreamStarted struct {
		Request  RequestID
		Attempt  AttemptNumber
		Endpoint EndpointID
		Duration Seconds
	}

	// ClientDisconnected says that a request's client has gone.
	ClientDisconnected struct{ Request RequestID }

	// TimerFired answers a SetTimer.
	TimerFired struct{ ID TimerID }

	// HealthCheckEnded answers a HealthCheck.
	HealthCheckEnded struct {
		Endpoint   EndpointID
		Duration   Seconds
		Outcome    Outcome
		LoadReport []float32
	}

	// MessageReceived is a message of another relay.
	MessageReceived struct {
		From ID
		Body []byte
	}

	// ReportedCounts are outcomes of a build that the platform has counted.
	ReportedCounts struct {
		Build        Build
		Class        RequestClass
		Attempts     int
		Failures     int
		MeanDuration Seconds
		Age          Seconds
	}

	// MisreportedOutcome says that a client has judged an answer wrong which this relay passed on as succeeded.
	MisreportedOutcome struct {
		Class    RequestClass
		Endpoint EndpointID
		Age      Seconds // since the attempt was sent
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
