package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lichenroad/internal/planxml"
	"lichenroad/plan"
)

func (t *tool) planCommand() *cobra.Command {
	c := &cobra.Command{Use: "plan", Short: "Check, show and simulate release plans", RunE: requireSubcommand}
	c.AddCommand(t.planCheck(), t.planShow(), t.planSimulate())
	return c
}

func (t *tool) planCheck() *cobra.Command {
	c := &cobra.Command{Use: "check FILE", Short: "Read a plan and report all of its errors", Args: cobra.ExactArgs(1)}
	c.RunE = func(_ *cobra.Command, args []string) error {
		p, err := planxml.Load(args[0])
		if err != nil {
			return withExitFailed(err)
		}
		steps := 0
		for _, s := range p.Services {
			steps += len(s.Steps)
		}
		printf(t.stdout, "ok: %d services with %d steps, %d sites, %d groups, %d freezes\n", len(p.Services), steps,
			len(p.Sites), len(p.Groups), len(p.Freezes))
		return nil
	}
	return c
}

func (t *tool) planShow() *cobra.Command {
	c := &cobra.Command{Use: "show FILE", Short: "Show a plan: its steps, the groups of tenants that each opens, and which freezes are in effect", Args: cobra.ExactArgs(1)}
	at := c.Flags().String("at", "", "time at which to show the freezes, such as 2026-12-24T18:00:00Z (default now)")
	c.RunE = func(_ *cobra.Command, args []string) error {
		when := time.Now()
		if *at != "" {
			var err error
			if when, err = time.Parse(time.RFC3339, *at); err != nil {
				return fmt.Errorf("--at: %q is not a time such as 2026-12-24T18:00:00Z", *at)
			}
		}
		p, err := planxml.Load(args[0])
		if err != nil {
			return withExitFailed(err)
		}
		if err := t.printSteps(p); err != nil {
			return withExitFailed(err)
		}
		printf(t.stdout, "\nat %s:\n", when.UTC().Format(time.RFC3339))
		return withExitFailed(t.printFreezes(p, when))
	}
	return c
}

// printSteps prints the steps of all services as a table.
func (t *tool) printSteps(p *plan.Plan) error {
	table := t.newTable()
	printf(table, "SERVICE\tSTEP\tSHARE\tCAP\tLEAST\tOPENS\tNEEDS\n")
	for _, service := range p.Services {
		for _, step := range service.Steps {
			var opens, needs []string
			for _, open := range step.OpenGroups {
				opens = append(opens, p.Sites[open.Site]+"/"+p.Groups[open.Group].Name)
			}
			for _, dependency := range step.Dependencies {
				needs = append(needs, p.DependencyText(dependency))
			}
			minTime := time.Duration(step.MinTime * float64(time.Second))
			printf(table, "%s\t%s\t%g%%\t%g%%\t%s\t%s\t%s\n", service.Name, step.Name, 100*step.Share, 100*step.ExposureLimit,
				minTime, strings.Join(opens, " "), strings.Join(needs, ", "))
		}
	}
	return table.Flush()
}

// printFreezes prints, for each service and site, which freeze is in effect at a time and until when.
func (t *tool) printFreezes(p *plan.Plan, when time.Time) error {
	calendar := plan.NewCalendar(p, false)
	now := float64(when.UnixNano()) / 1e9
	table := t.newTable()
	printf(table, "SERVICE\tSITE\tBEGIN\tON\n")
	for i, service := range p.Services {
		for j, site := range p.Sites {
			printf(table, "%s\t%s", service.Name, site)
			for _, effect := range []plan.FreezeEffect{plan.FreezeStarts, plan.FreezePromotions} {
				interval, frozen := calendar.Frozen(now, plan.ServiceIndex(i), plan.SiteIndex(j), effect)
				if frozen {
					printf(table, "\tfrozen by %s until %s", p.Freezes[interval.Freeze].Name, plan.Time(interval.Until).Format(time.RFC3339))
				} else {
					printf(table, "\tfree")
				}
			}
			printf(table, "\n")
		}
	}
	return table.Flush()
}
