package live

import (
	"testing"

	"pgregory.net/rapid"
)

const testRelays = 2

// senderModel calls a sender and tracks the connections and requests, to check its decisions.
type senderModel struct {
	t        *rapid.T
	bounds   Bounds
	sender   *Sender
	inUse    map[connectionKey]int // number of the request in flight on the connection
	open     map[connectionKey]bool
	lastSent [testRelays]int // number of the last request sent to each relay
	due      int             // requests that were due so far, which is the number of the next one
	sent     int
	rejected int
}

// sendOn records that a request is sent. It checks that the connection is free, that it is open or new as the action says,
// and that no request that was due later has been sent to the same relay before.
func (m *senderModel) sendOn(d Decision) {
	key := connectionKey{d.Request.Relay, d.Connection}
	if _, taken := m.inUse[key]; taken {
		m.t.Fatalf("two requests in flight on connection %v", key)
	}
	if d.Action == Reuse && !m.open[key] || d.Action == Open && m.open[key] {
		m.t.Fatalf("action %v for connection %v", d.Action, key)
	}
	if d.Request.Number <= m.lastSent[d.Request.Relay] {
		m.t.Fatalf("request %d is sent after request %d", d.Request.Number, m.lastSent[d.Request.Relay])
	}
	m.lastSent[d.Request.Relay] = d.Request.Number
	m.open[key], m.inUse[key] = true, d.Request.Number
	m.sent++
}

// arrive makes the next request due.
func (m *senderModel) arrive() {
	request := Request{Number: m.due, Relay: rapid.IntRange(0, testRelays-1).Draw(m.t, "relay")}
	m.due++
	switch d := m.sender.Send(request); d.Action {
	case Reuse, Open:
		m.sendOn(d)
	case Reject:
		m.rejected++
	}
}

// finishLowest ends the request on the lowest connection in use. The lowest is chosen because a random order, such as that of
// a map, would make a failure impossible to reproduce.
func (m *senderModel) finishLowest() {
	var lowest connectionKey
	for key := range m.inUse {
		if lowest.connection == 0 || key.relay < lowest.relay || key.relay == lowest.relay && key.connection < lowest.connection {
			lowest = key
		}
	}
	delete(m.inUse, lowest)
	reusable := rapid.Bool().Draw(m.t, "reusable")
	if !reusable {
		delete(m.open, lowest)
	}
	if d := m.sender.Release(lowest.relay, lowest.connection, reusable); d.Action != Wait {
		m.sendOn(d)
	}
}

func (m *senderModel) checkBounds() {
	for relay := range testRelays {
		open := 0
		for key := range m.open {
			if key.relay == relay {
				open++
			}
		}
		waiting := len(m.sender.relays[relay].waiting)
		if open > m.bounds.Connections || waiting > m.bounds.Waiting {
			m.t.Fatalf("relay %d has %d open connections and %d waiting requests, more than %+v allows", relay, open, waiting, m.bounds)
		}
		if waiting > 0 && len(m.inUse) == 0 {
			m.t.Fatal("a request waits although none is in flight")
		}
	}
}

// TestSenderKeepsOrderAndBounds checks a sender with random sequences of arrivals, responses and broken connections: a
// connection has at most one request in flight, requests to a relay are sent in order, the bounds hold, and every request is
// sent once, rejected or still waiting at the end.
func TestSenderKeepsOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Connections: rapid.IntRange(1, 4).Draw(t, "connections"), Waiting: rapid.IntRange(0, 5).Draw(t, "waiting"), LateAfter: 1, MaxLateShare: 0.5}
		m := &senderModel{t: t, bounds: bounds, sender: NewSender(testRelays, bounds), inUse: map[connectionKey]int{},
			open: map[connectionKey]bool{}, lastSent: [testRelays]int{-1, -1}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "arrives") || len(m.inUse) == 0 {
				m.arrive()
			} else {
				m.finishLowest()
			}
			m.checkBounds()
		}
		if waiting := len(m.sender.DropWaiting()); m.sent+m.rejected+waiting != m.due {
			t.Fatalf("%d requests sent, %d rejected and %d waiting, of %d", m.sent, m.rejected, waiting, m.due)
		}
	})
}

// TestLatenessMakesARunInvalid guards against a run in which the delays of a slow sender are reported as delays of the relays.
func TestLatenessMakesARunInvalid(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay float64 // seconds
		count int     // requests of 100 that are sent with this delay
		valid bool    // expected
	}{
		{"all within LateAfter", 0.005, 100, true},
		{"as many late as are allowed", 0.02, 1, true},
		{"one more late than allowed", 0.02, 2, false},
		{"all very late", 5, 100, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSender(1, Bounds{Connections: 1, Waiting: 1, LateAfter: 0.01, MaxLateShare: 0.01})
			for i := range 100 {
				request := Request{Number: i, Due: float64(i)}
				now := request.Due
				if i < c.count {
					now += c.delay
				}
				s.RecordSent(request, now)
			}
			if l := s.Lateness(); (l.Invalid == "") != c.valid || l.Sent != 100 {
				t.Errorf("got %+v, want valid %t and 100 sent", l, c.valid)
			}
		})
	}
	t.Run("a rejected request", func(t *testing.T) {
		s := NewSender(1, Bounds{Connections: 0, Waiting: 0, LateAfter: 1, MaxLateShare: 0})
		if d := s.Send(Request{}); d.Action != Reject || s.Lateness().Invalid == "" {
			t.Error("the request was not rejected, or the run is valid although it was")
		}
	})
}
