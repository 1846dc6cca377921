package lab

import (
	"math"
	"testing"
)

// TestTail checks that served weight counts in full up to 3 misses in 100 requests and not at all from 15 on, that a
// rejection in time is no miss, and that each cell is counted once over more than an hour.
func TestTail(t *testing.T) {
	for _, test := range []struct {
		missed, rejected int
		want             float64
	}{{0, 0, 1}, {3, 0, 0.97}, {9, 0, 0.91 * 0.5}, {15, 0, 0}, {50, 0, 0}, {0, 40, 0.6}, {3, 40, 0.57 * (5 - 5.0/3) / 4}} {
		tally := NewTally([]string{"a"})
		for i := range 100 {
			request := CountedRequest{At: 7, Work: 1}
			tally.RequestArrived(request, 0)
			switch {
			case i < test.missed:
				tally.RequestEnded(request, 20, RequestSucceeded)
			case i < test.missed+test.rejected:
				tally.RequestEnded(request, 7.1, RequestRejected)
			default:
				tally.RequestEnded(request, 7.1, RequestSucceeded)
			}
		}
		if got := tally.Result().Tail; math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%+v: the tail is %g", test, got)
		}
	}
	tally := NewTally([]string{"a"})
	for i := range 10000 { // more than an hour, so each place in the ring is used again many times
		request := CountedRequest{At: float64(i) * 0.5, Work: 1}
		tally.RequestArrived(request, 0)
		tally.RequestEnded(request, request.At+0.1, RequestSucceeded)
	}
	if result := tally.Result(); result.Tail != 1 || math.Abs(result.Score-1) > 1e-9 {
		t.Errorf("%+v", result)
	}
}
