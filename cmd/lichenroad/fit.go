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

// fitFlags are the flags of `lab fit`.
type fitFlags struct {
	size   string  // key of the size in the benchmarks' names
	unit   string  // unit of the measured value
	form   string  // name of the function to fit: a slope.Form
	from   float64 // smallest size that is fitted
	to     float64 // largest size that is fitted
	at     float64 // size to extrapolate to; 0: none
	budget float64 // value for which to find the size; 0: none
}

func (t *tool) labFit() *cobra.Command {
	c := &cobra.Command{Use: "fit FILE", Args: cobra.ExactArgs(1),
		Short: "Fit a function to results of go test -bench at several sizes (FILE, or - for standard input), and extrapolate it"}
	var flags fitFlags
	f := c.Flags()
	f.StringVar(&flags.size, "size", "units", "key of the size in the benchmarks' names, as in units=1024")
	f.StringVar(&flags.unit, "unit", "ns/op", "unit of the measured value")
	f.StringVar(&flags.form, "form", string(slope.Line), "function of the size n: line (a + b n) or power (a n^b)")
	f.Float64Var(&flags.from, "from", 0, "smallest size to fit")
	f.Float64Var(&flags.to, "to", math.Inf(1), "largest size to fit")
	f.Float64Var(&flags.at, "at", 0, "size at which to print the fitted value; 0: none")
	f.Float64Var(&flags.budget, "budget", 0, "value for which to print the size that reaches it; 0: none")
	c.RunE = func(_ *cobra.Command, args []string) error {
		if form := slope.Form(flags.form); form != slope.Line && form != slope.Power {
			return fmt.Errorf("--form: %q is neither %s nor %s", flags.form, slope.Line, slope.Power)
		}
		series, err := flags.read(args[0])
		if err != nil {
			return withExitFailed(err)
		}
		for _, s := range series {
			s.Samples = s.Within(flags.from, flags.to)
			if err := t.printFit(s, &flags); err != nil {
				return withExitFailed(fmt.Errorf("%s: %w", s.Name, err))
			}
		}
		return nil
	}
	return c
}

// read reads benchmark results from a file, or from standard input for -.
func (flags *fitFlags) read(name string) ([]slope.Series, error) {
	in := io.Reader(os.Stdin)
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }() // an error does not matter after reading
		in = file
	}
	series, err := slope.Read(in, flags.size, flags.unit)
	if err != nil {
		return nil, err
	}
	if len(series) == 0 {
		return nil, fmt.Errorf("%s: no benchmark with a size %s= and a value in %s", name, flags.size, flags.unit)
	}
	return series, nil
}

// printFit fits the samples of a series and prints the result on one line.
func (t *tool) printFit(s slope.Series, flags *fitFlags) error {
	const percent = 100
	fit, err := slope.FitSamples(slope.Form(flags.form), s.Samples)
	if err != nil {
		return err
	}
	printf(t.stdout, "%s: %s = %s; %d sizes from %g to %g, residual %.1f%%", s.Name, flags.unit, fit.Formula(flags.size), fit.Sizes,
		fit.MinSize, fit.MaxSize, percent*fit.Residual)
	if flags.at > 0 {
		printf(t.stdout, "; at %g: %.4g, %.2f times the largest size", flags.at, fit.ValueAt(flags.at), fit.ExtrapolationFactor(flags.at))
	}
	if flags.budget > 0 {
		reached := fit.SizeAt(flags.budget)
		printf(t.stdout, "; %g at %s=%.4g", flags.budget, flags.size, reached)
		if flags.at > 0 && !math.IsInf(reached, 1) {
			printf(t.stdout, " (%.4f of %g)", reached/flags.at, flags.at)
		}
	}
	printf(t.stdout, "\n")
	return nil
}
