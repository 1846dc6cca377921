// Command lichenroad is a relay: it takes queries from clients and passes them to units, with every decision
// left to package policy.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"lichenroad/internal/config"
	"lichenroad/internal/stats"
)

const usage = `lichenroad passes queries between clients and units.

usage: lichenroad serve   [--config FILE] [--log-level LEVEL]   run a relay in the foreground
       lichenroad check   [--config FILE]                       read a configuration and report its faults
       lichenroad version                                       print the version

The configuration's path comes from $BALANCER_CONFIG where --config is not given.
`

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

func run(args []string, env func(string) string, out, errs io.Writer) int {
	command := ""
	if len(args) > 0 {
		command = args[0]
	}
	flags := pflag.NewFlagSet("lichenroad "+command, pflag.ContinueOnError)
	flags.SetOutput(errs)
	path := flags.String("config", env("BALANCER_CONFIG"), "the configuration, a JSON file")
	level := flags.String("log-level", "info", "debug, info, warn or error")
	switch command {
	case "serve", "check", "version":
	case "", "help", "-h", "--help":
		fmt.Fprint(out, usage)
		return 0
	default:
		fmt.Fprintf(errs, "lichenroad: %q is no command\n%s", command, usage)
		return 2
	}
	if err := flags.Parse(args[1:]); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return 0
		}
		return fail(errs, 2, err)
	}
	if flags.NArg() > 0 {
		return fail(errs, 2, fmt.Errorf("%q is not expected here", flags.Arg(0)))
	}
	if command == "version" {
		fmt.Fprintln(out, "lichenroad", version())
		return 0
	}
	c, err := config.Load(*path, env)
	if err != nil {
		return fail(errs, 1, err)
	}
	if command == "check" {
		fmt.Fprintf(out, "ok: %s listens on %s\n", c.Name, c.Listen)
		return 0
	}
	parsed, err := logrus.ParseLevel(*level)
	if err != nil {
		return fail(errs, 2, err)
	}
	counters := &stats.Counters{}
	to := newLines(errs, counters)
	log := logrus.New()
	log.SetOutput(to)
	log.SetLevel(parsed)
	err = serve(c, func() (config.Config, error) { return config.Reload(*path, env) }, log, counters)
	log.SetOutput(io.Discard)
	to.Close()
	if err != nil {
		return fail(errs, 1, err)
	}
	return 0
}

// fail reports one plain line.
func fail(errs io.Writer, code int, err error) int {
	fmt.Fprintln(errs, "lichenroad:", strings.ReplaceAll(err.Error(), "\n", "; "))
	return code
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
