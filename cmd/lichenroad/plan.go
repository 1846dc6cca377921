package main

import (
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"lichenroad/internal/planxml"
	"lichenroad/plan"
)

func (t *tool) planCommand() *cobra.Command {
	c := &cobra.Command{Use: "plan", Short: "Check, show and try out plans of releases", RunE: needsVerb}
	check := &cobra.Command{Use: "check FILE", Short: "Read a plan and name all of its faults", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := planxml.Load(args[0])
			if err != nil {
				return failed(err)
			}
			steps := 0
			for _, s := range p.Services {
				steps += len(s.Steps)
			}
			fmt.Fprintf(t.out, "ok: %d services with %d steps, %d sites, %d groups, %d freezes\n", len(p.Services), steps,
				len(p.Sites), len(p.Groups), len(p.Freezes))
			return nil
		}}
	show := &cobra.Command{Use: "show FILE", Short: "Show a plan: steps, who is open at each, what is frozen", Args: cobra.ExactArgs(1)}
	at := show.Flags().String("at", "", "the time to look at, such as 2026-12-24T18:00:00Z; now where not given")
	show.RunE = func(_ *cobra.Command, args []string) error {
		when := time.Now()
		if *at != "" {
			var err error
			if when, err = time.Parse(time.RFC3339, *at); err != nil {
				return fmt.Errorf("--at: %q is no time such as 2026-12-24T18:00:00Z", *at)
			}
		}
		p, err := planxml.Load(args[0])
		if err != nil {
			return failed(err)
		}
		t.show(p, when)
		return nil
	}
	c.AddCommand(check, show, t.simulate())
	return c
}

func needsVerb(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%q is no command of %s; see lichenroad help %s", args[0], c.Name(), c.Name())
	}
	c.Help()
	return errors.New("a command is missing")
}

// show prints a plan as tables.
func (t *tool) show(p *plan.Plan, when time.Time) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tSTEP\tSHARE\tCAP\tLEAST\tOPENS\tNEEDS")
	for _, s := range p.Services {
		for _, st := range s.Steps {
			var opens, needs []string
			for _, o := range st.OpenGroups {
				opens = append(opens, p.Sites[o.Site]+"/"+p.Groups[o.Group].Name)
			}
			for _, n := range st.Dependencies {
				needs = append(needs, p.DependencyText(n))
			}
			fmt.Fprintf(w, "%s\t%s\t%g%%\t%g%%\t%s\t%s\t%s\n", s.Name, st.Name, 100*st.Share, 100*st.ExposureLimit,
				time.Duration(st.MinTime*float64(time.Second)), strings.Join(opens, " "), strings.Join(needs, ", "))
		}
	}
	w.Flush()
	c, now := plan.NewCalendar(p, false), float64(when.UnixNano())/1e9
	fmt.Fprintf(t.out, "\nat %s:\n", when.UTC().Format(time.RFC3339))
	w = tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tSITE\tBEGIN\tON")
	for i, s := range p.Services {
		for j, site := range p.Sites {
			fmt.Fprintf(w, "%s\t%s", s.Name, site)
			for _, what := range []plan.FreezeEffect{plan.FreezeStarts, plan.FreezePromotions} {
				if f, in := c.Frozen(now, plan.ServiceIndex(i), plan.SiteIndex(j), what); in {
					fmt.Fprintf(w, "\tfrozen by %s until %s", p.Freezes[f.Freeze].Name, plan.Time(f.Until).Format(time.RFC3339))
				} else {
					fmt.Fprint(w, "\tfree")
				}
			}
			fmt.Fprintln(w)
		}
	}
	w.Flush()
}
