package membership

import (
	"bytes"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"lichenroad/relay"
)

func TestDroppedMessages(t *testing.T) {
	good := heartbeat(newRestartedNode().version, 10, Never)
	for name, received := range map[string]MessageReceived{
		"from itself":           {0, good},
		"empty":                 {1, nil},
		"unknown kind":          {1, []byte{messageMagic, 7}},
		"truncated":             {1, good[:len(good)-1]},
		"trailing bytes":        {1, append(slices.Clone(good), 0)},
		"too long":              {1, append(slices.Clone(good), make([]byte, maxDatagramBytes)...)},
		"delta with zero parts": {1, message{version: listVersion{6, 0}, delta: &delta{parts: 0}}.encode()},
	} {
		t.Run(name, func(t *testing.T) {
			n := newRestartedNode()
			out := n.Step(10.5, received)
			if c := n.Counters(); out.LeaseExpiresAt != 0 || c.Unreadable != 1 || c.Received != 0 {
				t.Errorf("the message was not dropped: output %+v, counters %+v", out, c)
			}
		})
	}
}

func TestNoMessagesWhereSettingsForbidThem(t *testing.T) {
	set := testSettings(0, 4)
	set.PeerMessages = false
	n := New(set, 1)
	n.Step(0, CachedList{fullList(5, 1, 2)})
	n.Step(1, PollAnswered{fullList(6, 1)})
	for i := range 100 {
		out := n.Step(2+relay.Seconds(i), MessageReceived{1, heartbeat(versionOf(fullList(5, 1, 2)), Never, Never)})
		if len(out.Messages) != 0 || out.TimerAt != Never {
			t.Fatalf("messages or a timer although messages are disabled: %+v", out)
		}
	}
}

func TestSentBytesStayWithinTheBudgetUnderLoad(t *testing.T) {
	const seconds = 30
	random := rand.New(rand.NewSource(1))
	n := New(testSettings(0, 300), 1)
	n.Step(0, PollAnswered{fullList(1, endpointRange(1, 2000)...)})
	var older []listVersion
	for generation := int64(2); generation < 12; generation++ {
		older = append(older, n.version)
		n.Step(0, PollAnswered{fullList(generation, endpointRange(relay.EndpointID(generation*60), 2000)...)})
	}
	bodies := [][]byte{heartbeat(n.version, Never, Never), heartbeat(listVersion{1000, 1}, 1, 1), heartbeat(listVersion{n.version.generation, 1}, 1, 1)}
	for _, v := range older {
		bodies = append(bodies, heartbeat(v, Never, Never))
	}
	sent, datagrams := 0, 0
	for ms := range seconds * 1000 {
		received := MessageReceived{relay.ID(1 + random.Intn(299)), bodies[random.Intn(len(bodies))]}
		for _, body := range n.Step(relay.Seconds(ms)/1000, received).Messages {
			sent += len(body) + datagramHeaderBytes
			datagrams++
		}
	}
	if upperBound := burstBytes + bytesPerSecond*seconds; sent > upperBound || datagrams < 100 {
		t.Fatalf("sent %d bytes in %d datagrams, want at most %d bytes in at least 100 datagrams", sent, datagrams, upperBound)
	}
}

// answerEvery schedules an answer from discovery to each relay every ten seconds, with the relays spread evenly over that
// time.
func answerEvery(b *bus, list List, seconds int) {
	for i := range b.relays {
		for round := range seconds / 10 {
			at := relay.Seconds(round*10) + 10*relay.Seconds(i)/relay.Seconds(len(b.relays))
			update := List{Generation: list.Generation}
			if round == 0 {
				update = list
			}
			b.at(at, func() { b.step(i, PollAnswered{update}) })
		}
	}
}

func TestHeartbeatRateIsIndependentOfFleetSize(t *testing.T) {
	for _, relays := range []int{300, 4300} {
		t.Run(fmt.Sprintf("%d relays", relays), func(t *testing.T) {
			b := newBus(t, relays)
			answerEvery(b, fullList(5, endpointRange(1, 20)...), 30)
			b.run(30)
			heartbeats, deltas := b.count(10)
			t.Logf("%.2f heartbeats per second", float64(heartbeats)/20)
			if heartbeats < 20 || heartbeats > 200 || deltas > 0 {
				t.Errorf("%d heartbeats and %d deltas in 20 s, want 20 to 200 heartbeats and no delta", heartbeats, deltas)
			}
		})
	}
}

func TestFewDeltasUpdateARestartingFleet(t *testing.T) {
	b := newBus(t, 300)
	older, newer := fullList(5, endpointRange(1, 100)...), fullList(6, endpointRange(34, 100)...)
	for i := range b.relays {
		b.step(i, PollAnswered{older})
	}
	for i := 210; i < 300; i++ {
		b.at(10+relay.Seconds(i)/100, func() { b.step(i, PollAnswered{newer}) })
	}
	b.at(15, func() {
		for i := range 210 {
			b.restart(i)
			b.step(i, CachedList{older})
		}
	})
	b.run(17)
	for i, n := range b.relays[:210] {
		if n.version != versionOf(newer) || len(n.removed) != 33 || n.leaseExpiresAt < 17 {
			t.Fatalf("relay %d: version %v, %d endpoints removed, lease until %v", i, n.version, len(n.removed), n.leaseExpiresAt)
		}
	}
	b.run(25)
	heartbeats, deltas := b.count(15)
	t.Logf("%d heartbeats and %d delta datagrams in 10 s", heartbeats, deltas)
	if deltas > 40 || heartbeats > 100 {
		t.Errorf("%d heartbeats and %d delta datagrams in 10 s, want at most 100 and 40", heartbeats, deltas)
	}
}

func TestStepsWithOneSeedAreEqual(t *testing.T) {
	var sent [2][]busMessage
	for k := range sent {
		b := newBus(t, 5)
		answerEvery(b, fullList(5, 1, 2), 20)
		b.run(20)
		sent[k] = b.sent
	}
	same := func(a, b busMessage) bool {
		return a.sentAt == b.sentAt && a.from == b.from && bytes.Equal(a.body, b.body)
	}
	if len(sent[0]) == 0 || !slices.EqualFunc(sent[0], sent[1], same) {
		t.Fatalf("two runs with the same seed sent different messages, or none: %d and %d messages", len(sent[0]), len(sent[1]))
	}
}
