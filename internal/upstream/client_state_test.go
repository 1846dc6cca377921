package upstream

import (
	"strings"
	"testing"

	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// statefulClient is a client whose state the test sets.
type statefulClient struct {
	discardingClient
	state pipeline.ClientState
}

func (c *statefulClient) State() pipeline.ClientState { return c.state }

// attemptOf returns a new attempt of a client's request.
func (h harness) attemptOf(client pipeline.Client) *pipeline.Attempt {
	attempt := h.attempt()
	attempt.Request.Client = client
	return attempt
}

// TestAttemptWaitsForUnreadInputOfItsClient guards against sending an attempt for a client that closed behind unread input, and
// against holding up others meanwhile.
func TestAttemptWaitsForUnreadInputOfItsClient(t *testing.T) {
	for name, c := range map[string]struct {
		then pipeline.ClientState
		sent bool
	}{
		"nothing was behind it": {pipeline.ClientOpen, true},
		"its end was behind it": {pipeline.ClientGone, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			n, other := &fakeConn{accepts: unlimited}, &fakeConn{accepts: unlimited}
			client := &statefulClient{state: pipeline.ClientInputPending}
			attempt := h.attemptOf(client)
			h.idleConn(n)
			h.pool.Send(attempt)
			if len(n.written) != 0 || attempt.Ended || h.endpoint.openConns != 1 {
				t.Fatalf("written %q, %d connections while input is unread", n.written, h.endpoint.openConns)
			}
			h.idleConn(other)
			h.pool.Send(h.attempt())
			if len(other.written) == 0 {
				t.Error("an attempt of another client was held up")
			}
			client.state = c.then
			h.pool.serveWaiting(h.endpoint)
			if sent := len(n.written) > 0; sent != c.sent || attempt.Ended == c.sent {
				t.Errorf("sent: %v, ended: %v", sent, attempt.Ended)
			}
			if ended := h.drain(); !c.sent && (len(ended) != 1 || ended[0].Outcome != relay.NotSent || !ended[0].RequestFinished) {
				t.Errorf("attempts ended: %+v", ended)
			}
		})
	}
}

// TestLastByteOfALongRequestIsNotSentForAClientThatLeft guards against running a request whose client left while it was written.
func TestLastByteOfALongRequestIsNotSentForAClientThatLeft(t *testing.T) {
	h := newHarness(t, nil)
	n, client := &fakeConn{accepts: unlimited}, &statefulClient{}
	attempt := h.attemptOf(client)
	attempt.Request.Body.Write([]byte(strings.Repeat("x", 2*maxInlineSize)))
	n.beforeWrite = func([]byte) { client.state = pipeline.ClientGone }
	c := h.idleConn(n)
	c.state, c.attempt = stateBusy, attempt
	message := c.message(attempt)
	length := message.Len()
	c.write(attempt, message)
	if ended := h.drain(); len(ended) != 1 || ended[0].Outcome != relay.NotSent || len(n.written) != length-1 || n.closed == 0 {
		t.Errorf("attempts ended %+v, %d of %d bytes written", ended, len(n.written), length)
	}
}
