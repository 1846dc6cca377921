package pipeline

import (
	"lichenroad/internal/buffer"
	"lichenroad/relay"
)

// Client receives the response to one request. internal/clients implements it.
type Client interface {
	// Respond sends the only and final response to the request and takes ownership of it. It is called on the loop
	// goroutine and must not block.
	Respond(response *buffer.Chain)
	// State tells whether the client is still there. It must not block, and be safe for concurrent use.
	State() ClientState
}

// ClientState tells whether a client is still there.
type ClientState int

const (
	// ClientOpen means that the client has not closed its connection.
	ClientOpen ClientState = iota
	// ClientInputPending means that input has arrived, or is arriving, that was not read: the client may have closed its
	// connection behind it.
	ClientInputPending
	// ClientGone means that the client has closed its connection, even if input from before that was not read.
	ClientGone
)

// Upstream manages the connections to the endpoints. internal/upstream implements it. All methods are called on the
// loop goroutine and must not block. Each attempt and each health check ends with one call of Loop.EndAttempt.
type Upstream interface {
	// Send sends an attempt on an idle connection, or queues it until a connection is ready.
	Send(attempt *Attempt)
	// Cancel abandons an attempt, and reports whether its last byte may have been written. The caller then calls
	// Loop.EndAttempt.
	Cancel(attempt *Attempt) (sent bool)
	// CancelUnsent ends an attempt as not sent unless its last byte has been written. The caller sets the send-by time
	// of the attempt to the current time first.
	CancelUnsent(attempt *Attempt)
	// HealthCheck starts a health check of an endpoint.
	HealthCheck(endpoint relay.EndpointID)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint relay.EndpointID)
}

// UpstreamConn is the connection that carries an attempt. Only the Upstream that set Attempt.Conn calls it, on the loop
// goroutine.
type UpstreamConn interface {
	// Cancel closes the connection, and reports whether the last byte of its attempt may have been written.
	Cancel() (sent bool)
}

// Discovery provides the endpoint list. internal/discovery implements it. The loop calls the methods to carry out
// commands of the decision module; they must not block.
type Discovery interface {
	// Watch starts or stops the watch on the endpoint list. If restart is set, a new watch replaces the current one.
	Watch(on, restart bool)
	// FetchList fetches the full list once.
	FetchList()
}

// Platform casts votes on rollouts. internal/platform implements it. The loop calls it to carry out commands of the
// decision module, or the Guard calls it on the loop goroutine; it must not block.
type Platform interface {
	// Vote casts a vote. The result is reported through Loop.RolloutStatusReceived.
	Vote(vote relay.Vote)
}

// Peers sends messages to the other relays, which may be lost. internal/peers implements it. The loop calls it to carry
// out commands of the decision module; it must not block.
type Peers interface {
	// SendMessage sends a message to one relay, or to all others.
	SendMessage(message relay.SendMessage)
}

// Guard enforces a release plan between the platform and the decision module. internal/guard implements it. All methods
// are called on the loop goroutine and must not block.
type Guard interface {
	// RolloutStatusReceived handles a status from the platform that would otherwise go to the module.
	RolloutStatusReceived(status relay.RolloutStatus)
	// Vote handles a vote of the module that would otherwise go to the platform.
	Vote(vote relay.Vote)
}
