// Package window keeps statistics of the recent past: sums over a sliding window of time, and means that forget.
//
// Neither reads a clock: times come from the caller, in seconds, and never go back. The types are not safe for use by
// several goroutines; package policy, which owns them, runs on one.
package window

// Sliding sums several columns of values over fixed buckets of time that are used again. Its buckets are allocated when the
// first value is added: most endpoints are never met by most relays.
type Sliding struct {
	bucketTime       float64 // s
	buckets, columns int
	newest           int64 // number of the newest bucket, counted from time 0; -1: none yet
	sums             []float32
}

// NewSliding returns an empty window of so many buckets of bucketTime seconds each, with so many columns.
func NewSliding(bucketTime float64, buckets, columns int) Sliding {
	return Sliding{bucketTime: bucketTime, buckets: buckets, columns: columns, newest: -1}
}

// bucket returns the columns of one bucket by its number.
func (w *Sliding) bucket(number int64) []float32 {
	i := int(number%int64(w.buckets)) * w.columns
	return w.sums[i : i+w.columns]
}

// Advance clears the buckets between the newest one and now, and returns the columns of now.
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

// Bucket returns the columns of the bucket that is age buckets old at the time of the last Advance. It is false for a
// bucket from before time 0.
func (w *Sliding) Bucket(age int) (columns []float32, ok bool) {
	if w.newest < int64(age) {
		return nil, false
	}
	return w.bucket(w.newest - int64(age)), true
}

// Add adds a value to one column at the present time.
func (w *Sliding) Add(now float64, column int, value float64) {
	w.Advance(now)[column] += float32(value)
}

// Sum adds up one column over the buckets that are at least from and less than to buckets old.
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

// Total adds up one column over every bucket.
func (w *Sliding) Total(now float64, column int) float64 { return w.Sum(now, column, 0, w.buckets) }

// Idle says that nothing has been added within the window's time.
func (w *Sliding) Idle(now float64) bool {
	return w.sums == nil || int64(now/w.bucketTime)-w.newest >= int64(w.buckets)
}

// Reset forgets every value.
func (w *Sliding) Reset() { w.sums, w.newest = nil, -1 }
