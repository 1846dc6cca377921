package metrics

import (
	"math"

	"github.com/sirupsen/logrus"
)

// CloseReason is the reason why a connection ended.
type CloseReason string

// The close reasons. Their values must not change, as scripts that read the log depend on them.
const (
	ClosedByPeer            CloseReason = "peer_closed"      // the peer closed or reset the connection, or crashed
	ClosedByTerminate       CloseReason = "terminate"        // the client sent Terminate
	ClosedByCancelRequest   CloseReason = "cancel_request"   // the client sent a CancelRequest, which is not supported
	ClosedByBadInput        CloseReason = "bad_input"        // the input could not be parsed
	ClosedByLimit           CloseReason = "limit_reached"    // there were too many connections or queued requests
	ClosedByWriteError      CloseReason = "write_failed"     // a write failed or timed out
	ClosedByConnectTimeout  CloseReason = "connect_timeout"  // the connection, or a client's startup packet, took too long
	ClosedByStartupError    CloseReason = "startup_error"    // the endpoint responded to the startup packet with an error
	ClosedByConnectError    CloseReason = "connect_failed"   // the connection could not be established
	ClosedByAttemptEnd      CloseReason = "attempt_ended"    // the attempt on it was cancelled or timed out
	ClosedByIdleTimeout     CloseReason = "idle_timeout"     // idle too long; for clients, only if the descriptor is needed
	ClosedByAddressChange   CloseReason = "address_changed"  // the address of the endpoint or of discovery changed
	ClosedByDrain           CloseReason = "draining"         // the endpoint is draining or was removed
	ClosedByPolicy          CloseReason = "closed_by_policy" // by a command of the decision module, or the call is complete
	ClosedByResponseTimeout CloseReason = "response_timeout" // no response or heartbeat arrived in time
	ClosedByStatusCode      CloseReason = "error_status"     // discovery responded with a status other than 200
	ClosedByReplacement     CloseReason = "replaced"         // a new watch has replaced the one on this connection
	ClosedByShutdown        CloseReason = "shutdown"         // this program is shutting down
)

// Peer is the kind of program at the other end of a connection.
type Peer string

// The kinds of peers.
const (
	PeerClient    Peer = "client"
	PeerEndpoint  Peer = "endpoint"
	PeerDiscovery Peer = "discovery"
	PeerPlatform  Peer = "platform"
	PeerRelay     Peer = "relay" // a relay that is connected to the release controller
)

// ConnectionEnd describes a connection that has ended.
type ConnectionEnd struct {
	Peer     Peer
	Name     string // name or address of the peer
	Reason   CloseReason
	Age      float64 // seconds since the connection was opened; rounded to milliseconds in the log
	Requests int     // number of requests on the connection
	Err      error   // the error that ended the connection; nil if there was none
}

// Log writes the log line of a connection that has ended.
func (e ConnectionEnd) Log(log *logrus.Logger) {
	line := log.WithFields(logrus.Fields{
		"peer":     string(e.Peer),
		"name":     e.Name,
		"reason":   string(e.Reason),
		"age":      roundToMillis(e.Age),
		"requests": e.Requests,
	})
	if e.Err != nil {
		line = line.WithError(e.Err)
	}
	line.Info("connection ended")
}

func roundToMillis(seconds float64) float64 {
	const millisPerSecond = 1000
	return math.Round(seconds*millisPerSecond) / millisPerSecond
}
