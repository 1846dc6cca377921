package metrics

import (
	"math"

	"github.com/sirupsen/logrus"
)

// Reason says why a connection ended. The list is fixed; docs/on-call.md explains each to whoever reads logs.
type CloseReason string

const (
	ClosedByPeer            CloseReason = "peer_closed"      // the other side closed it, reset it or died
	ClosedByTerminate       CloseReason = "terminate"        // the client said that it ends
	ClosedByCancelRequest   CloseReason = "cancel_request"   // it carried a request to cancel, which is not offered
	ClosedByBadInput        CloseReason = "bad_input"        // what came could not be read
	ClosedByLimit           CloseReason = "limit_reached"    // too many connections or queries ahead, or room needed for another
	ClosedByWriteError      CloseReason = "write_failed"     // what was to be sent was not taken
	ClosedByConnectTimeout  CloseReason = "connect_timeout"  // it did not come up, or said no startup, in time
	ClosedByStartupError    CloseReason = "startup_error"    // the unit answered the startup with an error
	ClosedByConnectError    CloseReason = "connect_failed"   // it never came up
	ClosedByAttemptEnd      CloseReason = "attempt_ended"    // its leg was cancelled, timed out or is no longer wanted
	ClosedByIdleTimeout     CloseReason = "idle_timeout"     // idle for long; a client's: and others need the room
	ClosedByAddressChange   CloseReason = "address_changed"  // the unit is listed, or discovery configured, at another address
	ClosedByDrain           CloseReason = "draining"         // the unit drains or is gone, and gets nothing new
	ClosedByPolicy          CloseReason = "closed_by_policy" // the module ordered it, or the call is done
	ClosedByResponseTimeout CloseReason = "response_timeout" // no answer, or no sign of life, in time
	ClosedByStatusCode      CloseReason = "error_status"     // discovery answered with another status than 200
	ClosedByReplacement     CloseReason = "replaced"         // a fresh watch stands in its place
	ClosedByShutdown        CloseReason = "shutdown"         // this program ends
)

// LogConnectionEnd writes the one line that a connection leaves when it ends; fault may be nil.
func LogConnectionEnd(log *logrus.Logger, peer, name string, why CloseReason, age float64, queries int, fault error) {
	const perMilli = 1000
	line := log.WithFields(logrus.Fields{"peer": peer, "name": name, "reason": string(why),
		"age": math.Round(age*perMilli) / perMilli, "requests": queries})
	if fault != nil {
		line = line.WithError(fault)
	}
	line.Info("connection ended")
}
