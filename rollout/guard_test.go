package rollout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/plan"
	"lichenroad/relay"
)

// node is a relay's guard with what its module was told.
type node struct {
	*Guard
	news  relay.RolloutStatus
	scope relay.CanaryScope
}

// newNode stands at site x and serves b, which needs a; its customers are of groups p, q and none.
func newNode(t interface{ Fatal(...any) }, off GuardSafeguards) *node {
	p := chain(t)
	g := NewGuard(p, 1, 0, []plan.GroupIndex{p.GroupOf("p1"), p.GroupOf("q1"), plan.NoGroup})
	g.Without(off)
	return &node{Guard: g}
}

func (n *node) look(at plan.Unix) float64 {
	for _, e := range n.Evaluate(at, nil) {
		switch e := e.(type) {
		case relay.RolloutStatus:
			n.news = e
		case relay.CanaryScope:
			n.scope = e
		}
	}
	return n.news.ExposureLimit
}

func trial(b relay.Build, stage relay.Stage, limit, age float64) relay.RolloutStatus {
	return relay.RolloutStatus{Valid: true, Build: b, Stage: stage, Phase: relay.PhaseCanary, ExposureLimit: limit, Age: age}
}

func as(n relay.RolloutStatus, p relay.Phase) relay.RolloutStatus {
	n.Phase = p
	return n
}

// hear has the guard hear of its own service, with a as far as it has to be.
func (n *node) hear(at plan.Unix, own relay.RolloutStatus) float64 {
	n.DependencyStatusReceived(at, 0, trial(1, own.Stage, 0.5, 0))
	n.StatusReceived(at, own)
	return n.look(at)
}

// Each hard case is played with every defence, and with one taken out that it is there for. The pair of figures is
// the cap at the end: it must differ, or the check could not fail.
func TestDefences(t *testing.T) {
	for _, c := range []struct {
		name string
		off  GuardSafeguards
		play func(n *node) float64
		cap  float64
		bare float64 // without the defence
	}{
		{"late news within a freeze", GuardSafeguards{Freezes: true}, func(n *node) float64 {
			n.hear(freezeFrom-60, trial(3, 0, 0.1, 0))
			return n.hear(freezeFrom+3, trial(3, 1, 0.3, 10)) // it came to be before the freeze, but was not heard of
		}, 0.1, 0.3},
		{"late news of more at the same step", GuardSafeguards{Ceiling: true}, func(n *node) float64 {
			n.hear(freezeFrom-60, trial(3, 1, 0.2, 0))
			n.look(freezeFrom + 1)
			return n.hear(freezeFrom+3, trial(3, 1, 0.3, 70))
		}, 0.2, 0.3},
		{"a need comes back within a freeze", GuardSafeguards{Ceiling: true}, func(n *node) float64 {
			n.hear(freezeFrom-60, trial(3, 1, 0.3, 0))
			n.DependencyStatusReceived(freezeFrom-5, 0, as(trial(1, 1, 0, 0), relay.PhaseRollingBack))
			n.look(freezeFrom + 1)
			n.DependencyStatusReceived(freezeFrom+9, 0, trial(2, 2, 0.6, 0))
			return n.look(freezeFrom + 9)
		}, 0, 0.3},
		{"its clock is behind by less than the skew", GuardSafeguards{Skew: true}, func(n *node) float64 {
			n.hear(freezeFrom-60, trial(3, 0, 0.1, 0))
			return n.hear(freezeFrom-1.5, trial(3, 1, 0.3, 0)) // the freeze has begun by the desk's clock
		}, 0.1, 0.3},
		{"it starts within a freeze and is told of a step that began within", GuardSafeguards{StartProof: true}, func(n *node) float64 {
			return n.hear(freezeFrom+60, trial(3, 1, 0.3, 59))
		}, 0, 0.3},
		{"the need was never heard of", GuardSafeguards{Unheard: true}, func(n *node) float64 {
			n.StatusReceived(day, trial(3, 0, 0.1, 0))
			return n.look(day)
		}, 0, 0.1},
		{"the need is not as far", GuardSafeguards{Needs: true}, func(n *node) float64 {
			n.DependencyStatusReceived(day, 0, trial(1, 0, 0.1, 0))
			n.StatusReceived(day, trial(3, 1, 0.3, 0))
			return n.look(day)
		}, 0.1, 0.3},
		{"the need goes back under a step that is open", GuardSafeguards{Needs: true}, func(n *node) float64 {
			n.hear(day, trial(3, 1, 0.3, 0))
			n.DependencyStatusReceived(day+1, 0, as(trial(1, 1, 0, 0), relay.PhaseRollingBack))
			return n.look(day + 1)
		}, 0, 0.3},
		{"a desk that forgot that the build went back", GuardSafeguards{Backward: true}, func(n *node) float64 {
			n.hear(day, trial(3, 1, 0.3, 0))
			n.hear(day+1, as(trial(3, 1, 0, 0), relay.PhaseRollingBack))
			return n.hear(day+2, trial(3, 1, 0.3, 0))
		}, 0, 0.3},
		{"late news of a need that went back", GuardSafeguards{Backward: true}, func(n *node) float64 {
			n.hear(day, trial(3, 1, 0.3, 0))
			n.DependencyStatusReceived(day+1, 0, as(trial(1, 1, 0, 0), relay.PhaseRollingBack))
			n.DependencyStatusReceived(day+2, 0, trial(1, 1, 0.3, 0)) // told before the other, and late (the laboratory, seed 14)
			return n.look(day + 2)
		}, 0, 0.3},
		{"a customer of a group that is not open", GuardSafeguards{Groups: true}, func(n *node) float64 {
			n.hear(day, trial(3, 0, 0.1, 0))
			if open := n.scope.GroupOpen; open[n.scope.GroupOfTenant[1]] {
				return n.news.ExposureLimit
			}
			return 0
		}, 0, 0.1},
	} {
		if got := c.play(newNode(t, GuardSafeguards{})); got != c.cap {
			t.Errorf("%s: cap %g, wanted %g", c.name, got, c.cap)
		}
		if got := c.play(newNode(t, c.off)); got != c.bare {
			t.Errorf("%s, without the defence: cap %g, wanted %g: the case shows nothing", c.name, got, c.bare)
		}
	}
}

func TestVotesUnderAPlan(t *testing.T) {
	on := relay.Vote{Build: 3, Stage: 0, Verdict: relay.VotePromote}
	hold, back := on, on
	hold.Verdict, back.Verdict = relay.VoteHold, relay.VoteRollBack
	n := newNode(t, GuardSafeguards{})
	n.hear(freezeFrom-60, trial(3, 0, 0.1, 0))
	if got := n.Vote(freezeFrom-59, on); got != hold || n.PromotionBlocked(freezeFrom-59).Code != BlockedByDependency {
		t.Error("a is not where the next step needs it: ", got)
	}
	n.DependencyStatusReceived(freezeFrom-50, 0, trial(1, 1, 0.3, 0))
	if got, ok := n.Recast(freezeFrom - 50); !ok || got != on {
		t.Error("now it is: ", got, ok)
	}
	if _, ok := n.Recast(freezeFrom - 49); ok {
		t.Error("twice")
	}
	if w := n.PromotionBlocked(freezeFrom - 30); w.Code != BlockedByStaleStatus {
		t.Error("not heard of for 20 s: ", w)
	}
	n.Alive(freezeFrom-4, 0)
	if got := n.Vote(freezeFrom-4, on); got != on {
		t.Error(got)
	}
	// The skew before the freeze an on that stands is taken back, and stands again the skew behind it.
	n.Alive(freezeFrom-2, 0)
	if got, ok := n.Recast(freezeFrom - 2); !ok || got != hold {
		t.Error(got, ok)
	}
	if got := n.Vote(freezeFrom+100, back); got != back {
		t.Error("back is free: ", got)
	}
	n.Vote(freezeTo, on)
	n.Alive(freezeTo+2, 0)
	if got, ok := n.Recast(freezeTo + 2); !ok || got != on {
		t.Error(got, ok)
	}
	bare := newNode(t, GuardSafeguards{Votes: true})
	bare.hear(freezeFrom-60, trial(3, 0, 0.1, 0))
	if got := bare.Vote(freezeFrom+1, on); got != on {
		t.Error("without the defence: ", got)
	}
}

func TestDefaultsOfTheUnknown(t *testing.T) {
	n := newNode(t, GuardSafeguards{})
	if n.look(day); n.Guard.did {
		t.Error("told something without news")
	}
	n.hear(day, trial(3, 1, 0.3, 0))
	s := n.scope
	if s.Build != 3 || s.Stage != 1 || fmt.Sprint(s.GroupOfTenant, s.GroupOpen) != "[0 1 -1] [true true]" {
		t.Errorf("%+v", s)
	}
	// A site at which nothing is open yet.
	p := chain(t)
	y := &node{Guard: NewGuard(p, 1, 1, []plan.GroupIndex{0, 1})}
	y.hear(day, trial(3, 1, 0.3, 0))
	if fmt.Sprint(y.scope.GroupOpen) != "[false false]" || y.ExposureLimit(0) != 0 {
		t.Errorf("%+v", y.scope)
	}
	y.hear(day+1, trial(3, 2, 0.9, 0))
	if y.ExposureLimit(0) != 0.6 || y.ExposureLimit(plan.NoGroup) != 0 {
		t.Error("the plan's cap is the lower: ", y.ExposureLimit(0))
	}
	// Silence of the need's desk takes nothing back, and opens nothing.
	n.look(day + 3600)
	if n.ExposureLimit(0) != 0.3 {
		t.Error("silence took it back")
	}
	n.StatusReceived(day+3600, trial(3, 2, 0.6, 0))
	if n.look(day+3600) != 0.3 {
		t.Error("silence opened it")
	}
	// An older journal: the desk stands at an earlier step, or speaks of an earlier build.
	if n.StatusReceived(day+3601, trial(3, 0, 0.1, 0)); n.look(day+3601) != 0.1 {
		t.Error("not the lower cap")
	}
	if n.StatusReceived(day+3602, as(trial(2, 2, 1, 0), relay.PhaseReleased)); n.look(day+3602) != 0.1 || n.news.Build != 3 {
		t.Error("it believes a desk that knows an earlier build only")
	}
}

func TestStartWithinAFreeze(t *testing.T) {
	n := newNode(t, GuardSafeguards{})
	if got := n.hear(freezeFrom+60, trial(3, 1, 0.3, 120)); got != 0.3 {
		t.Error("the step stood before the freeze: ", got)
	}
	n = newNode(t, GuardSafeguards{})
	if got := n.hear(freezeFrom+60, trial(3, 1, 0.3, 61)); got != 0 {
		t.Error("too near to the freeze for clocks to tell: ", got)
	}
	if n.hear(freezeTo+3, trial(3, 1, 0.3, 2000)); n.news.ExposureLimit != 0.3 {
		t.Error("it stays closed after the freeze: ", n.news.ExposureLimit)
	}
	// A release that came before the freeze, heard of within it: there are no earlier units left.
	n = newNode(t, GuardSafeguards{})
	n.hear(freezeFrom-60, trial(3, 2, 0.6, 0))
	n.hear(freezeFrom+5, relay.RolloutStatus{Valid: true, Build: 3, Stage: 2, Phase: relay.PhaseReleased, ExposureLimit: 1, Age: 20})
	if n.news.Phase != relay.PhaseReleased {
		t.Errorf("%+v", n.news)
	}
	n = newNode(t, GuardSafeguards{})
	n.hear(freezeFrom-60, trial(3, 2, 0.6, 0))
	n.hear(freezeFrom+5, relay.RolloutStatus{Valid: true, Build: 3, Stage: 2, Phase: relay.PhaseReleased, ExposureLimit: 1, Age: 2})
	if n.news.Phase != relay.PhaseCanary || n.news.ExposureLimit != 0.6 {
		t.Errorf("a release within the freeze: %+v", n.news)
	}
}

// TestGuardNeverWidens draws news, silences, needs and clocks: whatever happens, the cap is at most the platform's and
// the plan's of the step that it stands at, never rises in a freeze, and a vote for back goes out.
func TestGuardNeverWidens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(t, GuardSafeguards{})
		caps := []float64{0.1, 0.3, 0.6}
		at, told := plan.Unix(freezeFrom-100), relay.RolloutStatus{}
		last, lastBuild, inside := 0.0, relay.Build(0), false
		for range rapid.IntRange(1, 80).Draw(t, "n") {
			at += rapid.Float64Range(0, 30).Draw(t, "dt")
			own := trial(relay.Build(rapid.IntRange(1, 3).Draw(t, "b")), relay.Stage(rapid.IntRange(0, 2).Draw(t, "s")),
				rapid.Float64Range(0, 1).Draw(t, "cap"), rapid.Float64Range(0, 100).Draw(t, "age"))
			own.Phase = relay.Phase(rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "phase"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				n.DependencyStatusReceived(at, 0, own)
			case 1:
				n.Alive(at, 0)
			case 2:
				n.StatusReceived(at, own)
				if own.Build >= told.Build {
					told = own
				}
			}
			n.look(at)
			if n.did {
				if n.news.ExposureLimit > n.Guard.news.ExposureLimit+1e-12 || n.news.Phase == relay.PhaseCanary && n.news.ExposureLimit > caps[n.news.Stage] {
					t.Fatalf("%+v of %+v", n.news, n.Guard.news)
				}
				for i, open := range n.scope.GroupOpen {
					if k := int(n.scope.Stage); open && !n.terms().IsOpen(plan.StepIndex(k), 0, plan.GroupIndex(i)) {
						t.Fatalf("%+v", n.scope)
					}
				}
			}
			frozen := at >= freezeFrom && at < freezeTo
			if frozen && inside && n.news.Build == lastBuild && n.news.ExposureLimit > last {
				t.Fatalf("at %.0f s of the freeze the cap rose from %g to %g", at-freezeFrom, last, n.news.ExposureLimit)
			}
			last, lastBuild, inside = n.news.ExposureLimit, n.news.Build, frozen
			back := relay.Vote{Build: 1, Verdict: relay.VoteRollBack}
			if n.Vote(at, back) != back {
				t.Fatal("a vote for back was changed")
			}
		}
	})
}

func BenchmarkGuardLook(b *testing.B) {
	n := newNode(b, GuardSafeguards{})
	n.hear(day, trial(3, 1, 0.3, 0))
	var out []relay.Event
	b.ReportAllocs()
	for i := range b.N {
		out = n.Evaluate(day+float64(i)*1e-6, out[:0])
	}
}

// TestNeedThatComesBackInAFreezeOpensNoGroup has a need lost before a freeze and met again within it: neither the cap nor
// the groups that are open may grow (found in the laboratory, seed 7: the cap was held, the groups were opened).
func TestNeedThatComesBackInAFreezeOpensNoGroup(t *testing.T) {
	for _, off := range []bool{false, true} {
		n := newNode(t, GuardSafeguards{Ceiling: off})
		n.hear(freezeFrom-60, trial(3, 1, 0.3, 0))
		n.DependencyStatusReceived(freezeFrom-20, 0, trial(2, 0, 0.1, 0)) // the need's next build has only begun
		n.look(freezeFrom - 20)
		n.look(freezeFrom - 1)
		n.DependencyStatusReceived(freezeFrom+30, 0, trial(2, 1, 0.3, 40)) // and was further before the freeze, unheard
		if limit := n.look(freezeFrom + 30); off != n.scope.GroupOpen[1] || (limit == 0.3) != off || !n.scope.GroupOpen[0] {
			t.Errorf("defence out: %v: cap %g, %+v", off, limit, n.scope)
		}
		if n.DependencyStatusReceived(freezeTo+3, 0, trial(2, 1, 0.3, 40)); n.look(freezeTo+3) != 0.3 || !n.scope.GroupOpen[1] {
			t.Errorf("after the freeze: %+v", n.scope)
		}
	}
}

// TestFreezeWithinASilence has a freeze begin and end while nothing is heard: the relay keeps to it by its own clock.
func TestFreezeWithinASilence(t *testing.T) {
	n := newNode(t, GuardSafeguards{})
	n.hear(freezeFrom-30, trial(3, 0, 0.1, 0))
	n.DependencyStatusReceived(freezeFrom-4, 0, trial(1, 1, 0.3, 0))
	on := relay.Vote{Build: 3, Verdict: relay.VotePromote}
	if n.Vote(freezeFrom-4, on) != on {
		t.Fatal("nothing stands in the way yet")
	}
	for at := freezeFrom - 2; at < freezeTo+2; at += 7 {
		n.look(at)
		if n.news.ExposureLimit != 0.1 || n.PromotionBlocked(at).Code != BlockedByPlanFreeze || n.Vote(at, on).Verdict != relay.VoteHold {
			t.Fatalf("%.0f s into it: %+v, %v", at-freezeFrom, n.news, n.PromotionBlocked(at))
		}
	}
	if w := n.PromotionBlocked(freezeTo + 3); w.Code != BlockedByStaleStatus {
		t.Error("after it the need must be heard of first: ", w)
	}
	n.Alive(freezeTo+4, 0)
	if v, ok := n.Recast(freezeTo + 4); !ok || v != on {
		t.Error(v, ok)
	}
}
