package window

// Mean is a running mean: the plain mean of the first samples, later an exponentially weighted one.
type Mean struct {
	Value   float64
	Samples float64
}

// Add adds a sample. Its weight is that in a plain mean, 1/Samples, but at least the given one.
func (m *Mean) Add(sample, weight float64) {
	m.Samples++
	m.Value += max(weight, 1/m.Samples) * (sample - m.Value)
}
