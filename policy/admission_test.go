package policy

import (
	"testing"

	"lichenroad/relay"
)

// Attempts that one endpoint swallowed filled admission's limit, and it rejected what the others could answer.
func TestUnansweredAttemptsDoNotStopAdmission(t *testing.T) {
	w := newWorld(t, plainSettings())
	w.outcomeOf = func(_ *worldRequest, attempt *worldAttempt) relay.Outcome {
		if attempt.endpoint.ID == 1 {
			attempt.end = w.now + 100
		}
		return relay.Succeeded
	}
	w.step(relay.ListUpdate{Kind: relay.ListFull, Endpoints: entries(8, 5, 1)},
		relay.RolloutStatus{Valid: true, Build: 5, Phase: relay.PhaseReleased, ExposureLimit: 1})
	w.run(20, func() (out []relay.Event) {
		if int(w.now*100)%4 == 0 {
			out = append(out, w.newRequest(2, 0))
		}
		return out
	})
	if w.rejected > 5 {
		t.Errorf("%d of %d rejected", w.rejected, w.next)
	}
}

// Admission knew its pace from two seconds of answers: after a quiet time it turned a burst away from idle endpoints.
func TestAdmissionOpensInABurst(t *testing.T) {
	p := New(plainSettings(), 1)
	for p.now = 10; p.now < 12; p.now += 0.25 {
		p.admission.answered.Add(p.now, 0, 1) // four a second, due in 1 s
	}
	quiet := p.admission.limit()
	for p.now = 12; p.now < 12.49; p.now += 0.01 {
		p.admission.answered.Add(p.now, 0, 1) // a hundred a second
	}
	burst := p.admission.limit()
	p.now = 13.75 // over, and nothing answered since: the mean of 2 s alone is left
	after, mean := p.admission.limit(), spareRequests+maxObjectiveUsage*p.admission.answered.Total(p.now, 0)/(trafficBucketTime*trafficBuckets)
	if quiet > spareRequests+4 || burst < spareRequests+20 || after != mean {
		t.Errorf("limit %.1f, in the burst %.1f, after it %.1f of %.1f", quiet, burst, after, mean)
	}
}

// A tenant beyond its share met one limit in all classes but the least: a burst, mostly one tenant's, was
// served in the order in which it came.
func TestPriorityRanksBeyondAQuota(t *testing.T) {
	set := plainSettings()
	set.Tenants = []relay.TenantSettings{{TrafficShare: 0.5}, {TrafficShare: 0.5}}
	for i := range set.Classes {
		set.Classes[i].PriorityWeight = float64(i + 1)
	}
	p := New(set, 1)
	p.now = 20
	p.admission.answered.Add(19.6, 0, 1000)
	admits := func(tenant relay.Tenant, category int) (n int) {
		for ; n < 10000; n++ {
			p.router.openOnTime = n
			if p.admission.rejects(&trackedRequest{Request: relay.Request{Tenant: tenant, Class: relay.RequestClass(category)}, class: &p.classes[category]}) {
				return n
			}
		}
		return n
	}
	for c := 1; c < len(set.Classes); c++ {
		if less, more := admits(0, c-1), admits(0, c); less >= more {
			t.Errorf("beyond its share, value %d is rejected at %d open, value %d at %d", c, less, c+1, more)
		}
		if beyond, within := admits(0, c), admits(1, c); beyond >= within {
			t.Errorf("value %d: rejected at %d open beyond a share, at %d within", c+1, beyond, within)
		}
	}
}
