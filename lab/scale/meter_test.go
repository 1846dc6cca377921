package scale

import (
	"math"
	"runtime"
	"testing"

	"lichenroad/relay"
)

// messageCount counts the messages that a relay receives and sends, independently of its meter.
type messageCount struct {
	classes [classCount]traffic
	votes   int
}

func (c *messageCount) addReceived(class class, bytes int) {
	c.classes[class].messagesIn++
	c.classes[class].bytesIn += int64(bytes)
}

func (c *messageCount) addSent(class class, bytes int) {
	c.classes[class].messagesOut++
	c.classes[class].bytesOut += int64(bytes)
}

// countInputs counts the messages that a relay receives in its next tick.
func (c *messageCount) countInputs(h *hollowRelay) {
	for _, d := range h.inbox {
		c.addReceived(d.class, len(d.body)+28)
	}
	for _, a := range h.pollAnswers {
		if a.poll != noPoll {
			c.addReceived(discoveryClass, len(a.answer.body)+answerHeadBytes)
		}
	}
	for _, s := range h.statusLines {
		c.addReceived(platformClass, len(s.line))
	}
}

// countOutputs counts the messages that a relay sent in its last tick. It does not count the bytes of polls, because the send
// queue does not contain their text.
func (c *messageCount) countOutputs(h *hollowRelay) {
	for _, d := range h.sendQueue.datagrams {
		c.addSent(d.class, len(d.body)+28)
		if d.to == relay.Broadcast {
			c.classes[d.class].broadcasts++
		}
	}
	for _, line := range h.sendQueue.votes {
		c.addSent(platformClass, len(line))
		c.votes++
	}
	c.classes[discoveryClass].messagesOut += int64(len(h.sendQueue.polls))
}

// checkMeter compares the counts with a relay's meter. For the bytes of polls it checks only a lower bound.
func (c *messageCount) checkMeter(t *testing.T, index int, m *meter, seconds float64) {
	t.Helper()
	got := m.classes
	got[discoveryClass].bytesOut = 0
	if got != c.classes {
		t.Errorf("relay %d: the meter shows %+v, counted %+v", index, got, c.classes)
	}
	if m.classes[discoveryClass].bytesOut < 70*got[discoveryClass].messagesOut {
		t.Errorf("relay %d: only %d bytes in %d polls", index, m.classes[discoveryClass].bytesOut, got[discoveryClass].messagesOut)
	}
	if math.Abs(m.aliveSeconds-seconds) > 1e-6 {
		t.Errorf("relay %d ran for %g s, want %g s", index, m.aliveSeconds, seconds)
	}
}

// datagramBytesIn returns the bytes of all received datagrams.
func (c *messageCount) datagramBytesIn() int64 {
	return c.classes[policyClass].bytesIn + c.classes[membershipClass].bytesIn
}

// TestMetersMatchIndependentCounts simulates a small fleet tick by tick and counts all messages independently of the meters.
func TestMetersMatchIndependentCounts(t *testing.T) {
	const relays, rate, seconds = 6, 40.0, 24.0
	runtime.LockOSThread() // processor time is measured per thread
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
		t.Errorf("meters show %d received datagrams, the network delivered %d", delivered, sim.network.counts.Delivered)
	}
	if votes == 0 {
		t.Error("no relay sent a vote")
	}
	if mean := float64(received) / relays / seconds; math.Abs(mean-rate) > 1.5 {
		t.Errorf("mean of %g requests per second at each relay, want about %g", mean, rate)
	}
	r := sim.result()
	if r.Requests.Received != received || r.Requests.Attempts != attempts {
		t.Errorf("requests in the result: %+v, want %d received and %d attempts", r.Requests, received, attempts)
	}
	if q := r.Requests; q.Succeeded+q.Rejected+q.Failed+q.ClientsDisconnected+q.Open != q.Received {
		t.Errorf("results do not add up to the received requests: %+v", q)
	}
	checkAggregators(t, r, counts, seconds)
}

// checkAggregators compares the figures of the aggregators, the first four relays, with their counts.
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
			t.Errorf("aggregators receive %g bytes per second, counted %g", role.BytesIn.Mean, want)
		}
		if !(role.CPUShare.Mean > 0) || !(role.HeapMB.Mean > 0) || role.HeapsMeasured != 4 {
			t.Errorf("figures of the aggregators are incomplete: %+v", role)
		}
		return
	}
	t.Errorf("no role with four hosted aggregators: %+v", r.Roles)
}
