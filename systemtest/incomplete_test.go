package systemtest

import (
	"fmt"
	"net"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
)

// badClientTimeout is the time within which a client that sends no sound request gets its error or its connection is closed.
const badClientTimeout = 3 * time.Second

// TestIncompleteRequestGetsItsErrorInTime guards against clients that stop in the middle of a request, or send it without end,
// and stay for good.
func TestIncompleteRequestGetsItsErrorInTime(t *testing.T) {
	unit := startEndpoint(t, 0)
	relay := startRelay(t, relayOptions{}, unit)
	small, large := pgwire.QueryMessage(request(classIdempotent, "half")), largeRequest("half-large")
	for name, c := range map[string]struct {
		before  []byte // sent at once
		trickle []byte // sent behind it, a byte at a time
	}{
		"part of the header":     {before: small[:3]},
		"header alone":           {before: small[:5]},
		"half":                   {before: small[:len(small)/2]},
		"all but the last byte":  {before: small[:len(small)-1]},
		"half of a large one":    {before: large[:len(large)/2]},
		"trickled":               {trickle: small},
		"trickled behind a half": {before: large[:len(large)/2], trickle: large[len(large)/2:]},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			session := relay.dial()
			session.t = t
			begin := time.Now()
			if _, err := session.Write(c.before); err != nil {
				t.Fatal(err)
			}
			go trickle(session.Conn, c.trickle)
			response := session.receive(badClientTimeout)
			if response.Value != "" || response.Code == "" {
				t.Errorf("got value %q, code %q; want an error", response.Value, response.Code)
			}
			if isRefusal(response.Code) {
				t.Errorf("code %s says that a retry is useful", response.Code)
			}
			if next := session.receive(badClientTimeout); next.Code != "closed" {
				t.Errorf("the connection was not closed but got %+v", next)
			}
			if took := time.Since(begin); took > badClientTimeout {
				t.Errorf("the connection ended after %v, want at most %v", took, badClientTimeout)
			}
		})
	}
}

// TestRequestBeforeAnIncompleteOneIsAnswered guards against losing a request because of a part of another one behind it.
func TestRequestBeforeAnIncompleteOneIsAnswered(t *testing.T) {
	unit := startEndpoint(t, 0)
	relay := startRelay(t, relayOptions{}, unit)
	release := unit.holdID(t, "whole")
	session := relay.dial()
	half := pgwire.QueryMessage(request(classIdempotent, "half"))
	message := append(pgwire.QueryMessage(request(classAtMostOnce, "whole")), half[:len(half)/2]...)
	if _, err := session.Write(message); err != nil {
		t.Fatal(err)
	}
	unit.waitRun(t, "whole")
	time.AfterFunc(classDeadline/2, release)
	if response := session.receive(testTimeout); response.Value == "" {
		t.Errorf("the request was not served: %+v", response)
	}
	if response := session.receive(badClientTimeout); response.Code == "" || response.Code == "closed" {
		t.Errorf("the incomplete request got no error but %+v", response)
	}
}

// trickle writes a byte each 50 ms until a write fails.
func trickle(connection net.Conn, message []byte) {
	const pause = 50 * time.Millisecond
	for i := range message {
		time.Sleep(pause)
		if _, err := connection.Write(message[i : i+1]); err != nil {
			return
		}
	}
}

// TestRequestBeforeTrickledInputIsServedInTime guards against a request that waits for the rest of another one behind it until
// its own deadline is over.
func TestRequestBeforeTrickledInputIsServedInTime(t *testing.T) {
	unit := startEndpoint(t, 0)
	relay := startRelay(t, relayOptions{}, unit)
	usual := startUsualClients(relay)
	for i := range 5 {
		session := relay.dial()
		begin := time.Now()
		whole := pgwire.QueryMessage(request(classAtMostOnce, fmt.Sprint("whole-", i)))
		trickled := pgwire.QueryMessage(request(classIdempotent, fmt.Sprint("trickled-", i)))
		if _, err := session.Write(append(whole, trickled[:1]...)); err != nil {
			t.Fatal(err)
		}
		go trickle(session.Conn, trickled[1:])
		response := session.receive(testTimeout)
		if took := time.Since(begin); response.Value == "" || took > classDeadline {
			t.Errorf("got %+v after %v, want a value", response, took)
		}
		_ = session.Close()
	}
	usual.stop().check(t)
}
