package pipeline

import (
	"math"
	"sync/atomic"

	"lichenroad/relay"
)

// Attempt is one attempt to have an endpoint serve a request, or a health check. Only the loop goroutine uses it,
// except for the methods that are documented as safe for concurrent use.
type Attempt struct {
	Request   *Request // nil for a health check
	Number    relay.AttemptNumber
	Endpoint  relay.EndpointID
	StartedAt relay.Seconds // when the module commanded it
	Deadline  relay.Seconds // when it times out
	Ended     bool
	outcome   relay.Outcome // set when it has ended
	Conn      UpstreamConn  // the connection that carries it; nil until it has one

	timeout *Timer        // nil for a health check
	sendBy  atomic.Uint64 // math.Float64bits of the send-by time; 0 if there is none
}

// SetSendBy sets the time by which the last byte of the attempt has to be written; after it, the attempt is not sent.
// This is for attempts whose reason may cease to hold while they wait for a connection or are being written. Must run
// on the loop goroutine.
func (attempt *Attempt) SetSendBy(at relay.Seconds) { attempt.sendBy.Store(math.Float64bits(at)) }

// SendBy returns the time that SetSendBy set, if any. Safe for concurrent use.
func (attempt *Attempt) SendBy() (at relay.Seconds, ok bool) {
	at = math.Float64frombits(attempt.sendBy.Load())
	return at, at != 0
}

// ClientState returns the state of the client of the attempt's request, ClientOpen for a health check. Safe for concurrent use.
func (attempt *Attempt) ClientState() ClientState {
	if attempt.Request == nil {
		return ClientOpen
	}
	return attempt.Request.Client.State()
}

// requestEnded reports whether the attempt is for a request that has ended.
func (attempt *Attempt) requestEnded() bool {
	return attempt.Request != nil && attempt.Request.Status != StatusOpen
}

// SendExpired reports whether the send-by time has passed, so that the attempt must not be sent any more. Safe for
// concurrent use.
func (attempt *Attempt) SendExpired(now relay.Seconds) bool {
	sendBy, ok := attempt.SendBy()
	return ok && now >= sendBy
}
