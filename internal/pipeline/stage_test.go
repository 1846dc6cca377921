package pipeline

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
	"lichenroad/settings"
)

// outside stands for all parts that carry out orders, and for the client.
type outside struct {
	sent     []*Attempt
	dropped  []*Attempt
	recalled []*Attempt
	answers  []string
	left     bool // legs that are dropped had been sent
}

func (o *outside) Send(leg *Attempt)            { o.sent = append(o.sent, leg) }
func (o *outside) Cancel(leg *Attempt) bool     { o.dropped = append(o.dropped, leg); return o.left }
func (o *outside) CancelUnsent(leg *Attempt)    { o.recalled = append(o.recalled, leg) }
func (o *outside) HealthCheck(relay.EndpointID) {}
func (o *outside) CloseIdle(relay.EndpointID)   {}
func (o *outside) Respond(a *buffer.Chain) {
	o.answers = append(o.answers, string(a.Bytes()))
	a.Free()
}

func newLoop(t *testing.T) (*Loop, *outside) {
	t.Helper()
	site := settings.Site{ClassByName: map[string]relay.RequestClass{"look": 0}}
	site.Settings.Relays = 1
	site.Settings.Classes = make([]relay.ClassSettings, 1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log)
	o := &outside{}
	l.Upstream = o
	return l, o
}

func begun(t *testing.T, l *Loop, o *outside) *Request {
	t.Helper()
	body := l.Pool.Filled([]byte("SELECT body FROM objects WHERE oid = '7f3a' /* id=9b1f,c=look,d=480 */\x00"))
	text, err := pgwire.Statement(body.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	q, err := Accept(&l.Site, text, body, l.Clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	q.Client = o
	l.BeginRequest(q, q.Arrived)
	return q
}

func ends(l *Loop) (got []relay.AttemptEnded) {
	for _, e := range l.TakeEvents() {
		if e, ok := e.(relay.AttemptEnded); ok {
			got = append(got, e)
		}
	}
	return got
}

func TestPatienceCountsFromTheArrival(t *testing.T) {
	l, o := newLoop(t)
	q := begun(t, l, o)
	if got := l.TakeEvents()[0].(relay.Request); got.Deadline != q.Arrived+0.48 || got.Key != 0x7f3a || got.ID != q.ID {
		t.Errorf("%+v", got)
	}
}

func TestFirstAnswerHolds(t *testing.T) {
	l, o := newLoop(t)
	q := begun(t, l, o)
	l.order(relay.SendAttempt{Request: q.ID, Endpoint: 1})
	l.order(relay.SendAttempt{Request: q.ID, Endpoint: 2})
	l.TakeEvents()
	for _, leg := range o.sent {
		answer := l.Pool.Chain()
		answer.Write([]byte{'T', byte(leg.Number)})
		l.EndAttempt(leg, AttemptResult{Outcome: relay.Succeeded, Response: answer})
		l.EndAttempt(leg, AttemptResult{Outcome: relay.ConnectionBroken})
	}
	got := ends(l)
	if len(got) != 2 || !got[0].RequestFinished || !got[1].RequestFinished || len(o.answers) != 1 || o.answers[0][:2] != "T\x00" {
		t.Errorf("%+v %q", got, o.answers)
	}
	l.order(relay.Reject{Request: q.ID})
	l.order(relay.Fail{Request: q.ID})
	l.order(relay.CancelAttempt{Request: q.ID})
	l.sweep(len(l.over))
	if len(o.answers) != 1 || len(l.queries) != 0 || l.Pool.Out() != 0 || l.Metrics.Get(metrics.Succeeded) != 1 {
		t.Errorf("%q, %d held, %s", o.answers, len(l.queries), l.Metrics.Fields())
	}
}

// TestLegOfAQueryThatLeft has an order come for a query that ended before the module saw it: the leg has its
// one end all the same.
func TestLegOfAQueryThatLeft(t *testing.T) {
	l, o := newLoop(t)
	q := begun(t, l, o)
	l.ClientLeft(q)
	l.order(relay.SendAttempt{Request: q.ID, Endpoint: 1})
	if got := ends(l); len(got) != 1 || got[0].Outcome != relay.NotSent || !got[0].RequestFinished || len(o.sent) != 0 {
		t.Errorf("%+v", got)
	}
	l.sweep(len(l.over))
	if len(l.queries) != 0 || l.Pool.Out() != 0 {
		t.Error("the record stays")
	}
}

func TestFinalAnswers(t *testing.T) {
	for _, c := range []struct {
		order func(relay.RequestID) relay.Command
		code  string
		has   string
	}{
		{func(id relay.RequestID) relay.Command { return relay.Reject{Request: id} }, pgwire.CodeFull, ""},
		{func(id relay.RequestID) relay.Command { return relay.Reject{Request: id, RetryAfter: 0.2501} }, pgwire.CodeFull, "D251\x00"},
		{func(id relay.RequestID) relay.Command { return relay.Fail{Request: id} }, pgwire.CodeFailed, ""},
	} {
		l, o := newLoop(t)
		q := begun(t, l, o)
		l.order(c.order(q.ID))
		_, code, _, err := pgwire.ParseError([]byte(o.answers[0])[5 : len(o.answers[0])-6])
		if code != c.code || err != nil || !strings.Contains(o.answers[0], c.has) {
			t.Errorf("%q %v", o.answers, err)
		}
	}
}

func TestLegIsGivenUpInTime(t *testing.T) {
	for left, want := range map[bool]relay.Outcome{true: relay.TimedOut, false: relay.ConnectFailed} {
		l, o := newLoop(t)
		o.left = left
		q := begun(t, l, o)
		q.Deadline = l.Clock.Now() // over at once
		l.order(relay.SendAttempt{Request: q.ID, Endpoint: 1, Timeout: 5})
		l.TakeEvents()
		l.alarms()
		if got := ends(l); len(got) != 1 || got[0].Outcome != want || got[0].RequestFinished || len(o.dropped) != 1 {
			t.Errorf("had left: %v: %+v", left, got)
		}
	}
}

func TestAnswerThatRacesTheEndOfPatienceCountsOnce(t *testing.T) {
	l, o := newLoop(t)
	o.left = true
	q := begun(t, l, o)
	q.Deadline = l.Clock.Now()
	l.order(relay.SendAttempt{Request: q.ID, Endpoint: 1})
	l.TakeEvents()
	l.alarms()
	answer := l.Pool.Chain()
	answer.Write([]byte("T"))
	l.EndAttempt(o.sent[0], AttemptResult{Outcome: relay.Succeeded, Response: answer})
	l.order(relay.Fail{Request: q.ID})
	if got := ends(l); len(got) != 1 || got[0].Outcome != relay.TimedOut || len(o.answers) != 1 || o.answers[0][0] != 'E' {
		t.Errorf("%+v %q", got, o.answers)
	}
	if l.Pool.Out() != 0 {
		t.Error("the late answer's buffers are out")
	}
}

func TestClientsAreLetInWhenAListStands(t *testing.T) {
	l, _ := newLoop(t)
	in := 0
	l.OnServiceOpen(func() { in++ })
	if in != 0 {
		t.Error("let in without a list")
	}
	l.OpenService()
	l.OpenService()
	l.OnServiceOpen(func() { in++ })
	if in != 2 {
		t.Errorf("let in %d times", in)
	}
}

func TestTimersKeepTheirOrderAndDontComeEarly(t *testing.T) {
	l, _ := newLoop(t)
	var got []int
	now := l.Clock.Now()
	for i, at := range []relay.Seconds{now + 3600, now, now - 1, now} {
		l.RunAt(at, func() { got = append(got, i) })
	}
	l.alarms()
	if len(got) != 3 || got[0] != 2 || got[1] != 1 || got[2] != 3 {
		t.Error(got)
	}
}

func TestQueueOfTheLoop(t *testing.T) {
	l, _ := newLoop(t)
	for range limits.MaxQueuedEvents {
		if !l.TryPost(Func(func(*Loop) {})) {
			t.Fatal("refused below the bound")
		}
	}
	if l.TryPost(Func(func(*Loop) {})) || l.Metrics.Get(metrics.QueueLimitReached) != 1 {
		t.Error("taken over the bound")
	}
	l.TakePosted()
	var order []int
	stop := make(chan struct{})
	for i := range 3 {
		l.Post(Func(func(*Loop) { order = append(order, i) }))
	}
	l.Post(Func(func(*Loop) { close(stop) }))
	l.Run(stop)
	if len(order) != 3 || order[0] != 0 || order[2] != 2 {
		t.Error(order)
	}
}

// TestLegCarriesItsTime has an order name the time by which a leg is out, and another take the leg back.
func TestLegCarriesItsTime(t *testing.T) {
	l, o := newLoop(t)
	q := begun(t, l, o)
	now := l.Clock.Now()
	l.order(relay.SendAttempt{Request: q.ID, Endpoint: 1})
	l.order(relay.SendAttempt{Request: q.ID, Endpoint: 2, SendBy: now + 60})
	if o.sent[0].SendExpired(now+60) || o.sent[1].SendExpired(now+59) || !o.sent[1].SendExpired(now+60) {
		t.Error("late at another time than the order says")
	}
	l.order(relay.CancelUnsent{Request: q.ID, Attempt: 0})
	l.order(relay.CancelUnsent{Request: q.ID, Attempt: 7})
	if len(o.recalled) != 1 || !o.sent[0].SendExpired(l.Clock.Now()) {
		t.Errorf("%d recalled", len(o.recalled))
	}
}
