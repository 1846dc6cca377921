//go:build !slim

package main

import (
	"fmt"
	"io"
	"math"
	"os"

	"github.com/spf13/cobra"

	"lichenroad/lab/slope"
)

func (t *tool) labFit() *cobra.Command {
	c := &cobra.Command{Use: "fit FILE", Args: cobra.ExactArgs(1),
		Short: "Fit what go test -bench measured at several sizes (FILE, or - for standard input), and tell the figure at another"}
	size := c.Flags().String("size", "units", "the size in the benchmarks' names, as in units=1024")
	unit := c.Flags().String("unit", "ns/op", "of the figure")
	form := c.Flags().String("form", string(slope.Line), "line: a + b n; power: a n^b")
	from := c.Flags().Float64("from", 0, "smaller sizes are left out")
	to := c.Flags().Float64("to", math.Inf(1), "larger sizes are left out")
	at := c.Flags().Float64("at", 0, "size for which to tell the figure; 0: none")
	budget := c.Flags().Float64("budget", 0, "figure for which to tell the size that reaches it; 0: none")
	c.RunE = func(_ *cobra.Command, args []string) error {
		if f := slope.Form(*form); f != slope.Line && f != slope.Power {
			return fmt.Errorf("--form: %q is neither %s nor %s", *form, slope.Line, slope.Power)
		}
		in := io.Reader(os.Stdin)
		if args[0] != "-" {
			f, err := os.Open(args[0])
			if err != nil {
				return failed(err)
			}
			defer f.Close()
			in = f
		}
		all, err := slope.Read(in, *size, *unit)
		if err != nil {
			return failed(err)
		}
		if len(all) == 0 {
			return failed(fmt.Errorf("%s: no benchmark with a size %s= and a figure in %s", args[0], *size, *unit))
		}
		for _, s := range all {
			s.Samples = s.Within(*from, *to)
			if err := t.fitted(s, slope.Form(*form), *size, *unit, *at, *budget); err != nil {
				return failed(fmt.Errorf("%s: %w", s.Name, err))
			}
		}
		return nil
	}
	return c
}

// fitted prints one series' fit on one line.
func (t *tool) fitted(s slope.Series, form slope.Form, size, unit string, at, budget float64) error {
	const percent = 100
	f, err := slope.FitSamples(form, s.Samples)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s: %s = %s; %d sizes from %g to %g, residual %.1f%%", s.Name, unit, f.Formula(size), f.Sizes, f.MinSize, f.MaxSize,
		percent*f.Residual)
	if at > 0 {
		fmt.Fprintf(t.out, "; at %g: %.4g, %.2f times the largest size", at, f.ValueAt(at), f.ExtrapolationFactor(at))
	}
	if budget > 0 {
		reached := f.SizeAt(budget)
		fmt.Fprintf(t.out, "; %g at %s=%.4g", budget, size, reached)
		if at > 0 && !math.IsInf(reached, 1) {
			fmt.Fprintf(t.out, " (%.4f of %g)", reached/at, at)
		}
	}
	fmt.Fprintln(t.out)
	return nil
}
