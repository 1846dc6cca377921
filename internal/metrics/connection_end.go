package metrics

import (
	"math"

	"github.com/sirupsen/logrus"
)

// CloseReason says why a connection ended.
type CloseReason string

// The close reasons. The list is fixed, as scripts that read the log go by it.
const (
	ClosedByPeer            CloseReason = "peer_closed"      // the other side closed or reset it, or died
	ClosedByTerminate       CloseReason = "terminate"        // the client sent Terminate
	ClosedByCancelRequest   CloseReason = "cancel_request"   // it carried a CancelRequest, which is not offered
	ClosedByBadInput        CloseReason = "bad_input"        // its input could not be parsed
	ClosedByLimit           CloseReason = "limit_reached"    // too many connections or queued requests
	ClosedByWriteError      CloseReason = "write_failed"     // the peer did not accept what was written
	ClosedByConnectTimeout  CloseReason = "connect_timeout"  // it was not connected, or sent no startup, in time
	ClosedByStartupError    CloseReason = "startup_error"    // the endpoint answered the startup with an error
	ClosedByConnectError    CloseReason = "connect_failed"   // it was never connected
	ClosedByAttemptEnd      CloseReason = "attempt_ended"    // its attempt was cancelled or timed out
	ClosedByIdleTimeout     CloseReason = "idle_timeout"     // a client's only where others need the descriptor
	ClosedByAddressChange   CloseReason = "address_changed"  // the endpoint, or discovery, has another address
	ClosedByDrain           CloseReason = "draining"         // the endpoint is draining or gone
	ClosedByPolicy          CloseReason = "closed_by_policy" // by a command of the decision module, or the call is complete
	ClosedByResponseTimeout CloseReason = "response_timeout" // no response, or no keep-alive, in time
	ClosedByStatusCode      CloseReason = "error_status"     // discovery answered with a status other than 200
	ClosedByReplacement     CloseReason = "replaced"         // a new watch replaces it
	ClosedByShutdown        CloseReason = "shutdown"         // this program shuts down
)

// Peer says what is at the other end of a connection.
type Peer string

// The peers.
const (
	PeerClient    Peer = "client"
	PeerEndpoint  Peer = "endpoint"
	PeerDiscovery Peer = "discovery"
	PeerPlatform  Peer = "platform"
	PeerRelay     Peer = "relay" // of the release controller
)

// ConnectionEnd describes a connection that has ended.
type ConnectionEnd struct {
	Peer     Peer
	Name     string // of the peer, or its address
	Reason   CloseReason
	Age      float64 // seconds since it was opened; logged to the millisecond
	Requests int     // that it carried
	Err      error   // what went wrong; nil where nothing did
}

// Log writes the one line that each connection leaves.
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
