package systemtest

import (
	"testing"

	"lichenroad/internal/pgwire"
)

// isRefusal reports whether an error code promises that the request had no effect.
func isRefusal(code string) bool {
	return code == pgwire.CodeTooManyConnections || code == pgwire.CodeShuttingDown
}

// checkDuplicateError checks that a response is an error that leaves open whether the id had an effect.
func checkDuplicateError(t *testing.T, value, code string) {
	t.Helper()
	if value != "" || code == "" || isRefusal(code) {
		t.Errorf("the later request with the id got value %q, code %q; want an error that promises nothing on effects", value, code)
	}
}

// TestOpenIDOfAnotherClientIsNotServed guards against serving a request with the id of another client's open request.
func TestOpenIDOfAnotherClientIsNotServed(t *testing.T) {
	for _, class := range allClasses {
		t.Run(class, func(t *testing.T) {
			unit := startEndpoint(t, 0)
			relay := startRelay(t, relayOptions{}, unit)
			release := unit.holdID(t, "1aab")
			first, second := relay.dial(), relay.dial()
			first.send(request(class, "1aab"))
			unit.waitRun(t, "1aab")
			second.send(request(class, "1aab"))
			relay.settle()
			release()
			response := second.receive(testTimeout)
			checkDuplicateError(t, response.Value, response.Code)
			if response := first.receive(testTimeout); response.Value == "" {
				t.Error("the first request with the id lost its answer:", response.Code)
			}
			if runs := unit.runsOf("1aab"); runs != 1 {
				t.Errorf("the id was run %d times, want once", runs)
			}
			if response := first.query(request(class, "1aac"), testTimeout); response.Value == "" {
				t.Error("a request with an id of its own was not served:", response.Code)
			}
		})
	}
}

// TestIDOfALeftClientIsNotRunAgain guards against running an id again whose client left while an attempt may have run.
func TestIDOfALeftClientIsNotRunAgain(t *testing.T) {
	for _, class := range allClasses {
		t.Run(class, func(t *testing.T) {
			unit := startEndpoint(t, 0)
			relay := startRelay(t, relayOptions{}, unit)
			release := unit.holdID(t, "1aab")
			first, second := relay.dial(), relay.dial()
			first.send(request(class, "1aab"))
			unit.waitRun(t, "1aab")
			if err := first.Close(); err != nil {
				t.Fatal(err)
			}
			relay.waitLog(`name="` + first.LocalAddr().String() + `" peer=client reason=peer_closed`)
			second.send(request(class, "1aab"))
			release()
			response := second.receive(testTimeout)
			checkDuplicateError(t, response.Value, response.Code)
			if runs := unit.runsOf("1aab"); runs != 1 {
				t.Errorf("the id was run %d times, want once", runs)
			}
		})
	}
}
