package pipeline

import (
	"lichenroad/internal/buffer"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// RequestStatus is whether and how a request ended.
type RequestStatus int

const (
	// StatusOpen is the status of a request without a final response.
	StatusOpen RequestStatus = iota
	// StatusSucceeded is the end by an endpoint's response.
	StatusSucceeded
	// StatusRejected is the end by an error that says that nothing was done.
	StatusRejected
	// StatusFailed is the end by an error that leaves open what was done.
	StatusFailed
	// StatusClientLeft is the end by the client, which disconnected before it had a response.
	StatusClientLeft
)

// Request is the one record of a request, from the goroutine that read it until the module has seen its end. It belongs
// to the loop from BeginRequest on.
type Request struct {
	pgwire.Query
	ID           relay.RequestID
	Client       Client
	Body         *buffer.Chain // of the Query message; freed at the end
	ReceivedAt   relay.Seconds // when its last byte was read
	Deadline     relay.Seconds // when the client gives up
	Class        relay.RequestClass
	Tenant       relay.Tenant
	Attempts     []*Attempt
	Status       RequestStatus
	RejectReason string // why it is rejected before the module sees it; empty: it is not

	openAttempts int
	finished     bool // it is in Loop.finished
}
