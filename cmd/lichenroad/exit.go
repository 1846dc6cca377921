package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"lichenroad/internal/xmlconfig"
)

// exitCode is an exit code of the program. `lichenroad exit-codes` explains them to users.
type exitCode int

const (
	exitDone       exitCode = 0
	exitFailed     exitCode = 1 // a file, a plan, an address or a state directory is bad, or a release controller refused
	exitUsage      exitCode = 2 // unknown command or flag, or a bad argument
	exitRuleBroken exitCode = 3 // a simulation or replay violated a rule
)

const exitText = `0  done
1  a file, a plan, an address or a state is at fault, or a release controller refused: one plain line says which
2  the call is wrong: an unknown command, flag or value
3  a simulation found broken rules (plan simulate)
`

// exitError is an error with an exit code. An error without one, such as cobra's, exits with exitUsage.
type exitError struct {
	code exitCode
	err  error
}

// Error returns the text of the wrapped error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e exitError) Unwrap() error { return e.err }

// withExitFailed gives an error the exit code exitFailed: the command line is valid, but carrying it out failed. nil stays
// nil.
func withExitFailed(err error) error {
	if err == nil {
		return nil
	}
	return exitError{exitFailed, err}
}

// ruleBroken returns the error of a simulation or replay whose checker found violations, with the code exitRuleBroken.
func ruleBroken(format string, args ...any) error {
	return exitError{exitRuleBroken, fmt.Errorf(format, args...)}
}

// reportError prints an error and returns its exit code. It prints one line, or one line for each fault of an XML file.
func reportError(stderr io.Writer, err error) exitCode {
	if err == nil {
		return exitDone
	}
	code := exitUsage
	var exit exitError
	if errors.As(err, &exit) {
		code = exit.code
	}
	lines := []string{strings.ReplaceAll(err.Error(), "\n", "; ")}
	var faults *xmlconfig.Error
	if errors.As(err, &faults) && code == exitFailed {
		lines = faults.Lines()
	}
	for _, line := range lines {
		printf(stderr, "lichenroad: %s\n", line)
	}
	return code
}

// printf writes to the user's terminal or pipe. Errors are ignored: the reader of the output has gone then, and the exit
// code still shows the result of the command.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...) // the reader of the output has gone
}
