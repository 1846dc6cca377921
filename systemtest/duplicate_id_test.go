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

// heldRequest is a request of the first of two clients that an endpoint has begun to run and holds.
type heldRequest struct {
	unit          *endpoint
	relay         *relayProcess
	first, second *client
	release       func()
}

// holdRequest starts a relay and has the first client send a request that its endpoint holds.
func holdRequest(t *testing.T, class, id string) heldRequest {
	t.Helper()
	unit := startEndpoint(t, 0)
	relay := startRelay(t, relayOptions{}, unit)
	h := heldRequest{unit, relay, relay.dial(), relay.dial(), unit.holdID(t, id)}
	h.first.send(request(class, id))
	unit.waitRun(t, id)
	return h
}

// checkRunOnce checks that an id was run once.
func (h heldRequest) checkRunOnce(t *testing.T, id string) {
	t.Helper()
	if runs := h.unit.runsOf(id); runs != 1 {
		t.Errorf("id %s was run %d times, want once", id, runs)
	}
}

// TestOpenIDOfAnotherClientIsNotServed guards against serving a request with the id of another client's open request.
func TestOpenIDOfAnotherClientIsNotServed(t *testing.T) {
	for _, class := range allClasses {
		t.Run(class, func(t *testing.T) {
			h := holdRequest(t, class, "2aab")
			h.second.send(request(class, "2aab"))
			h.relay.settle()
			h.release()
			response := h.second.receive(testTimeout)
			checkDuplicateError(t, response.Value, response.Code)
			if response := h.first.receive(testTimeout); response.Value == "" {
				t.Error("the first request with the id lost its answer:", response.Code)
			}
			h.checkRunOnce(t, "2aab")
			if response := h.first.query(request(class, "2aac")); response.Value == "" {
				t.Error("a request with an id of its own was not served:", response.Code)
			}
		})
	}
}

// TestIDOfALeftClientIsNotRunAgain guards against running an id again whose client left while an attempt may have run.
func TestIDOfALeftClientIsNotRunAgain(t *testing.T) {
	for _, class := range allClasses {
		t.Run(class, func(t *testing.T) {
			h := holdRequest(t, class, "3aab")
			if err := h.first.Close(); err != nil {
				t.Fatal(err)
			}
			h.relay.waitLog(`name="` + h.first.LocalAddr().String() + `" peer=client reason=peer_closed`)
			h.second.send(request(class, "3aab"))
			h.release()
			response := h.second.receive(testTimeout)
			checkDuplicateError(t, response.Value, response.Code)
			h.checkRunOnce(t, "3aab")
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
	h := holdRequest(t, classAtMostOnce, "5aab")
	h.relay.process.Signal(syscall.SIGTERM)
	h.relay.waitLog("shutting down")
	response := h.second.query(request(classAtMostOnce, "5aab"))
	checkDuplicateError(t, response.Value, response.Code)
	h.release()
	if response := h.first.receive(testTimeout); response.Value == "" {
		t.Error("the first request with the id lost its answer:", response.Code)
	}
	h.checkRunOnce(t, "5aab")
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
