package demo

import (
	"math"
	"strings"
	"testing"

	"lichenroad/relay"
)

// newAudited returns a demonstration in which the good build is in its first step from 0 s on, with an exposure limit of 0.25,
// and in which one relay received ten requests of the first tenant between 9 s and 10 s.
func newAudited() *demonstration {
	d := &demonstration{statuses: []observedStatus{
		{at: 0, status: relay.RolloutStatus{Valid: true, Build: goodBuild, Phase: relay.PhaseCanary, ExposureLimit: 0.25}},
	}}
	for i := range 10 {
		d.requests = append(d.requests, sentRequest{at: 9 + float64(i)/10, relay: 0, tenant: tenants[0]})
	}
	return d
}

func (d *demonstration) addAttempts(count int, a attempt) {
	for range count {
		d.attempts = append(d.attempts, a)
	}
}

// TestAudit checks which attempts the audit reports: those over the exposure limit, and those of relays and tenants to which
// the build is not open.
func TestAudit(t *testing.T) {
	// 5.6 attempts are allowed: three free ones, and 1.04 times a quarter of ten requests.
	open := attempt{at: 10, relay: 0, tenant: tenants[0], build: goodBuild}
	for _, c := range []struct {
		name       string
		change     func(d *demonstration)
		attempts   int    // expected number at unreleased builds
		violations int    // expected number
		text       string // expected in the first violation
	}{
		{"no attempts", func(*demonstration) {}, 0, 0, ""},
		{"attempts at the released build", func(d *demonstration) {
			d.addAttempts(50, attempt{at: 10, relay: 0, tenant: tenants[0], build: firstBuild})
		}, 0, 0, ""},
		{"as many attempts as are allowed", func(d *demonstration) { d.addAttempts(5, open) }, 5, 0, ""},
		{"one attempt too many", func(d *demonstration) { d.addAttempts(6, open) }, 6, 1, "6 legs of dairy to build 2 in 2 s, for 10 queries"},
		{"more attempts in the next window", func(d *demonstration) {
			d.addAttempts(5, open)
			d.addAttempts(3, attempt{at: 13, relay: 0, tenant: tenants[0], build: goodBuild})
		}, 8, 0, ""},
		{"relay of the other site", func(d *demonstration) {
			d.addAttempts(1, attempt{at: 10, relay: 1, tenant: tenants[0], build: goodBuild})
		}, 1, 1, "where it was closed"},
		{"tenant of the second step in the first", func(d *demonstration) {
			d.addAttempts(1, attempt{at: 10, relay: 0, tenant: tenants[1], build: goodBuild})
		}, 1, 1, "where it was closed"},
		{"tenant of no group", func(d *demonstration) {
			d.statuses[0].status.Stage = 1
			d.addAttempts(1, attempt{at: 10, relay: 0, tenant: tenants[2], build: goodBuild})
		}, 1, 1, "where it was closed"},
		{"after the build was withdrawn", func(d *demonstration) {
			d.statuses = append(d.statuses, observedStatus{at: 9, status: relay.RolloutStatus{Valid: true, Build: goodBuild, Phase: relay.PhaseRollingBack}})
			d.addAttempts(1, open)
		}, 1, 1, "where it was closed"},
		{"within the allowed delay after the build was withdrawn", func(d *demonstration) {
			d.statuses = append(d.statuses, observedStatus{at: 9.6, status: relay.RolloutStatus{Valid: true, Build: goodBuild, Phase: relay.PhaseRollingBack}})
			d.addAttempts(1, open)
		}, 1, 0, ""},
		{"after the build was released", func(d *demonstration) {
			d.statuses = append(d.statuses, observedStatus{at: 9, status: relay.RolloutStatus{Valid: true, Build: goodBuild, Phase: relay.PhaseReleased}})
			d.addAttempts(50, open)
		}, 0, 0, ""},
		{"line with a time that can't be parsed", func(d *demonstration) { d.recordAttempt("leg x 0 dairy", goodBuild) }, 0, 1, "can't be read"},
		{"line that reports no attempt", func(d *demonstration) { d.recordAttempt("ready", goodBuild) }, 0, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newAudited()
			c.change(d)
			var result Result
			d.audit(&result)
			if result.CanaryAttempts != c.attempts || len(result.Violations) != c.violations {
				t.Fatalf("got %d attempts and violations %q, want %d attempts and %d violations", result.CanaryAttempts, result.Violations, c.attempts, c.violations)
			}
			if c.violations > 0 && !strings.Contains(result.Violations[0], c.text) {
				t.Errorf("got violation %q, want one that contains %q", result.Violations[0], c.text)
			}
		})
	}
}

// TestAuditMeasuresUse compares the highest used fraction of an exposure allowance with one that is calculated by hand.
func TestAuditMeasuresUse(t *testing.T) {
	d := newAudited()
	d.addAttempts(4, attempt{at: 10, relay: 0, tenant: tenants[0], build: goodBuild})
	var result Result
	d.audit(&result)
	if want := 4 / (3 + 1.04*0.25*10); math.Abs(result.MaxExposureUse-want) > 1e-9 {
		t.Errorf("got the fraction %g, want %g", result.MaxExposureUse, want)
	}
}
