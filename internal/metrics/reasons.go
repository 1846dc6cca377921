package metrics

import (
	"math"

	"github.com/sirupsen/logrus"
)

// Reason says why a connection ended. The list is fixed; docs/on-call.md explains each to whoever reads logs.
type Reason string

const (
	ByPeer         Reason = "peer_closed"   // the other side closed it, reset it or died
	ByTerminate    Reason = "terminate"     // the client said that it ends
	ByCancel       Reason = "cancel"        // it carried a request to cancel, which is not offered
	ByBadInput     Reason = "bad_input"     // what came could not be read
	ByBound        Reason = "bound"         // too many connections or queries ahead, or room needed for another
	ByWrite        Reason = "write_failed"  // what was to be sent was not taken
	ByLateConnect  Reason = "connect_late"  // it did not come up, or said no startup, in time
	ByStartupError Reason = "startup_error" // the unit answered the startup with an error
	ByRefusal      Reason = "refused"       // it never came up
	ByGivenUp      Reason = "given_up"      // its leg was cancelled, timed out or is no longer wanted
	ByIdle         Reason = "idle"          // idle for long; a client's: and others need the room
	ByMove         Reason = "moved"         // the unit is listed, or discovery configured, at another address
	ByLeaving      Reason = "leaving"       // the unit drains or is gone, and gets nothing new
	ByOrder        Reason = "ordered"       // the module ordered it, or the call is done
	ByLateAnswer   Reason = "answer_late"   // no answer, or no sign of life, in time
	ByStatus       Reason = "error_status"  // discovery answered with another status than 200
	ByNewer        Reason = "replaced"      // a fresh watch stands in its place
	ByShutdown     Reason = "shutdown"      // this program ends
)

// LogEnd writes the one line that a connection leaves when it ends; fault may be nil.
func LogEnd(log *logrus.Logger, peer, name string, why Reason, age float64, queries int, fault error) {
	const perMilli = 1000
	line := log.WithFields(logrus.Fields{"peer": peer, "name": name, "reason": string(why),
		"age": math.Round(age*perMilli) / perMilli, "queries": queries})
	if fault != nil {
		line = line.WithError(fault)
	}
	line.Info("connection ended")
}
