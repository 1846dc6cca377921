package window_test

import (
	"math"
	"testing"

	"lichenroad/policy/window"
)

func TestSlidingDropsOldBuckets(t *testing.T) {
	w := window.NewSliding(0.5, 4, 2)
	if !w.Idle(0) || w.Total(0, 0) != 0 {
		t.Fatal("an empty window is not idle, or its total is not 0")
	}
	w.Add(0.1, 0, 1)
	w.Add(0.6, 0, 2)
	w.Add(0.7, 1, 8)
	for _, c := range []struct {
		name     string
		now      float64
		column   int
		from, to int
		want     float64
	}{
		{"all buckets", 0.7, 0, 0, 4, 3},
		{"newest bucket", 0.7, 0, 0, 1, 2},
		{"previous bucket", 0.7, 0, 1, 2, 1},
		{"other column", 0.7, 1, 0, 4, 8},
		{"more buckets than exist", 0.7, 0, 0, 100, 3},
		{"first bucket dropped", 2.1, 0, 0, 4, 2},
		{"all buckets dropped", 2.6, 0, 0, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := w.Sum(c.now, c.column, c.from, c.to); got != c.want {
				t.Errorf("sum %v, want %v", got, c.want)
			}
		})
	}
	w.Add(3, 0, 1)
	if w.Idle(4.9) || !w.Idle(5.1) {
		t.Error("Idle is true within the window's duration, or false after it")
	}
	if _, ok := w.Bucket(7); ok {
		t.Error("Bucket returned a bucket from before time 0")
	}
	w.Reset()
	if !w.Idle(3) || w.Total(3, 0) != 0 {
		t.Error("the window is not empty after Reset")
	}
}

func TestMeanIsPlainThenExponentiallyWeighted(t *testing.T) {
	var m window.Mean
	for _, sample := range []float64{1, 2, 3, 4} {
		m.Add(sample, 0.1)
	}
	if m.Value != 2.5 || m.Samples != 4 {
		t.Errorf("mean of four samples: %+v, want the plain mean 2.5", m)
	}
	for range 1000 {
		m.Add(9, 0.1)
	}
	if math.Abs(m.Value-9) > 1e-9 {
		t.Errorf("mean after 1000 samples of 9: %+v", m)
	}
}
