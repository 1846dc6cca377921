package systemtest

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
)

// holdUp is how long a relay may be held up at any moment.
const holdUp = 150 * time.Millisecond

// earliestKill returns how long after SIGTERM the platform may send SIGKILL, for requests with deadlines of up to longest.
func earliestKill(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// hangingRequest returns the statement of a read whose client waits for the given time.
func hangingRequest(id string, wait time.Duration) string {
	usual := fmt.Sprintf("d=%d ", classDeadline.Milliseconds())
	return strings.Replace(request(classIdempotent, id), usual, fmt.Sprintf("d=%d ", wait.Milliseconds()), 1)
}

// TestHoldUpAtTheEndOfAShutdownLosesNoResponse guards against a relay that ends before the final responses to requests that
// endpoints hang on are written, as a hold-up made its last steps due together.
func TestHoldUpAtTheEndOfAShutdownLosesNoResponse(t *testing.T) {
	for _, deadline := range []time.Duration{time.Second, 2500 * time.Millisecond, 3 * time.Second, 4 * time.Second} {
		kill := earliestKill(deadline)
		for _, beforeKill := range []time.Duration{260, 200, 175, 155, 125, 75} {
			begin := kill - beforeKill*time.Millisecond
			t.Run(fmt.Sprintf("deadline %v, held up %v after SIGTERM", deadline, begin), func(t *testing.T) {
				t.Parallel()
				checkShutdownWithHoldUp(t, deadline, begin)
			})
		}
	}
	const longDeadline = 4 * time.Second // the relay goes on for 0.5 s more, for requests from before SIGTERM
	for _, begin := range []time.Duration{4400 * time.Millisecond, 4490 * time.Millisecond, 4550 * time.Millisecond} {
		t.Run(fmt.Sprintf("deadline %v, held up %v after SIGTERM", longDeadline, begin), func(t *testing.T) {
			t.Parallel()
			checkShutdownWithHoldUp(t, longDeadline, begin)
		})
	}
}

// checkShutdownWithHoldUp ends a relay by SIGTERM while its endpoint hangs, stops it for holdUp at a time after SIGTERM, and
// checks that every request has a response when it has ended. On half of the connections a second request follows 0.6 s after
// SIGTERM; on the others the first one outlasts the shutdown.
func checkShutdownWithHoldUp(t *testing.T, deadline, begin time.Duration) {
	const connections = 8
	unit := startScriptedEndpoint(t, func(string) reply { return reply{hangs: true} })
	relay := startRelay(t, relayOptions{deadline: deadline}, unit)
	var clients []*client
	for i := range connections {
		c := relay.dial()
		wait := deadline
		if i%2 == 0 {
			wait = 2 * deadline
		}
		c.send(hangingRequest(fmt.Sprintf("1%03d", i), wait))
		clients = append(clients, c)
	}
	relay.settle()
	relay.process.Signal(syscall.SIGTERM)
	sigterm := time.Now()
	time.Sleep(time.Until(sigterm.Add(600 * time.Millisecond)))
	for i, c := range clients {
		if i%2 == 1 {
			c.send(hangingRequest(fmt.Sprintf("2%03d", i), deadline))
		}
	}
	time.Sleep(time.Until(sigterm.Add(begin)))
	relay.process.Signal(syscall.SIGSTOP)
	time.Sleep(holdUp)
	relay.process.Signal(syscall.SIGCONT)
	for i, c := range clients {
		for n := range 1 + i%2 {
			if response := c.receive(testTimeout); response.Code == "closed" || response.Value != "" {
				t.Errorf("connection %d, request %d: value %q, code %q; want an error", i, n, response.Value, response.Code)
			}
		}
	}
	relay.waitEnd()
}

// waitEnd waits until the relay has ended by itself.
func (r *relayProcess) waitEnd() {
	r.t.Helper()
	select {
	case <-r.process.Done:
	case <-time.After(testTimeout):
		r.t.Error("the relay does not end")
	}
}

// TestSecondSigtermAnswersOpenRequests guards against a second SIGTERM that ends the relay with requests unanswered.
func TestSecondSigtermAnswersOpenRequests(t *testing.T) {
	unit := startScriptedEndpoint(t, func(string) reply { return reply{hangs: true} })
	relay := startRelay(t, relayOptions{}, unit)
	c := relay.dial()
	c.send(request(classIdempotent, "7aab"), request(classIdempotent, "7aac"))
	relay.settle()
	sigterm := time.Now()
	relay.process.Signal(syscall.SIGTERM)
	relay.waitLog("shutting down")
	relay.process.Signal(syscall.SIGTERM)
	if response := c.receive(testTimeout); response.Code != pgwire.CodeSystemError {
		t.Errorf("open request: value %q, code %q", response.Value, response.Code)
	}
	if response := c.receive(testTimeout); response.Code != pgwire.CodeShuttingDown {
		t.Errorf("request behind it: value %q, code %q", response.Value, response.Code)
	}
	relay.waitEnd()
	if took := time.Since(sigterm); took >= classDeadline {
		t.Errorf("the end came %v after SIGTERM", took)
	}
}
