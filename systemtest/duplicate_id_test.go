package systemtest

import (
	"syscall"
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
			release := unit.holdID(t, "2aab")
			first, second := relay.dial(), relay.dial()
			first.send(request(class, "2aab"))
			unit.waitRun(t, "2aab")
			second.send(request(class, "2aab"))
			relay.settle()
			release()
			response := second.receive(testTimeout)
			checkDuplicateError(t, response.Value, response.Code)
			if response := first.receive(testTimeout); response.Value == "" {
				t.Error("the first request with the id lost its answer:", response.Code)
			}
			if runs := unit.runsOf("2aab"); runs != 1 {
				t.Errorf("the id was run %d times, want once", runs)
			}
			if response := first.query(request(class, "2aac")); response.Value == "" {
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
			release := unit.holdID(t, "3aab")
			first, second := relay.dial(), relay.dial()
			first.send(request(class, "3aab"))
			unit.waitRun(t, "3aab")
			if err := first.Close(); err != nil {
				t.Fatal(err)
			}
			relay.waitLog(`name="` + first.LocalAddr().String() + `" peer=client reason=peer_closed`)
			second.send(request(class, "3aab"))
			release()
			response := second.receive(testTimeout)
			checkDuplicateError(t, response.Value, response.Code)
			if runs := unit.runsOf("3aab"); runs != 1 {
				t.Errorf("the id was run %d times, want once", runs)
			}
		})
	}
}

// TestSameIDTwiceInOneWrite guards against running an id twice that a client sends twice at once.
func TestSameIDTwiceInOneWrite(t *testing.T) {
	unit := startEndpoint(t, 0)
	c := startRelay(t, relayOptions{}, unit).dial()
	c.send(request(classAtMostOnce, "4aab"), request(classAtMostOnce, "4aab"), request(classAtMostOnce, "4aac"))
	if response := c.receive(testTimeout); response.Value == "" {
		t.Error("the first request with the id was not served:", response.Code)
	}
	response := c.receive(testTimeout)
	checkDuplicateError(t, response.Value, response.Code)
	if response := c.receive(testTimeout); response.Value == "" {
		t.Error("the request behind the duplicate was not served:", response.Code)
	}
	if runs := unit.runsOf("4aab"); runs != 1 {
		t.Errorf("the id was run %d times, want once", runs)
	}
}

// TestIDOfAnOpenRequestDuringAShutdown guards against serving the id of an open request after SIGTERM.
func TestIDOfAnOpenRequestDuringAShutdown(t *testing.T) {
	unit := startEndpoint(t, 0)
	relay := startRelay(t, relayOptions{}, unit)
	release := unit.holdID(t, "5aab")
	first, second := relay.dial(), relay.dial()
	first.send(request(classAtMostOnce, "5aab"))
	unit.waitRun(t, "5aab")
	relay.process.Signal(syscall.SIGTERM)
	relay.waitLog("shutting down")
	response := second.query(request(classAtMostOnce, "5aab"))
	checkDuplicateError(t, response.Value, response.Code)
	release()
	if response := first.receive(testTimeout); response.Value == "" {
		t.Error("the first request with the id lost its answer:", response.Code)
	}
	if runs := unit.runsOf("5aab"); runs != 1 {
		t.Errorf("the id was run %d times, want once", runs)
	}
}

// TestIDThatNeverRanIsServed guards against turning away a request because its id was refused before without an effect.
func TestIDThatNeverRanIsServed(t *testing.T) {
	unit := startEndpoint(t, 0)
	unit.MaxInFlight = 1
	relay := startRelay(t, relayOptions{}, unit)
	release := unit.holdID(t, "6aab")
	first, second := relay.dial(), relay.dial()
	first.send(request(classAtMostOnce, "6aab"))
	unit.waitRun(t, "6aab")
	if response := second.query(request(classAtMostOnce, "6aac")); !isRefusal(response.Code) {
		t.Fatalf("a request that a full endpoint rejects got value %q, code %q", response.Value, response.Code)
	}
	release()
	if response := first.receive(testTimeout); response.Value == "" {
		t.Fatal(response.Code)
	}
	if response := second.query(request(classAtMostOnce, "6aac")); response.Value == "" {
		t.Error("the id that never ran was turned away:", response.Code)
	}
}
