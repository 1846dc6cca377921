package lab

import (
	"math"
	"testing"
)

// TestTail counts as the brief does: in full up to 3 misses in 100, nothing from 15 on; a denial in due time is no miss.
func TestTail(t *testing.T) {
	for _, c := range []struct {
		missed, denied int
		want           float64
	}{{0, 0, 1}, {3, 0, 0.97}, {9, 0, 0.91 * 0.5}, {15, 0, 0}, {50, 0, 0}, {0, 40, 0.6}, {3, 40, 0.57 * (5 - 5.0/3) / 4}} {
		y := NewTally([]string{"a"})
		for i := range 100 {
			q := CountedRequest{At: 7, Work: 1}
			y.RequestArrived(q, 0)
			switch {
			case i < c.missed:
				y.RequestEnded(q, 20, RequestSucceeded)
			case i < c.missed+c.denied:
				y.RequestEnded(q, 7.1, RequestRejected)
			default:
				y.RequestEnded(q, 7.1, RequestSucceeded)
			}
		}
		if got := y.Result().Tail; math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%+v: %g", c, got)
		}
	}
	y := NewTally([]string{"a"})
	for i := range 10000 { // an hour and more: cells are counted once, and the ring stays
		q := CountedRequest{At: float64(i) * 0.5, Work: 1}
		y.RequestArrived(q, 0)
		y.RequestEnded(q, q.At+0.1, RequestSucceeded)
	}
	if r := y.Result(); r.Tail != 1 || math.Abs(r.Score-1) > 1e-9 {
		t.Errorf("%+v", r)
	}
}
