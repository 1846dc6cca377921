package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"lichenroad/internal/xmlconfig"
)

// exitCode is the program's exit code, as `lichenroad help exit-codes` explains them.
type exitCode int

const (
	exitDone       exitCode = 0
	exitFailed     exitCode = 1 // a file, an address or a state is at fault, or a release controller refused
	exitUsage      exitCode = 2 // the call itself is wrong
	exitRuleBroken exitCode = 3 // a simulation broke a rule
)

const exitText = `0  done
1  a file, a plan, an address or a state is at fault, or a release controller refused: one plain line says which
2  the call is wrong: an unknown command, flag or value
3  a simulation found broken rules (plan simulate)
`

// exitError is an error with an exit code. An error of a command without one is of the call: exitUsage.
type exitError struct {
	code exitCode
	err  error
}

// Error returns the text of the error inside.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the error inside, for errors.Is and errors.As.
func (e exitError) Unwrap() error { return e.err }

// failed marks an error as one of what the call named, not of the call; nil stays nil.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return exitError{exitFailed, err}
}

// ruleBroken is the error of a simulation whose checker found something.
func ruleBroken(format string, args ...any) error {
	return exitError{exitRuleBroken, fmt.Errorf(format, args...)}
}

// reportError writes an error for the user, on one line, or on one for each fault of an XML file, and returns its exit code.
func reportError(errs io.Writer, err error) exitCode {
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
		printf(errs, "lichenroad: %s\n", line)
	}
	return code
}

// printf writes to the user's terminal or pipe. Nothing is left to do where that fails: whoever read it has gone, and
// the exit code still tells how the command ended.
func printf(to io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(to, format, args...) // see above
}
