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
	Answer(answer *buffer.Chain)
}

// Final is how a query ended.
type Final int

const (
	StillOpen Final = iota
	IsHonoured
	IsDenied
	IsWrittenOff
	HasLeft
)

// Query is the one record of a query, from take in to book.
type Query struct {
	pgwire.Query
	ID       relay.RequestID
	Client   Client
	Text     *buffer.Chain // the body of the Query message; freed at the end
	Arrived  relay.Seconds // when its last byte was read
	Until    relay.Seconds // when the client gives up
	Category relay.RequestClass
	Customer relay.Tenant
	Legs     []*Leg
	Final    Final
	NoRoom   string // why it is denied before the module sees it
	open     int    // legs that have not ended
	over     bool   // listed to go
}

// Leg is a query on its way to one unit, or a probe.
type Leg struct {
	Query *Query // nil: a probe
	No    relay.AttemptNumber
	Unit  relay.EndpointID
	Asked relay.Seconds // when the module ordered it
	Until relay.Seconds // when it is given up
	Ended bool
	Conn  any // where it was sent, for the connections' own use

	by atomic.Uint64 // bits of the time by which its last byte is written, or else never; 0: no such time
}

// SendBy sets the time by which the leg's last byte is to be written. A leg waits for its connection, or is being
// written, while what it was ordered on comes to an end. Only on the loop.
func (leg *Leg) SendBy(at relay.Seconds) { leg.by.Store(math.Float64bits(at)) }

// By is that time, if there is one.
func (leg *Leg) By() (at relay.Seconds, ok bool) {
	at = math.Float64frombits(leg.by.Load())
	return at, at != 0
}

// Late says that the leg may not go any more. Also for whoever writes it.
func (leg *Leg) Late(now relay.Seconds) bool {
	by, ok := leg.By()
	return ok && now >= by
}

// Void says that the leg's query is over, so that nothing of it should be sent any more.
func (leg *Leg) Void() bool { return leg.Query != nil && leg.Query.Final != StillOpen }
