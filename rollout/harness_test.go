package rollout

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"lichenroad/internal/planxml"
	"lichenroad/plan"
	"lichenroad/relay"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// The services of testPlan, in order.
const (
	serviceA plan.ServiceIndex = iota
	serviceB
	serviceC
	serviceD
)

// The sites of testPlan, in order.
const (
	siteX plan.SiteIndex = iota
	siteY
)

// The day on which the tests take place, and the freeze of testPlan on that day.
const (
	day         = 1796515200.0 // 2026-12-06 00:00 UTC
	freezeStart = day + 16*60
	freezeEnd   = day + 33*60
)

// testPlan returns a plan with four services: b depends on a, c on b, and d on b and c. Each has three steps and four
// relays.
func testPlan(t interface{ Fatal(...any) }) *plan.Plan {
	const (
		header = `<plan version="1" clock-skew="2s"><site name="x"/><site name="y"/>` +
			`<group name="p"><customer name="p1"/></group><group name="q"><customer name="q1"/></group>`
		footer = `<freeze name="f"><once from="2026-12-06T00:16" to="2026-12-06T00:33" zone="UTC"/></freeze></plan>`
	)
	steps := []struct {
		share, limit float64
		open         string
	}{
		{0.1, 0.1, `<open site="x" group="p"/>`},
		{0.5, 0.3, `<open site="x" group="q"/>`},
		{1, 0.6, `<open site="y"/>`},
	}
	services := []struct {
		name      string
		dependsOn []string
	}{{"a", nil}, {"b", []string{"a"}}, {"c", []string{"b"}}, {"d", []string{"b", "c"}}}

	var text strings.Builder
	text.WriteString(header)
	for _, service := range services {
		fmt.Fprintf(&text, `<service name="%s" back-for="5s"><votes on="0.5" back="0.25"/>`, service.name)
		for i, step := range steps {
			fmt.Fprintf(&text, `<step name="s%d" share="%g" cap="%g" least="10s">%s`, i, step.share, step.limit, step.open)
			for _, name := range service.dependsOn {
				fmt.Fprintf(&text, `<needs service="%s" step="s%d"/>`, name, i)
			}
			text.WriteString(`</step>`)
		}
		for i := range 4 {
			fmt.Fprintf(&text, `<relay name="r%d" site="%s"/>`, i, []string{"x", "y"}[i%2])
		}
		text.WriteString(`</service>`)
	}
	text.WriteString(footer)
	p, err := planxml.Parse("p", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// controllerHarness drives a Core as a release controller does, and records the events in a journal.
type controllerHarness struct {
	t       interface{ Fatal(...any) }
	core    *Core
	journal []Event
}

func newControllerHarness(t interface{ Fatal(...any) }) *controllerHarness {
	return &controllerHarness{t: t, core: New(testPlan(t))}
}

// apply applies an event and adds it to the journal. Its arguments are the results of Offer or Operate.
func (h *controllerHarness) apply(e Event, err error) {
	if err != nil {
		h.t.Fatal(err)
	}
	if err := h.core.Apply(e); err != nil {
		h.t.Fatal(err)
	}
	h.journal = append(h.journal, e)
}

func (h *controllerHarness) offer(service plan.ServiceIndex, build relay.Build, at plan.Unix) []Event {
	h.apply(h.core.Offer(service, build, "ops", "new", at))
	return h.advance(at)
}

func (h *controllerHarness) advance(at plan.Unix) []Event {
	out := h.core.Advance(at)
	h.journal = append(h.journal, out...)
	return out
}

// vote casts a relay's vote on the present build and step, and returns the events that it causes.
func (h *controllerHarness) vote(service plan.ServiceIndex, voter int, verdict relay.Verdict, at plan.Unix) ([]Event, Rejection) {
	status := h.core.RolloutStatus(service, at)
	return h.voteAs(service, voter, relay.Vote{Build: status.Build, Stage: status.Stage, Verdict: verdict}, at)
}

func (h *controllerHarness) voteAs(service plan.ServiceIndex, voter int, v relay.Vote, at plan.Unix) ([]Event, Rejection) {
	e, rejection := h.core.Vote(service, fmt.Sprintf("r%d", voter), v, at)
	if rejection != VoteCounted {
		return nil, rejection
	}
	h.apply(e, nil)
	return h.advance(at), VoteCounted
}

// promote casts votes for the next step by two of the four relays, which is the quorum.
func (h *controllerHarness) promote(service plan.ServiceIndex, at plan.Unix) []Event {
	out, _ := h.vote(service, 0, relay.VotePromote, at)
	more, _ := h.vote(service, 1, relay.VotePromote, at)
	return append(out, more...)
}

// eventKinds formats events as "service:kind service:kind".
func eventKinds(events []Event) string {
	var out []string
	for _, e := range events {
		out = append(out, fmt.Sprintf("%s:%s", e.Service, e.Kind))
	}
	return strings.Join(out, " ")
}

func wantEvents(t *testing.T, got []Event, want string) {
	t.Helper()
	if eventKinds(got) != want {
		t.Errorf("got events %q, want %q", eventKinds(got), want)
	}
}
