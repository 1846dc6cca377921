// Command lichenroad is a relay, which takes requests from clients and passes them to endpoints with every decision left
// to package policy, and the tools around it: plans of releases, the release controller, traces, the laboratory. Here the
// parts are put together and the command line is read; each command's logic is in the package that it calls.
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

// tool is what the commands share.
type tool struct {
	getenv         func(string) string // os.Getenv
	stdout, stderr io.Writer           // standard output and standard error
	logLevel       string              // of the log
}

// run carries out one call of the program and returns its exit code.
func run(args []string, env func(string) string, out, errs io.Writer) int {
	t := &tool{getenv: env, stdout: out, stderr: errs}
	root := t.rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	return int(reportError(errs, root.Execute()))
}

func (t *tool) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "lichenroad",
		Short:         "lichenroad passes requests between clients and endpoints, and shifts them between builds",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs,
	}
	root.RunE = func(c *cobra.Command, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("%q is no command; see lichenroad help", args[0])
		}
		return c.Help()
	}
	root.PersistentFlags().StringVar(&t.logLevel, "log-level", "info", "debug, info, warn or error")
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
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && (v == "" || v == "(devel)") {
			v = setting.Value
		}
	}
	return v + " " + info.GoVersion
}
