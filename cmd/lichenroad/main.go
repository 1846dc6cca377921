// Command lichenroad runs a relay, which forwards requests from clients to endpoints, and the tools around it: release
// plans, the release controller, replays of recorded traces, and a lab for simulations and measurements.
//
// This package parses the command line and connects the parts. What a relay decides about a request is in package policy,
// and the logic of every other command is in the package that it calls.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// tool holds what all commands share: the environment, the output streams and the log level.
type tool struct {
	getenv         func(string) string // os.Getenv, except in tests
	stdout, stderr io.Writer
	logLevel       string // value of --log-level
}

// run executes the command that the arguments name and returns the exit code of the process.
func run(args []string, getenv func(string) string, stdout, stderr io.Writer) int {
	t := &tool{getenv: getenv, stdout: stdout, stderr: stderr}
	root := t.rootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	return int(reportError(stderr, root.Execute()))
}

func (t *tool) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "lichenroad",
		Short:         "Relay that forwards requests from clients to endpoints and shifts them between builds, with its tools",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs,
	}
	root.RunE = func(c *cobra.Command, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("unknown command %q; see lichenroad help", args[0])
		}
		return c.Help()
	}
	root.PersistentFlags().StringVar(&t.logLevel, "log-level", "info", "level of the log: debug, info, warn or error")
	root.AddCommand(t.serveCommand(), t.checkCommand(), t.planCommand(), t.controllerCommand(), t.deprecatedControllerCommand(), t.traceCommand(),
		t.labCommand(), t.versionCommand(), t.exitCodesCommand())
	return root
}

func (t *tool) versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { printf(t.stdout, "lichenroad %s\n", version()) }}
}

func (t *tool) exitCodesCommand() *cobra.Command {
	return &cobra.Command{Use: "exit-codes", Short: "What the exit codes mean", Long: "What the exit codes mean:\n\n" + exitText, Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { printf(t.stdout, "%s", exitText) }}
}

// untilSignal returns a context that is cancelled at SIGTERM or an interrupt.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// version returns the version of the module, or the commit where it has none, and the version of Go.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && (v == "" || v == "(devel)") {
			v = setting.Value
		}
	}
	return v + " " + info.GoVersion
}
