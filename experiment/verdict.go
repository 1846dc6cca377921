package experiment

// Verdict says what a comparison shows.
type Verdict string

// The verdicts. Results hold the values.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "not told apart"
	Equivalent   Verdict = "equal within the margin"
	Identical    Verdict = "the same"
)

// judge returns Equivalent where the whole interval of the difference lies within the margin, and Better or Worse where
// it lies on one side of zero.
func judge(c Comparison, direction Direction, margin float64) Verdict {
	higher, lower := c.Low > 0, c.High < 0
	switch {
	case !c.HasInterval:
		return Inconclusive
	case c.Low == 0 && c.High == 0:
		return Identical
	case margin > 0 && c.Low > -margin && c.High < margin:
		return Equivalent
	case higher && direction == HigherIsBetter, lower && direction == LowerIsBetter:
		return Better
	case higher, lower:
		return Worse
	}
	return Inconclusive
}
