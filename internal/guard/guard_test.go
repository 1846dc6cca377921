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

// recordingPlatform records the votes cast.
type recordingPlatform struct{ votes []relay.Vote }

func (p *recordingPlatform) Vote(v relay.Vote) { p.votes = append(p.votes, v) }

// hostHarness is a host on a loop that does not run: the test calls the host and takes the module's events.
type hostHarness struct {
	*Host
	loop     *pipeline.Loop
	platform *recordingPlatform
	now      plan.Unix
}

func newHostHarness(t *testing.T) *hostHarness {
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
	h := &hostHarness{
		loop:     pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log),
		platform: &recordingPlatform{},
		now:      day,
	}
	if h.Host, err = New(h.loop, p, "b", h.platform, func() plan.Unix { return h.now }); err != nil {
		t.Fatal(err)
	}
	h.loop.Guard = h.Host
	return h
}

// moduleEvents returns what the module has received since the last call.
func (h *hostHarness) moduleEvents() (statuses []relay.RolloutStatus, scopes []relay.CanaryScope) {
	for _, e := range h.loop.TakeEvents() {
		switch e := e.(type) {
		case relay.RolloutStatus:
			statuses = append(statuses, e)
		case relay.CanaryScope:
			scopes = append(scopes, e)
		}
	}
	return statuses, scopes
}

// canaryStatus returns a status of build 3 in its first stage.
func canaryStatus(limit float64) relay.RolloutStatus {
	return relay.RolloutStatus{Valid: true, Build: 3, ExposureLimit: limit}
}

func TestStatusIsRestrictedByThePlan(t *testing.T) {
	h := newHostHarness(t)
	h.loop.RolloutStatusReceived(canaryStatus(0.9))
	statuses, scopes := h.moduleEvents()
	if len(statuses) != 1 || statuses[0].ExposureLimit != 0 || len(scopes) != 1 || scopes[0].GroupOpen[0] {
		t.Fatalf("without a status of a: statuses %+v, scopes %+v", statuses, scopes)
	}
	h.dependencyStatusReceived("a", relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1})
	statuses, scopes = h.moduleEvents()
	if len(statuses) != 1 || statuses[0].ExposureLimit != 0.2 || len(scopes) != 1 || !scopes[0].GroupOpen[0] || scopes[0].GroupOpen[1] {
		t.Fatalf("with a released: statuses %+v, scopes %+v", statuses, scopes)
	}
	if g := scopes[0].GroupOfTenant; len(g) != 3 || g[0] != 1 || g[1] != 0 || g[2] != -1 {
		t.Errorf("groups by the settings' tenant number: %v, want [1 0 -1]", g)
	}
	h.loop.RolloutStatusReceived(canaryStatus(0.9))
	if statuses, _ := h.moduleEvents(); len(statuses) != 0 {
		t.Errorf("the module received an unchanged status: %+v", statuses)
	}
	h.dependencyStatusReceived("a", relay.RolloutStatus{Valid: true, Build: 2, Phase: relay.PhaseRollingBack})
	if statuses, _ := h.moduleEvents(); len(statuses) != 1 || statuses[0].ExposureLimit != 0 {
		t.Errorf("after the rollback of the dependency: %+v", statuses)
	}
}

// TestNoStatusClosesLaterBuilds guards against a relay under a plan that sends requests of any tenant to a build of which it knows
// nothing, as the release controller is silent.
func TestNoStatusClosesLaterBuilds(t *testing.T) {
	h := newHostHarness(t)
	h.Start()
	_, scopes := h.moduleEvents()
	if len(scopes) != 1 || scopes[0].Build != 0 || len(scopes[0].GroupOpen) != 2 || scopes[0].GroupOpen[0] || scopes[0].GroupOpen[1] {
		t.Fatalf("scopes %+v, want one that is closed", scopes)
	}
	h.dependencyStatusReceived("a", relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1})
	h.loop.RolloutStatusReceived(canaryStatus(0.9))
	if _, scopes := h.moduleEvents(); len(scopes) != 1 || scopes[0].Build != 3 || !scopes[0].GroupOpen[0] {
		t.Errorf("scopes %+v after a status, want the one of its step", scopes)
	}
	h.Start()
	if _, scopes := h.moduleEvents(); len(scopes) != 0 {
		t.Errorf("scopes %+v, but the status is known", scopes)
	}
}

func TestRepliesGoToOriginOfVote(t *testing.T) {
	h := newHostHarness(t)
	h.dependencyStatusReceived("a", relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1})
	h.loop.RolloutStatusReceived(canaryStatus(0.2))
	promote := relay.Vote{Build: 3, Stage: 0, Verdict: relay.VotePromote}
	h.now = day + 3600 - 10
	h.dependencyStatusReceived("a", relay.RolloutStatus{}) // a keep-alive
	h.Vote(promote)
	h.now = day + 3600 - 1.5 // less than the clock skew before the freeze: the guard revises the vote
	h.evaluate()
	if v := h.platform.votes; len(v) != 2 || v[0] != promote || v[1].Verdict != relay.VoteHold {
		t.Fatalf("votes cast: %+v, want one to promote and one to hold", v)
	}
	h.moduleEvents()
	toModule, toGuard := canaryStatus(0.2), canaryStatus(0.2)
	toModule.Reply, toGuard.Reply = relay.ReplyCounted, relay.ReplyNotCounted
	h.loop.RolloutStatusReceived(toModule)
	h.loop.RolloutStatusReceived(toGuard)
	statuses, _ := h.moduleEvents()
	if len(statuses) != 1 || statuses[0].Reply != relay.ReplyCounted || statuses[0].Valid {
		t.Errorf("the module received %+v, want only the reply to its own vote", statuses)
	}
	rollBack := relay.Vote{Build: 3, Stage: 0, Verdict: relay.VoteRollBack}
	h.now = day + 3700
	h.Vote(rollBack)
	if h.platform.votes[2] != rollBack {
		t.Error("a vote to roll back was changed")
	}
}

func TestFailedReplanKeepsOldPlan(t *testing.T) {
	h := newHostHarness(t)
	h.dependencyStatusReceived("a", relay.RolloutStatus{Valid: true, Build: 1, Phase: relay.PhaseReleased, ExposureLimit: 1})
	h.loop.RolloutStatusReceived(canaryStatus(0.2))
	h.moduleEvents()
	bad, err := planxml.Parse("p", []byte(strings.NewReplacer(`name="b"`, `name="c"`).Replace(planText)))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Replan(bad); err == nil {
		t.Error("a plan without the service was accepted")
	}
	next, err := planxml.Parse("p", []byte(strings.Replace(planText, `cap="0.2"`, `cap="0.1"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Replan(next); err != nil {
		t.Fatal(err)
	}
	if statuses, _ := h.moduleEvents(); len(statuses) != 1 || statuses[0].ExposureLimit != 0.1 {
		t.Errorf("after the change of plan: %+v", statuses)
	}
}

func TestNewChecksNames(t *testing.T) {
	p, err := planxml.Parse("p", []byte(planText))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		service string
		zones   []string
		want    string
	}{
		{"no such service", "z", []string{"x"}, `the plan has no service "z"`},
		{"no such site", "b", []string{"elsewhere"}, `the plan has no site "elsewhere"`},
		{"a zone without a name", "b", nil, "the settings don't name this relay's site"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHostHarness(t)
			h.loop.Site.Zones = c.zones
			if _, err := New(h.loop, p, c.service, h.platform, nil); err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
