package window

// Mean is a running mean: the plain mean of the first samples, later an exponentially weighted one.
type Mean struct {
	Value   float64
	Samples float64
}

// Add adds a sample. Weight is the least weight of a new sample, which applies once the weight in a plain
// mean would be lower.
func (m *Mean) Add(sample, weight float64) {
	m.Samples++
	m.Value += max(weight, 1/m.Samples) * (sample - m.Value)
}
