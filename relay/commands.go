package relay

// Command is what the module asks its host to do. The kinds are those of this package alone. Commands are carried out in
// their order.
type Command interface{ isCommand() }

type (
	// SendAttempt sends a request to an endpoint.
	SendAttempt struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  Seconds // 0: until the client gives up
		SendBy   Seconds // the time by which its last byte is written, or else it ends as NotSent; 0: no such time
	}

	// CancelUnsent takes back an attempt that was sent on what may no longer hold: it ends as NotSent if its last byte
	// has not been written, and goes on otherwise.
	CancelUnsent struct {
		Request RequestID
		Attempt AttemptNumber
	}

	// CancelAttempt gives an attempt up.
	CancelAttempt struct {
		Request RequestID
		Attempt AttemptNumber
	}

	// Reject is a request's final answer: nothing was done, and the client may retry.
	Reject struct {
		Request    RequestID
		RetryAfter Seconds // 0: none is named
	}

	// Fail is a request's final answer: it may or may not have had an effect.
	Fail struct{ Request RequestID }

	// SetTimer asks for a TimerFired at or after a time.
	SetTimer struct {
		ID TimerID
		At Seconds
	}

	// HealthCheck checks an endpoint.
	HealthCheck struct{ Endpoint EndpointID }

	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle struct{ Endpoint EndpointID }

	// SendMessage sends a message to one relay, or to all others (Broadcast).
	SendMessage struct {
		To   ID
		Body []byte
	}

	// Watch asks for the changes of the endpoint list, or for no more of them. With Restart a watch that stands is given
	// up for a new one.
	Watch struct{ On, Restart bool }

	// FetchList asks for the endpoint list once.
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
