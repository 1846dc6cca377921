//go:build slim

package main

import (
	"errors"

	"github.com/spf13/cobra"
)

// A production relay shares a core with other processes and does not need the lab. With the build tag slim, the commands
// below replace those that link charts, fonts and emulators.

var errSlim = errors.New("not in this build: build without the tag slim")

// absentCommand returns a command that only fails with errSlim.
func absentCommand(use string) *cobra.Command {
	return &cobra.Command{Use: use, Short: "Not in this build, which was built with the tag slim", DisableFlagParsing: true,
		RunE: func(*cobra.Command, []string) error { return errSlim }}
}

func (t *tool) planSimulate() *cobra.Command { return absentCommand("simulate FILE") }
func (t *tool) traceCommand() *cobra.Command { return absentCommand("trace") }
func (t *tool) labCommand() *cobra.Command   { return absentCommand("lab") }
