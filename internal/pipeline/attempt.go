package pipeline

import (
	"math"
	"sync/atomic"

	"lichenroad/relay"
)

// Attempt is a request on its way to one endpoint, or a health check. It belongs to the loop, but for the methods that
// say otherwise.
type Attempt struct {
	Request   *Request // nil: a health check
	Number    relay.AttemptNumber
	Endpoint  relay.EndpointID
	StartedAt relay.Seconds // when the module commanded it
	Deadline  relay.Seconds // when it is given up
	Ended     bool
	Conn      UpstreamConn // that carries it; nil: none yet

	sendBy atomic.Uint64 // math.Float64bits of the send-by time; 0: none
}

// SetSendBy sets the time by which the attempt's last byte has to be written, or else the attempt is not sent. What the
// module commanded it for may end while it waits for a connection or is being written. Only on the loop.
func (attempt *Attempt) SetSendBy(at relay.Seconds) { attempt.sendBy.Store(math.Float64bits(at)) }

// SendBy gives the time that SetSendBy set, if any. On any goroutine.
func (attempt *Attempt) SendBy() (at relay.Seconds, ok bool) {
	at = math.Float64frombits(attempt.sendBy.Load())
	return at, at != 0
}

// SendExpired says that the attempt must not be sent any more. On any goroutine.
func (attempt *Attempt) SendExpired(now relay.Seconds) bool {
	sendBy, ok := attempt.SendBy()
	return ok && now >= sendBy
}

// RequestFinished says that the attempt's request is over, so that nothing of it should be sent. Only on the loop.
func (attempt *Attempt) RequestFinished() bool {
	return attempt.Request != nil && attempt.Request.Status != StatusOpen
}
