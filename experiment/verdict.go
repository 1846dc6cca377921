package experiment

// Verdict is the conclusion of a comparison.
type Verdict string

// The verdicts. The strings are part of the JSON results.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "not told apart"
	Equivalent   Verdict = "equal within the margin"
	Identical    Verdict = "the same"
)

// verdictOf returns Equivalent if the whole interval of the difference lies within the margin, and otherwise Better or
// Worse if the whole interval lies on one side of zero.
func verdictOf(c Comparison, direction Direction, margin float64) Verdict {
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
