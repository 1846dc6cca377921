package pipeline

import (
	"lichenroad/internal/buffer"
	"lichenroad/relay"
)

// Client is the connection that a request came on. internal/clients implements it.
type Client interface {
	// Respond sends the one final response to its request and takes it over. The loop calls it; it does not block.
	Respond(response *buffer.Chain)
}

// Upstream is the connections to the endpoints. internal/upstream implements it. The loop calls each method, on its own
// goroutine; none blocks. Each attempt and health check ends by one call of Loop.EndAttempt.
type Upstream interface {
	// Send gives an attempt a connection, or has it wait for one.
	Send(attempt *Attempt)
	// Cancel gives an attempt up, and says whether its last byte may have been written. The caller ends the attempt.
	Cancel(attempt *Attempt) (sent bool)
	// CancelUnsent ends an attempt as not sent unless its last byte has been written. The caller has set its send-by
	// time to the present.
	CancelUnsent(attempt *Attempt)
	// HealthCheck starts a health check of an endpoint.
	HealthCheck(endpoint relay.EndpointID)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint relay.EndpointID)
}

// UpstreamConn is the connection that carries an attempt. The Upstream that set Attempt.Conn is its only caller, on the
// loop.
type UpstreamConn interface {
	// Cancel closes the connection, and says whether the last byte of its attempt may have been written.
	Cancel() (sent bool)
}

// Discovery is the source of the endpoint list. internal/discovery implements it. The loop calls each method for a
// command of the module; none blocks.
type Discovery interface {
	// Watch opens or ends the watch on the list; restart has a new one take the place of one that stands.
	Watch(on, restart bool)
	// FetchList fetches the whole list once.
	FetchList()
}

// Platform is where votes on rollouts are cast. internal/platform implements it. The loop calls it for a command of the
// module, or the Guard does, on the loop; it does not block.
type Platform interface {
	// Vote casts a vote. What came of it is reported by Loop.RolloutStatusReceived.
	Vote(vote relay.Vote)
}

// Peers is the other relays. internal/peers implements it. The loop calls it for a command of the module; it does not
// block, and messages may be lost.
type Peers interface {
	// SendMessage sends a message to one relay, or to all.
	SendMessage(message relay.SendMessage)
}

// Guard stands between the platform and the module where a release plan holds. internal/guard implements it. The loop
// calls each method; none blocks.
type Guard interface {
	// RolloutStatusReceived takes what the platform said in place of the module.
	RolloutStatusReceived(status relay.RolloutStatus)
	// Vote takes a vote of the module in place of the platform.
	Vote(vote relay.Vote)
}
