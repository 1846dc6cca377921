package live

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSenderKeepsOrderAndBounds drives a sender with any mix of arrivals, answers and breaks: no lane carries two queries
// at once, nobody overtakes at a relay, the bounds hold, and every job goes out once or is told not to.
func TestSenderKeepsOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{Lanes: rapid.IntRange(1, 4).Draw(t, "lanes"), Waiting: rapid.IntRange(0, 5).Draw(t, "waiting"), LateAfter: 1, LateShare: 0.5}
		const relays = 2
		s := NewSender(relays, b)
		type out struct {
			relay int
			lane  Lane
		}
		busy := map[out]int{}
		open := map[out]bool{}
		last := [relays]int{-1, -1}
		given, went, refused := 0, 0, 0
		carry := func(j Job, act Act, l Lane) {
			o := out{j.Relay, l}
			if _, taken := busy[o]; taken {
				t.Fatalf("lane %v carries two", o)
			}
			if act == Reuse && !open[o] || act == Open && open[o] {
				t.Fatalf("%v of lane %v", act, o)
			}
			if j.No <= last[j.Relay] {
				t.Fatalf("job %d overtaken by %d", j.No, last[j.Relay])
			}
			last[j.Relay] = j.No
			open[o], busy[o] = true, j.No
			went++
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "arrives") || len(busy) == 0 {
				j := Job{No: given, Relay: rapid.IntRange(0, relays-1).Draw(t, "relay")}
				given++
				switch act, l := s.Due(j); act {
				case Reuse, Open:
					carry(j, act, l)
				case Refuse:
					refused++
				}
			} else {
				var one out
				for o := range busy { // the lowest: a map has no order
					if one.lane == 0 || o.relay < one.relay || o.relay == one.relay && o.lane < one.lane {
						one = o
					}
				}
				delete(busy, one)
				kept := rapid.Bool().Draw(t, "kept")
				if !kept {
					delete(open, one)
				}
				if j, act, l := s.Free(one.relay, one.lane, kept); act != Hold {
					carry(j, act, l)
				}
			}
			for r := range relays {
				n := 0
				for o := range open {
					if o.relay == r {
						n++
					}
				}
				if n > b.Lanes || len(s.relays[r].waiting) > b.Waiting {
					t.Fatalf("%d lanes, %d wait", n, len(s.relays[r].waiting))
				}
				if len(s.relays[r].waiting) > 0 && len(busy) == 0 {
					t.Fatal("a job waits and nothing is out")
				}
			}
		}
		if waiting := len(s.Drop()); went+refused+waiting != given {
			t.Fatalf("%d went, %d refused, %d waited of %d", went, refused, waiting, given)
		}
	})
}

// TestLatenessMakesARunInvalid: what a slow sender did must not be told as the relays' doing.
func TestLatenessMakesARunInvalid(t *testing.T) {
	for _, c := range []struct {
		late  float64
		of    int
		valid bool
	}{{0.005, 100, true}, {0.02, 1, true}, {0.02, 2, false}, {5, 100, false}} {
		s := NewSender(1, Bounds{Lanes: 1, Waiting: 1, LateAfter: 0.01, LateShare: 0.01})
		for i := range 100 {
			j := Job{No: i, Due: float64(i)}
			now := j.Due
			if i < c.of {
				now += c.late
			}
			s.Went(j, now)
		}
		if l := s.Lateness(); (l.Invalid == "") != c.valid || l.Sent != 100 {
			t.Errorf("%+v: %+v", c, l)
		}
	}
	s := NewSender(1, Bounds{Lanes: 0, Waiting: 0, LateAfter: 1, LateShare: 0})
	if act, _ := s.Due(Job{}); act != Refuse || s.Lateness().Invalid == "" {
		t.Error("an unsent query is not told")
	}
}
