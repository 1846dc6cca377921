package scale

import (
	"math"
	"runtime"
	"testing"

	"lichenroad/relay"
)

// manualCount counts what a relay receives and sends, independently of its meter.
type manualCount struct{ classes [classCount]traffic }

func (c *manualCount) in(k class, bytes int) {
	c.classes[k].messagesIn++
	c.classes[k].bytesIn += int64(bytes)
}

func (c *manualCount) out(k class, bytes int) {
	c.classes[k].messagesOut++
	c.classes[k].bytesOut += int64(bytes)
}

// TestMetersAgainstAHandCount simulates a small fleet tick by tick and counts all messages independently of the meters.
func TestMetersAgainstAHandCount(t *testing.T) {
	const relays, rate, seconds = 6, 40.0, 24.0
	runtime.LockOSThread() // processor time is counted by thread
	defer runtime.UnlockOSThread()
	sim, err := newSimulation(smallOptions(Wide, func(o *Options) { o.Relays, o.Endpoints, o.Rate, o.Seconds = relays, 12, rate, seconds }))
	if err != nil {
		t.Fatal(err)
	}
	counts := make([]manualCount, len(sim.hollowRelays))
	votes, taken, attempts := 0, int64(0), int64(0)
	for n := range int64(seconds / tick) {
		from, to := float64(n)*tick, float64(n+1)*tick
		sim.beginTick(n, from)
		for i, h := range sim.hollowRelays {
			c := &counts[i]
			for _, d := range h.inbox {
				c.in(d.class, len(d.body)+28)
			}
			for _, a := range h.pollAnswers {
				if a.poll != 0 {
					c.in(discoveryClass, len(a.answer.body)+answerHeadBytes)
				}
			}
			for _, x := range h.statusLines {
				c.in(platformClass, len(x.line))
			}
			h.advance(from, to)
			for _, x := range h.sendQueue.datagrams {
				c.out(x.class, len(x.body)+28)
				if x.to == relay.Broadcast {
					c.classes[x.class].broadcasts++
				}
			}
			for _, x := range h.sendQueue.votes {
				c.out(platformClass, len(x))
				votes++
			}
			for range h.sendQueue.polls {
				c.classes[discoveryClass].messagesOut++
			}
		}
		sim.collectOutput(to)
	}
	delivered := int64(0)
	for i, h := range sim.hollowRelays {
		got := h.meter.classes
		got[discoveryClass].bytesOut = 0 // the text of polls is not in the send queue
		if got != counts[i].classes {
			t.Errorf("relay %d: meters %+v, by hand %+v", i, got, counts[i].classes)
		}
		if h.meter.classes[discoveryClass].bytesOut < 70*got[discoveryClass].messagesOut {
			t.Errorf("relay %d: %d bytes in %d polls", i, h.meter.classes[discoveryClass].bytesOut, got[discoveryClass].messagesOut)
		}
		if math.Abs(h.meter.aliveSeconds-seconds) > 1e-6 {
			t.Errorf("relay %d ran for %g s", i, h.meter.aliveSeconds)
		}
		delivered += got[policyClass].messagesIn + got[membershipClass].messagesIn
		taken += h.meter.requests.Received
		attempts += h.meter.requests.Attempts
	}
	if delivered == 0 || delivered != sim.network.counts.Delivered {
		t.Errorf("%d datagrams in meters, the network delivered %d", delivered, sim.network.counts.Delivered)
	}
	if votes == 0 {
		t.Error("nobody voted")
	}
	if mean := float64(taken) / relays / seconds; math.Abs(mean-rate) > 1.5 {
		t.Errorf("%g requests a second at each relay", mean)
	}
	r := sim.result()
	if r.Requests.Received != taken || r.Requests.Attempts != attempts {
		t.Errorf("%+v", r.Requests)
	}
	if q := r.Requests; q.Succeeded+q.Rejected+q.Failed+q.ClientsDisconnected+q.Open != q.Received {
		t.Errorf("requests without an end: %+v", q)
	}
	for _, role := range r.Roles {
		if role.Name != aggregatorRole || role.Measured != 4 {
			continue
		}
		sum := int64(0)
		for i := range 4 {
			sum += counts[i].classes[policyClass].bytesIn + counts[i].classes[membershipClass].bytesIn
		}
		if want := float64(sum) / 4 / seconds; math.Abs(role.BytesIn.Mean-want) > 1e-6*want {
			t.Errorf("aggregators receive %g bytes a second, by hand %g", role.BytesIn.Mean, want)
		}
		if !(role.CPUShare.Mean > 0) || !(role.HeapMB.Mean > 0) || role.HeapsMeasured != 4 {
			t.Errorf("%+v", role)
		}
		return
	}
	t.Errorf("no four aggregators: %+v", r.Roles)
}
