package pipeline

import (
	"testing"

	"lichenroad/relay"
)

// TestEndedAttemptLeavesNoTimer guards against memory that grows with requests whose clients would wait for a day.
func TestEndedAttemptLeavesNoTimer(t *testing.T) {
	l, env := newLoop(t)
	request := beginRequest(t, l, env)
	l.execute(relay.SendAttempt{Request: request.ID, Endpoint: 1})
	if len(l.timers) != 1 {
		t.Fatalf("%d timers for an attempt", len(l.timers))
	}
	l.EndAttempt(env.sent[0], AttemptResult{Outcome: relay.Succeeded, Response: l.Pool.Filled([]byte("T"))})
	if len(l.timers) != 0 {
		t.Errorf("%d timers are left", len(l.timers))
	}
}

// TestStoppedTimerDoesNotFire guards against a stopped timer that fires, or takes another one with it.
func TestStoppedTimerDoesNotFire(t *testing.T) {
	l, _ := newLoop(t)
	now := l.Clock.Now()
	var fired []int
	var timers []*Timer
	for i := range 10 {
		timers = append(timers, l.RunAt(now-float64(i), func() { fired = append(fired, i) }))
	}
	l.StopTimer(timers[3])
	l.StopTimer(timers[3])
	l.StopTimer(nil)
	l.fireTimers()
	l.StopTimer(timers[4])
	if len(fired) != 9 || fired[0] != 9 || fired[8] != 0 || len(l.timers) != 0 {
		t.Errorf("fired %v, %d timers are left", fired, len(l.timers))
	}
}
