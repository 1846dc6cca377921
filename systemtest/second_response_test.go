package systemtest

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// TestLateSecondResponseIsNotServed guards against a client that gets the response to another request: endpoints write more than
// belongs to a response, some time behind it, and TCP holds that back until the relay's next request is on the connection. The
// longer times stand for an endpoint that is held up between the two writes.
func TestLateSecondResponseIsNotServed(t *testing.T) {
	copyOf := func(id string) []byte { return pgwire.AppendReadyForQuery(fakes.Row(id)) }
	loadReport := append(pgwire.AppendHeader(nil, pgwire.TypeParameterStatus, len("vitals\x00a=1\x00")), "vitals\x00a=1\x00"...)
	for name, behind := range map[string]func(id string) []byte{
		"copy":                   copyOf,
		"noise":                  func(string) []byte { return []byte("\xf7\x13\x00") },
		"load report and a copy": func(id string) []byte { return append(loadReport[:len(loadReport):len(loadReport)], copyOf(id)...) },
		"rejection": func(string) []byte {
			return pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, "53300", "full", ""))
		},
		"response to an empty one": func(string) []byte { return pgwire.EmptyQueryResponse() },
	} {
		for _, delay := range []time.Duration{4, 15, 25, 60, 120} {
			t.Run(fmt.Sprintf("%s after %d ms", name, delay), func(t *testing.T) {
				t.Parallel()
				checkSecondResponses(t, delay*time.Millisecond, behind)
			})
		}
	}
}

// checkSecondResponses has an endpoint write something behind one response of four, and checks that each client gets the value
// of its own request.
func checkSecondResponses(t *testing.T, delay time.Duration, behind func(id string) []byte) {
	const (
		clients  = 6
		requests = 20                    // of each client
		pause    = 24 * time.Millisecond // between two requests of a client: longer than a connection settles
		share    = 4                     // one response in so many is followed by more
	)
	var answers, served atomic.Int64
	unit := startScriptedEndpoint(t, func(id string) reply {
		r := reply{holdsBack: true, behindDelay: delay}
		if answers.Add(1)%share == 0 {
			r.behind = behind(id)
		}
		return r
	})
	relay := startRelay(t, relayOptions{}, unit)
	var group sync.WaitGroup
	for i := range clients {
		c := relay.dial()
		group.Go(func() {
			for n := range requests {
				id := fmt.Sprintf("%02x%02x", i, n)
				c.send(request(classIdempotent, id))
				response, err := c.Receive(testTimeout)
				switch {
				case response.Value == id:
					served.Add(1)
				case response.Value != "" || err != nil && response.Code == "":
					t.Errorf("request %s got value %q, code %q, error %v", id, response.Value, response.Code, err)
				}
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	if served.Load() < clients*requests*9/10 {
		t.Errorf("%d of %d requests were served", served.Load(), clients*requests)
	}
}
