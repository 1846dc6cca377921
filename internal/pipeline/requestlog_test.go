package pipeline

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// loggingLoop returns a loop whose log lines are collected.
func loggingLoop(t *testing.T) (*Loop, *fakeEnvironment, *bytes.Buffer) {
	t.Helper()
	l, env := newLoop(t)
	var lines bytes.Buffer
	l.Log.SetOutput(&lines)
	l.Log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
	return l, env, &lines
}

// TestLogTellsWhyARequestEnded guards against a request whose fate on-call can't find by its id.
func TestLogTellsWhyARequestEnded(t *testing.T) {
	for _, c := range []struct {
		name string
		end  endFirst
		want []string
	}{
		{"rejected", func(l *Loop, _ *fakeEnvironment, request *Request) { l.execute(relay.Reject{Request: request.ID}) },
			[]string{"request ended", "reason=rejected"}},
		{"failed after a time-out", endAttempt(AttemptResult{Outcome: relay.TimedOut}), []string{"request ended", "reason=failed", "outcomes=timed_out"}},
		{"client left", func(l *Loop, _ *fakeEnvironment, request *Request) { l.ClientLeft(request) }, []string{"request ended", "reason=client_left"}},
		{"shutdown", func(l *Loop, _ *fakeEnvironment, request *Request) { l.AbortRequest(request) }, []string{"request ended", "reason=shutdown"}},
		{"retried", func(l *Loop, env *fakeEnvironment, request *Request) {
			endAttemptOnly(l, env, request, relay.ConnectFailed)
			l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 2})
		}, []string{"request retried", "reason=attempt_failed", "attempt=1", `outcomes="connect_failed,open"`}},
		{"hedged", func(l *Loop, _ *fakeEnvironment, request *Request) {
			l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1})
			l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 2})
		}, []string{"request retried", "reason=hedged", "attempt=1", `outcomes="open,open"`}},
		{"duplicate", func(l *Loop, env *fakeEnvironment, request *Request) {
			second := acceptRequest(t, l, env, request.Query.ID)
			l.ReceiveRequest(second)
			l.BeginRequest(second, second.ReceivedAt)
		}, []string{"request ended", "reason=duplicate_id", "earlier=open"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, env, lines := loggingLoop(t)
			c.end(l, env, beginRequest(t, l, env))
			for _, want := range append(c.want, "id=9b1f", "class=look") {
				if !strings.Contains(lines.String(), want) {
					t.Errorf("no %s in the log:\n%s", want, lines)
				}
			}
		})
	}
}

// endAttemptOnly sends an attempt that ends with an outcome, and leaves the request open.
func endAttemptOnly(l *Loop, env *fakeEnvironment, request *Request, outcome relay.Outcome) {
	l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1})
	l.EndAttempt(env.sent[len(env.sent)-1], AttemptResult{Outcome: outcome})
}

// TestFloodOfRequestLinesIsLimited guards against a log that takes the processor time of the requests.
func TestFloodOfRequestLinesIsLimited(t *testing.T) {
	const flood = 10 * limits.MaxRequestLineBurst
	l, env, lines := loggingLoop(t)
	for i := range flood {
		request := acceptRequest(t, l, env, fmt.Sprint(i))
		l.ReceiveRequest(request)
		l.BeginRequest(request, request.ReceivedAt)
		l.execute(relay.Reject{Request: request.ID})
	}
	written := strings.Count(lines.String(), "reason=rejected")
	suppressed := int(l.Metrics.Get(metrics.RequestLinesSuppressed))
	if written < limits.MaxRequestLineBurst || written > flood/2 || written+suppressed != flood {
		t.Errorf("%d lines written and %d suppressed of %d", written, suppressed, flood)
	}
	l.ClientLeft(beginRequest(t, l, env))
	if !strings.Contains(lines.String(), "reason=client_left") {
		t.Error("a flood of one kind of line hid another kind")
	}
}
