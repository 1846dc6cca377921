package relay

// Command is an action that the decision module asks its host to execute. Hosts execute commands in the order in which the
// module returns them. Only types of this package implement Command.
type Command interface{ isCommand() }

type (
	// SendAttempt sends a request to an endpoint.
	SendAttempt struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  Seconds // 0: until the request's deadline
		SendBy   Seconds // time by which the last byte must be written, or the attempt ends as NotSent; 0: no limit
	}

	// CancelUnsent cancels an attempt only if its last byte has not been written yet: the attempt then ends as NotSent.
	// Otherwise it continues. It is used when the conditions under which the attempt was issued may no longer hold.
	CancelUnsent struct {
		Request RequestID
		Attempt AttemptNumber
	}

	// CancelAttempt cancels an attempt whether or not it has been written.
	CancelAttempt struct {
		Request RequestID
		Attempt AttemptNumber
	}

	// Reject is the final answer to a request that the client may safely retry.
	Reject struct {
		Request    RequestID
		RetryAfter Seconds // delay suggested to the client; 0: none
	}

	// Fail is the final answer to a request that may or may not have had an effect.
	Fail struct{ Request RequestID }

	// SetTimer requests a TimerFired event at or after the time At.
	SetTimer struct {
		ID TimerID
		At Seconds
	}

	// HealthCheck sends a health check to an endpoint. HealthCheckEnded reports its result.
	HealthCheck struct{ Endpoint EndpointID }

	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle struct{ Endpoint EndpointID }

	// SendMessage sends a message to one relay, or to all others if To is Broadcast.
	SendMessage struct {
		To   ID
		Body []byte
	}

	// Watch starts or stops watching the endpoint list for changes. Restart replaces a running watch with a new one.
	Watch struct{ On, Restart bool }

	// FetchList requests the endpoint list once, without watching it.
	FetchList struct{}

	// Log writes a line to the host's log.
	Log struct{ Line string }
)

func (SendAttempt) isCommand()   {}
func (CancelUnsent) isCommand()  {}
func (CancelAttempt) isCommand() {}
func (Reject) isCommand()        {}
func (Fail) isCommand()          {}
func (SetTimer) isCommand()      {}
func (HealthCheck) isCommand()   {}
func (CloseIdle) isCommand()     {}
func (SendMessage) isCommand()   {}
func (Vote) isCommand()          {}
func (Watch) isCommand()         {}
func (FetchList) isCommand()     {}
func (Log) isCommand()           {}
