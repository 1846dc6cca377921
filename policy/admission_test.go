package policy

import (
	"testing"

	"lichenroad/relay"
)

// Open attempts at an endpoint that never answered used to fill the admission limit, so that requests were rejected which
// the other endpoints could have answered.
func TestUnansweredAttemptsDoNotStopAdmission(t *testing.T) {
	w := newWorld(t, testSettings())
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
		t.Errorf("%d of %d requests were rejected", w.rejected, w.nextID)
	}
}

// The admission limit used to depend only on the mean rate of answers over 2 s, so that after a quiet period a burst was
// rejected while endpoints were idle.
func TestAdmissionOpensInABurst(t *testing.T) {
	p := New(testSettings(), 1)
	for p.now = 10; p.now < 12; p.now += 0.25 {
		p.admission.answered.Add(p.now, 0, 1) // four answers a second, with a latency objective of 1 s
	}
	quiet := p.admission.limit()
	for p.now = 12; p.now < 12.49; p.now += 0.01 {
		p.admission.answered.Add(p.now, 0, 1) // a hundred answers a second
	}
	burst := p.admission.limit()
	p.now = 13.75 // the burst is over and nothing has been answered since, so only the mean over 2 s counts
	afterBurst, mean := p.admission.limit(), spareRequests+maxObjectiveUsage*p.admission.answered.Total(p.now, 0)/(trafficBucketTime*trafficBuckets)
	if quiet > spareRequests+4 || burst < spareRequests+20 || afterBurst != mean {
		t.Errorf("limit %.1f before the burst, %.1f in it, %.1f after it (wanted %.1f)", quiet, burst, afterBurst, mean)
	}
}

// All classes except the lowest used to have the same limit for a tenant above its traffic share. A burst, which mostly
// comes from one tenant, was then served in the order of arrival and not by priority.
func TestPriorityCountsAboveATrafficShare(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []relay.TenantSettings{{TrafficShare: 0.5}, {TrafficShare: 0.5}}
	for i := range settings.Classes {
		settings.Classes[i].PriorityWeight = float64(i + 1)
	}
	p := New(settings, 1)
	p.now = 20
	p.admission.answered.Add(19.6, 0, 1000)
	admits := func(tenant relay.Tenant, class int) (n int) {
		for ; n < 10000; n++ {
			p.router.openOnTime = n
			if p.admission.rejects(&trackedRequest{Request: relay.Request{Tenant: tenant, Class: relay.RequestClass(class)}, class: &p.classes[class]}) {
				return n
			}
		}
		return n
	}
	for class := 1; class < len(settings.Classes); class++ {
		if lower, higher := admits(0, class-1), admits(0, class); lower >= higher {
			t.Errorf("above the traffic share: priority weight %d is rejected from %d open requests on, weight %d from %d", class, lower, class+1, higher)
		}
		if above, within := admits(0, class), admits(1, class); above >= within {
			t.Errorf("priority weight %d: rejected from %d open requests on above the traffic share, from %d below it", class+1, above, within)
		}
	}
}
