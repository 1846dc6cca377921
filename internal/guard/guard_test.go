package guard

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/planxml"
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/settings"
)

const planText = `<plan version="1"><site name="x"/><group name="p"><customer name="acme"/></group><group name="q"><customer name="bolt"/></group>
<service name="a"><step name="one" share="1" cap="0.5" least="1s"><open/></step></service>
<service name="b"><step name="one" share="0.1" cap="0.2" least="1s"><open group="p"/><needs service="a"/></step>
<step name="two" share="1" cap="0.6" least="1s"><open group="q"/></step></service>
<freeze name="f"><once from="2026-12-06T01:00" to="2026-12-06T02:00" zone="UTC"/></freeze></plan>`

const day = 1796515200.0 // 2026-12-06 00:00 UTC

// voter stands for the platform.
type voter struct{ votes []relay.Vote }

func (v *voter) Vote(x relay.Vote) { v.votes = append(v.votes, x) }

// hosted is a guard on a loop that a test drives by hand.
type hosted struct {
	*Host
	loop  *pipeline.Loop
	votes *voter
	now   plan.Unix
}

func newHosted(t *testing.T) *hosted {
	t.Helper()
	p, err := planxml.Parse("p", []byte(planText))
	if err != nil {
		t.Fatal(err)
	}
	site, err := settings.Parse([]byte(`{"areas":["x"],"az":0,"replicas_of_me":1,"grades":[{"name":"look","repeat":"retryable","target":400000000,"deadline":2000000000,"worth":1}],
"tenants":[{"name":"bolt"},{"name":"acme"},{"name":"other"}],"family_info":{"exposure_caps":[1],"waves":[1],"uncounted":1,"span":2000000000}}`))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &hosted{loop: pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log), votes: &voter{}, now: day}
	if h.Host, err = New(h.loop, p, "b", h.votes, func() plan.Unix { return h.now }); err != nil {
		t.Fatal(err)
	}
	h.loop.Guard = h.Host
	return h
}

func (h *hosted) learned() (news []relay.RolloutStatus, scopes []relay.CanaryScope) {
	for _, e := range h.loop.TakeEvents() {
		switch e := e.(type) {
		case relay.RolloutStatus:
			news = append(news, e)
		case relay.CanaryScope:
			scopes = append(scopes, e)
		}
	}
	return news, scopes
}

func trial(b relay.Build, s relay.Stage, limit float64) relay.RolloutStatus {
	return relay.RolloutStatus{Valid: true, Build: b, Stage: s, ExposureLimit: limit}
}

func TestNewsIsNarrowed(t *testing.T) {
	h := newHosted(t)
	h.loop.RolloutStatusReceived(trial(3, 0, 0.9))
	news, scopes := h.learned()
	if len(news) != 1 || news[0].ExposureLimit != 0 || len(scopes) != 1 || scopes[0].GroupOpen[0] {
		t.Fatalf("a was never heard of: %+v %+v", news, scopes)
	}
	h.other("a", relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1})
	news, scopes = h.learned()
	if len(news) != 1 || news[0].ExposureLimit != 0.2 || len(scopes) != 1 || !scopes[0].GroupOpen[0] || scopes[0].GroupOpen[1] {
		t.Fatalf("%+v %+v", news, scopes)
	}
	if g := scopes[0].GroupOfTenant; len(g) != 3 || g[0] != 1 || g[1] != 0 || g[2] != -1 {
		t.Errorf("groups by the settings' numbers: %v", g)
	}
	h.loop.RolloutStatusReceived(trial(3, 0, 0.9))
	if news, _ := h.learned(); len(news) != 0 {
		t.Errorf("the same again: %+v", news)
	}
	h.other("a", relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseRollingBack})
	if news, _ := h.learned(); len(news) != 1 || news[0].ExposureLimit != 0 {
		t.Errorf("the need went back: %+v", news)
	}
}

func TestAnswersGoToWhoCast(t *testing.T) {
	h := newHosted(t)
	h.other("a", relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1})
	h.loop.RolloutStatusReceived(trial(3, 0, 0.2))
	on := relay.Vote{Build: 3, Stage: 0, Verdict: relay.VotePromote}
	h.now = day + 3600 - 10
	h.other("a", relay.RolloutStatus{}) // a sign of life
	h.Vote(on)
	h.now = day + 3600 - 1.5 // the skew before the freeze: the guard takes the on back
	h.look()
	if v := h.votes.votes; len(v) != 2 || v[0] != on || v[1].Verdict != relay.VoteHold {
		t.Fatalf("%+v", v)
	}
	h.learned()
	own, guards := trial(3, 0, 0.2), trial(3, 0, 0.2)
	own.Reply, guards.Reply = relay.ReplyCounted, relay.ReplyNotCounted
	h.loop.RolloutStatusReceived(own)
	h.loop.RolloutStatusReceived(guards)
	news, _ := h.learned()
	if len(news) != 1 || news[0].Reply != relay.ReplyCounted || news[0].Valid {
		t.Errorf("the module is owed one answer: %+v", news)
	}
	back := relay.Vote{Build: 3, Stage: 0, Verdict: relay.VoteRollBack}
	h.now = day + 3700
	if h.Vote(back); h.votes.votes[2] != back {
		t.Error("back is free")
	}
}

func TestBadPlanAtReloadLeavesTheOldOne(t *testing.T) {
	h := newHosted(t)
	h.other("a", relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1})
	h.loop.RolloutStatusReceived(trial(3, 0, 0.2))
	h.learned()
	bad, err := planxml.Parse("p", []byte(strings.NewReplacer(`name="b"`, `name="c"`).Replace(planText)))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Replan(bad); err == nil {
		t.Error("a plan without the service was taken")
	}
	next, err := planxml.Parse("p", []byte(strings.Replace(planText, `cap="0.2"`, `cap="0.1"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Replan(next); err != nil {
		t.Fatal(err)
	}
	if news, _ := h.learned(); len(news) != 1 || news[0].ExposureLimit != 0.1 {
		t.Errorf("%+v", news)
	}
}

func TestNamesMustFit(t *testing.T) {
	h := newHosted(t)
	p, _ := planxml.Parse("p", []byte(planText))
	if _, err := New(h.loop, p, "z", h.votes, nil); err == nil {
		t.Error("no such service")
	}
	h.loop.Site.Zones = []string{"elsewhere"}
	if _, err := New(h.loop, p, "b", h.votes, nil); err == nil {
		t.Error("no such site")
	}
}
