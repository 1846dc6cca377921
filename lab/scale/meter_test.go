package scale

import (
	"math"
	"runtime"
	"testing"

	"lichenroad/relay"
)

// messageCount counts what a relay receives and sends, independently of its meter.
type messageCount struct {
	classes [classCount]traffic
	votes   int
}

func (c *messageCount) in(k class, bytes int) {
	c.classes[k].messagesIn++
	c.classes[k].bytesIn += int64(bytes)
}

func (c *messageCount) out(k class, bytes int) {
	c.classes[k].messagesOut++
	c.classes[k].bytesOut += int64(bytes)
}

// countInputs counts what a relay receives in its next tick.
func (c *messageCount) countInputs(h *hollowRelay) {
	for _, d := range h.inbox {
		c.in(d.class, len(d.body)+28)
	}
	for _, a := range h.pollAnswers {
		if a.poll != noPoll {
			c.in(discoveryClass, len(a.answer.body)+answerHeadBytes)
		}
	}
	for _, s := range h.statusLines {
		c.in(platformClass, len(s.line))
	}
}

// countOutputs counts what a relay sent in its last tick. The text of polls is not in the send queue.
func (c *messageCount) countOutputs(h *hollowRelay) {
	for _, d := range h.sendQueue.datagrams {
		c.out(d.class, len(d.body)+28)
		if d.to == relay.Broadcast {
			c.classes[d.class].broadcasts++
		}
	}
	for _, line := range h.sendQueue.votes {
		c.out(platformClass, len(line))
		c.votes++
	}
	c.classes[discoveryClass].messagesOut += int64(len(h.sendQueue.polls))
}

// checkMeter compares the count with a relay's meter.
func (c *messageCount) checkMeter(t *testing.T, index int, m *meter, seconds float64) {
	t.Helper()
	got := m.classes
	got[discoveryClass].bytesOut = 0
	if got != c.classes {
		t.Errorf("relay %d: meters %+v, by hand %+v", index, got, c.classes)
	}
	if m.classes[discoveryClass].bytesOut < 70*got[discoveryClass].messagesOut {
		t.Errorf("relay %d: %d bytes in %d polls", index, m.classes[discoveryClass].bytesOut, got[discoveryClass].messagesOut)
	}
	if math.Abs(m.aliveSeconds-seconds) > 1e-6 {
		t.Errorf("relay %d ran for %g s", index, m.aliveSeconds)
	}
}

// datagramBytesIn returns the bytes of all datagrams in.
func (c *messageCount) datagramBytesIn() int64 {
	return c.classes[policyClass].bytesIn + c.classes[membershipClass].bytesIn
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
	counts := make([]messageCount, len(sim.hollowRelays))
	for n := range int64(seconds / tick) {
		from, to := float64(n)*tick, float64(n+1)*tick
		sim.beginTick(n, from)
		for i, h := range sim.hollowRelays {
			counts[i].countInputs(h)
			h.advance(from, to)
			counts[i].countOutputs(h)
		}
		sim.collectOutput(to)
	}
	votes, delivered, received, attempts := 0, int64(0), int64(0), int64(0)
	for i, h := range sim.hollowRelays {
		counts[i].checkMeter(t, i, &h.meter, seconds)
		votes += counts[i].votes
		delivered += h.meter.classes[policyClass].messagesIn + h.meter.classes[membershipClass].messagesIn
		received += h.meter.requests.Received
		attempts += h.meter.requests.Attempts
	}
	if delivered == 0 || delivered != sim.network.counts.Delivered {
		t.Errorf("%d datagrams in meters, the network delivered %d", delivered, sim.network.counts.Delivered)
	}
	if votes == 0 {
		t.Error("nobody voted")
	}
	if mean := float64(received) / relays / seconds; math.Abs(mean-rate) > 1.5 {
		t.Errorf("%g requests a second at each relay", mean)
	}
	r := sim.result()
	if r.Requests.Received != received || r.Requests.Attempts != attempts {
		t.Errorf("%+v", r.Requests)
	}
	if q := r.Requests; q.Succeeded+q.Rejected+q.Failed+q.ClientsDisconnected+q.Open != q.Received {
		t.Errorf("requests without an end: %+v", q)
	}
	checkAggregators(t, r, counts, seconds)
}

// checkAggregators compares the figures of the four aggregators, the first relays, with their counts.
func checkAggregators(t *testing.T, r *Result, counts []messageCount, seconds float64) {
	t.Helper()
	for _, role := range r.Roles {
		if role.Name != aggregatorRole || role.Hosted != 4 {
			continue
		}
		sum := int64(0)
		for i := range 4 {
			sum += counts[i].datagramBytesIn()
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
