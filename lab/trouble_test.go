package lab

import "testing"

// troubled replays an even stream in some trouble.
func troubled(t *testing.T, change func(*ReplayOptions), each func(i int, a *Arrival)) Replayed {
	t.Helper()
	o := ReplayOptions{Seed: 3, Relays: 3, Units: 8, Categories: []string{"next-turn", "full-route", "stop-done", "reassign"}, Customers: []string{"a", "b"}}
	change(&o)
	r, err := NewReplay(o)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4000 {
		a := Arrival{At: float64(i) * 0.02, Category: i % 4, Customer: i % 2, Work: 0.1, Relay: uint64(i)}
		if each != nil {
			each(i, &a)
		}
		r.Play(a)
	}
	return r.End()
}

// TestTroubles: each one shows in the figures, none breaks a rule, and the module does better in it than a plain balancer
// where there is something to see and to go round.
func TestTroubles(t *testing.T) {
	calm := troubled(t, func(*ReplayOptions) {}, nil)
	for _, name := range Troubles() {
		with := func(o *ReplayOptions) { o.Trouble = troubles[name] }
		got, again := troubled(t, with, nil), troubled(t, with, nil)
		if got.Hash != again.Hash {
			t.Errorf("%s: not the same twice", name)
		}
		if len(got.Broken) > 0 {
			t.Errorf("%s: %+v", name, got.Broken[0])
		}
		if name != "none" && name != "memos" && got.Hash == calm.Hash {
			t.Errorf("%s does nothing", name)
		}
		plain, _ := Baseline("random")
		less := troubled(t, func(o *ReplayOptions) { with(o); o.Module = plain }, nil)
		if (name == "slow" || name == "failing") && less.All.Service >= got.All.Service {
			t.Errorf("%s: %.4f, a plain balancer %.4f", name, got.All.Service, less.All.Service)
		}
		t.Logf("%s: %.4f, a plain balancer %.4f", name, got.All.Service, less.All.Service)
	}
	if _, err := TroubleOf("moon"); err == nil {
		t.Error("a trouble of any name")
	}
}

// TestHoursOfATrace: a failure of the trace has its machine's planner fail, for as long as the mapping says.
func TestHoursOfATrace(t *testing.T) {
	calm := troubled(t, func(*ReplayOptions) {}, nil)
	hours := func(last float64) Replayed {
		return troubled(t, func(*ReplayOptions) {}, func(i int, a *Arrival) {
			if i%400 == 0 {
				a.Machine, a.BadFor, a.BadPart = uint64(i)*0x9e3779b97f4a7c15, last, 0.9
			}
		})
	}
	short, long := hours(0.5), hours(6)
	if calm.WrittenOff > 0 || short.WrittenOff == 0 || long.WrittenOff == 0 || long.Legs <= calm.Legs || len(long.Broken) > 0 {
		t.Errorf("%d, %d, %d written off", calm.WrittenOff, short.WrittenOff, long.WrittenOff)
	}
}

// TestALongQueryPushesNobodyOver: the checker took every leg at a cold planner for as long as the last one, so that a
// long query among short ones broke rule 4 alone.
func TestALongQueryPushesNobodyOver(t *testing.T) {
	for seed := range 4 {
		got := troubled(t, func(o *ReplayOptions) { o.Trouble, o.Seed, o.Relays = troubles["dying"], int64(seed+1), 20 }, func(i int, a *Arrival) {
			if a.At, a.Work = float64(i)*0.004, 0.04; i%25 == 0 {
				a.Work = 1.5
			}
		})
		if len(got.Broken) > 0 {
			t.Errorf("seed %d: %+v", seed+1, got.Broken[0])
		}
	}
}
