package pipeline

import (
	"math"
	"sync/atomic"

	"lichenroad/internal/buffer"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// Client is the connection that a query came on. Its methods don't block.
type Client interface {
	// Answer sends the one final answer to its query; the chain goes over to the client.
	Respond(answer *buffer.Chain)
}

// Final is how a query ended.
type RequestStatus int

const (
	StatusOpen RequestStatus = iota
	StatusSucceeded
	StatusRejected
	StatusFailed
	StatusClientLeft
)

// Query is the one record of a query, from take in to book.
type Request struct {
	pgwire.Query
	ID           relay.RequestID
	Client       Client
	Text         *buffer.Chain // the body of the Query message; freed at the end
	Arrived      relay.Seconds // when its last byte was read
	Deadline     relay.Seconds // when the client gives up
	Class        relay.RequestClass
	Tenant       relay.Tenant
	Attempts     []*Attempt
	Status       RequestStatus
	RejectReason string // why it is denied before the module sees it
	open         int    // legs that have not ended
	over         bool   // listed to go
}

// Leg is a query on its way to one unit, or a probe.
type Attempt struct {
	Request   *Request // nil: a probe
	Number    relay.AttemptNumber
	Endpoint  relay.EndpointID
	StartedAt relay.Seconds // when the module ordered it
	Deadline  relay.Seconds // when it is given up
	Ended     bool
	Conn      any // where it was sent, for the connections' own use

	by atomic.Uint64 // bits of the time by which its last byte is written, or else never; 0: no such time
}

// SetSendBy sets the time by which the leg's last byte is to be written. A leg waits for its connection, or is being
// written, while what it was ordered on comes to an end. Only on the loop.
func (leg *Attempt) SetSendBy(at relay.Seconds) { leg.by.Store(math.Float64bits(at)) }

// By is that time, if there is one.
func (leg *Attempt) SendBy() (at relay.Seconds, ok bool) {
	at = math.Float64frombits(leg.by.Load())
	return at, at != 0
}

// Late says that the leg may not go any more. Also for whoever writes it.
func (leg *Attempt) SendExpired(now relay.Seconds) bool {
	by, ok := leg.SendBy()
	return ok && now >= by
}

// Void says that the leg's query is over, so that nothing of it should be sent any more.
func (leg *Attempt) RequestFinished() bool {
	return leg.Request != nil && leg.Request.Status != StatusOpen
}
