// Command lichenroad is a relay, which takes queries from clients and passes them to units with every decision left
// to package policy, and the tools round it: plans of releases, the release desk, the laboratory.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/internal/planxml"
	"lichenroad/internal/xmlconfig"
)

// Exit codes, as `lichenroad help exit-codes` tells them.
const (
	exitFault = 1 // what was named is at fault, or a desk refused
	exitCall  = 2 // the call itself is wrong
	exitBroke = 3 // a simulation broke a rule
)

const exitText = `0  done
1  a file, a plan, an address or a state is at fault, or a desk refused: one plain line says which
2  the call is wrong: an unknown command, flag or value
3  a simulation found broken rules (plan simulate)
`

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// fault is an error with an exit code of its own.
type fault struct {
	code int
	err  error
}

func (f fault) Error() string { return f.err.Error() }
func (f fault) Unwrap() error { return f.err }

// failed marks an error as one of what was named, not of the call.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return fault{exitFault, err}
}

// tool is what the commands share.
type tool struct {
	env       func(string) string
	out, errs io.Writer
	level     string
}

func run(args []string, env func(string) string, out, errs io.Writer) int {
	t := &tool{env: env, out: out, errs: errs}
	root := t.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return 0
	}
	var f fault
	if !errors.As(err, &f) {
		f = fault{exitCall, err}
	}
	var faults *xmlconfig.Error
	if errors.As(err, &faults) && f.code == exitFault {
		for _, line := range faults.Lines() {
			fmt.Fprintln(errs, "lichenroad:", line)
		}
		return f.code
	}
	fmt.Fprintln(errs, "lichenroad:", strings.ReplaceAll(err.Error(), "\n", "; "))
	return f.code
}

func (t *tool) root() *cobra.Command {
	root := &cobra.Command{Use: "lichenroad", Short: "lichenroad passes queries between clients and units, and shifts them between builds",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%q is no command; see lichenroad help", args[0])
			}
			return c.Help()
		}}
	root.PersistentFlags().StringVar(&t.level, "log-level", "info", "debug, info, warn or error")
	root.AddCommand(t.serve(), t.check(), t.planCommand(), t.deskCommand(), t.traceCommand(), t.labCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(*cobra.Command, []string) { fmt.Fprintln(t.out, "lichenroad", version()) }},
		&cobra.Command{Use: "exit-codes", Short: "What the exit codes mean", Long: "What the exit codes mean:\n\n" + exitText, Args: cobra.NoArgs,
			Run: func(*cobra.Command, []string) { fmt.Fprint(t.out, exitText) }})
	return root
}

func (t *tool) configFlag(c *cobra.Command) *string {
	return c.Flags().String("config", t.env("BALANCER_CONFIG"), "the configuration, a JSON file; $BALANCER_CONFIG where not given")
}

func (t *tool) check() *cobra.Command {
	c := &cobra.Command{Use: "check", Short: "Read a configuration and report its faults", Args: cobra.NoArgs}
	path := t.configFlag(c)
	c.RunE = func(*cobra.Command, []string) error {
		got, err := config.Load(*path, t.env)
		if err != nil {
			return failed(err)
		}
		fmt.Fprintf(t.out, "ok: %s listens on %s\n", got.Name, got.Listen)
		return nil
	}
	return c
}

func (t *tool) serve() *cobra.Command {
	c := &cobra.Command{Use: "serve", Short: "Run a relay in the foreground", Args: cobra.NoArgs,
		Long: "Run a relay in the foreground.\n\nWith --plan and --service it keeps to a plan of releases: who may meet a build on trial, and when its votes\nmay take it on. SIGHUP reads configuration and plan again."}
	path := t.configFlag(c)
	g := guarded{}
	c.Flags().StringVar(&g.plan, "plan", "", "a plan of releases, an XML file")
	c.Flags().StringVar(&g.service, "service", "", "the service of the plan that this relay serves")
	c.MarkFlagsRequiredTogether("plan", "service")
	c.RunE = func(*cobra.Command, []string) error {
		got, err := config.Load(*path, t.env)
		if err != nil {
			return failed(err)
		}
		if g.plan != "" {
			if g.now, err = planxml.Load(g.plan); err != nil {
				return failed(errors.New(strings.ReplaceAll(err.Error(), "\n", "; ")))
			}
		}
		log, counters, done, err := t.logger()
		if err != nil {
			return err
		}
		defer done()
		return failed(serve(got, func() (config.Config, error) { return config.Reload(*path, t.env) }, g, log, counters))
	}
	return c
}

// logger gives the log that never holds its callers up; done writes what waits.
func (t *tool) logger() (*logrus.Logger, *metrics.Counters, func(), error) {
	parsed, err := logrus.ParseLevel(t.level)
	if err != nil {
		return nil, nil, nil, err
	}
	counters := &metrics.Counters{}
	to := newLines(t.errs, counters)
	log := logrus.New()
	log.SetOutput(to)
	log.SetLevel(parsed)
	return log, counters, func() {
		log.SetOutput(io.Discard)
		to.Close()
	}, nil
}

// untilSignal is a context that ends at SIGTERM or an interrupt.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// version is the module's version, or the commit that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && (v == "" || v == "(devel)") {
			v = s.Value
		}
	}
	return v + " " + info.GoVersion
}
