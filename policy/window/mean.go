package window

// Mean is a running mean that forgets: at first the plain mean, later an exponentially weighted one.
type Mean struct {
	Value   float64
	Samples float64
}

// Add takes in a sample. Weight is the fixed weight of a new sample, once the plain mean's would be lower.
func (m *Mean) Add(sample, weight float64) {
	m.Samples++
	m.Value += max(weight, 1/m.Samples) * (sample - m.Value)
}
