package pipeline

import (
	"net"

	"lichenroad/internal/buffer"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// RequestStatus is the status of a request: open, or how it ended.
type RequestStatus int

const (
	// StatusOpen means that the request has no final response yet.
	StatusOpen RequestStatus = iota
	// StatusSucceeded means that the client got the response of an endpoint.
	StatusSucceeded
	// StatusRejected means that the client got an error that says that the request had no effect.
	StatusRejected
	// StatusFailed means that the client got an error that leaves open whether the request had an effect.
	StatusFailed
	// StatusClientLeft means that the client disconnected before it got a response.
	StatusClientLeft
)

// RejectReason tells why a request is rejected without asking the module.
type RejectReason int

const (
	// NotRejected means that the module decides.
	NotRejected RejectReason = iota
	// NoBuffers means that there was no room for the request when it arrived.
	NoBuffers
	// TooManyOpen means that the limit of open requests was reached.
	TooManyOpen
	// TooManyQueued means that the client sent more requests ahead of their responses than it may.
	TooManyQueued
	// ShuttingDown means that the program ends before the request could be answered.
	ShuttingDown
)

// MessageShuttingDown is the error text for a request that is rejected because the program ends.
const MessageShuttingDown = "this relay is ending, nothing was done"

// rejections holds the error code, the error text and the reason in the log for each RejectReason.
var rejections = [...]struct {
	code   string
	text   string
	logged endReason
}{
	NoBuffers:     {pgwire.CodeTooManyConnections, "no room for the query", reasonNoBuffers},
	TooManyOpen:   {pgwire.CodeTooManyConnections, "no room for another query", reasonTooManyOpen},
	TooManyQueued: {pgwire.CodeTooManyConnections, "too many queries ahead of their answers", reasonTooManyQueued},
	ShuttingDown:  {pgwire.CodeShuttingDown, MessageShuttingDown, reasonShutdown},
}

// Request is the record of one client request. The goroutine that reads the request creates it, and it is kept until
// the decision module has been notified of the end. From BeginRequest on, only the loop goroutine uses it.
type Request struct {
	pgwire.Query
	ID            relay.RequestID
	Client        Client
	ClientAddress net.Addr      // for the log; nil if it is not known
	Body          *buffer.Chain // body of the Query message; freed when the request ends
	ReceivedAt    relay.Seconds // when its last byte was read
	Deadline      relay.Seconds // when the client stops waiting
	Class         relay.RequestClass
	Tenant        relay.Tenant
	Attempts      []*Attempt
	Status        RequestStatus
	RejectReason  RejectReason // why it is rejected without asking the module

	idState      idState       // what was known of its id when it was read; idUnknown if the id is its own
	holdsID      bool          // its id was claimed and neither released nor kept
	ran          bool          // an endpoint has run one of its attempts
	startsBefore relay.Seconds // when no endpoint may begin any more what it may still run; 0 if there is nothing
	openAttempts int
	finished     bool // whether it has been added to Loop.finished
}
