// Package window keeps statistics of the recent past: sums over a sliding time window, and running means that give
// old samples less and less weight.
//
// It reads no clock: callers pass times in seconds, which must not decrease. The types are not safe for concurrent
// use.
package window

// Sliding sums several columns of values over a ring of time buckets. The buckets are allocated when the first value
// is added, since most relays never send most endpoints an attempt.
type Sliding struct {
	bucketTime       float64 // seconds
	buckets, columns int
	newest           int64 // number of the newest bucket, counted from time 0; -1: none
	sums             []float32
}

// NewSliding returns an empty window of the given number of buckets, of bucketTime seconds each, and columns.
func NewSliding(bucketTime float64, buckets, columns int) Sliding {
	return Sliding{bucketTime: bucketTime, buckets: buckets, columns: columns, newest: -1}
}

// bucket returns the columns of a bucket, given its number.
func (w *Sliding) bucket(number int64) []float32 {
	i := int(number%int64(w.buckets)) * w.columns
	return w.sums[i : i+w.columns]
}

// Advance makes the bucket of now the newest one, clears the buckets skipped since the last call, and returns the
// columns of the newest bucket.
func (w *Sliding) Advance(now float64) []float32 {
	if w.sums == nil {
		w.sums = make([]float32, w.buckets*w.columns)
	}
	present := max(int64(now/w.bucketTime), w.newest, 0)
	for number := max(w.newest+1, present-int64(w.buckets)+1); number <= present; number++ {
		clear(w.bucket(number))
	}
	w.newest = present
	return w.bucket(present)
}

// Bucket returns the columns of the bucket that was age buckets old at the last Advance; ok is false for buckets from
// before time 0.
func (w *Sliding) Bucket(age int) (columns []float32, ok bool) {
	if w.newest < int64(age) {
		return nil, false
	}
	return w.bucket(w.newest - int64(age)), true
}

// Add adds a value to a column in the bucket of now.
func (w *Sliding) Add(now float64, column int, value float64) {
	w.Advance(now)[column] += float32(value)
}

// Sum adds up a column over the buckets that are at least from and less than to buckets old.
func (w *Sliding) Sum(now float64, column, from, to int) (total float64) {
	if w.sums == nil {
		return 0
	}
	w.Advance(now)
	for age := from; age < min(to, w.buckets); age++ {
		if columns, ok := w.Bucket(age); ok {
			total += float64(columns[column])
		}
	}
	return total
}

// Total adds up a column over all buckets.
func (w *Sliding) Total(now float64, column int) float64 { return w.Sum(now, column, 0, w.buckets) }

// Idle reports whether the window holds no values: none was added within its duration.
func (w *Sliding) Idle(now float64) bool {
	return w.sums == nil || int64(now/w.bucketTime)-w.newest >= int64(w.buckets)
}

// Reset drops all values.
func (w *Sliding) Reset() { w.sums, w.newest = nil, -1 }
