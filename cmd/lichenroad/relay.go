package main

import (
	"errors"
	"strings"

	"github.com/spf13/cobra"

	"lichenroad/internal/config"
	"lichenroad/internal/planxml"
)

// configFlag adds the flag --config, the path of a relay's configuration.
func (t *tool) configFlag(c *cobra.Command) *string {
	return c.Flags().String("config", t.getenv("BALANCER_CONFIG"), "the configuration, a JSON file; without the flag, the file that $BALANCER_CONFIG names")
}

func (t *tool) checkCommand() *cobra.Command {
	c := &cobra.Command{Use: "check", Short: "Read a configuration and report its errors", Args: cobra.NoArgs}
	path := t.configFlag(c)
	c.RunE = func(*cobra.Command, []string) error {
		got, err := config.Load(*path, t.getenv)
		if err != nil {
			return withExitFailed(err)
		}
		printf(t.stdout, "ok: %s listens on %s\n", got.Name, got.Listen)
		return nil
	}
	return c
}

func (t *tool) serveCommand() *cobra.Command {
	c := &cobra.Command{Use: "serve", Short: "Run a relay in the foreground", Args: cobra.NoArgs,
		Long: "Run a relay in the foreground.\n\nWith --plan and --service it follows a release plan: which tenants may get a canary build, and when the votes\nof this relay may promote it. On SIGHUP it reads the configuration and the plan again."}
	path := t.configFlag(c)
	var releases releasePlan
	c.Flags().StringVar(&releases.path, "plan", "", "release plan, an XML file")
	c.Flags().StringVar(&releases.service, "service", "", "name in the plan of the service that this relay serves")
	c.MarkFlagsRequiredTogether("plan", "service")
	c.RunE = func(*cobra.Command, []string) error {
		got, err := config.Load(*path, t.getenv)
		if err != nil {
			return withExitFailed(err)
		}
		if releases.path != "" {
			if releases.plan, err = planxml.Load(releases.path); err != nil {
				return withExitFailed(errors.New(strings.ReplaceAll(err.Error(), "\n", "; ")))
			}
		}
		log, counters, flush, err := t.logger()
		if err != nil {
			return err
		}
		defer flush()
		reload := func() (config.Config, error) { return config.Reload(*path, t.getenv) }
		return withExitFailed(serve(got, reload, releases, log, counters))
	}
	return c
}
