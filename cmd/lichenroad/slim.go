//go:build slim

package main

import (
	"errors"

	"github.com/spf13/cobra"
)

// A relay in service needs no laboratory: what is here takes the place of its commands, so that charts, fonts and
// emulators are not in the program that runs beside others on a part of a core.

var errSlim = errors.New("not in this build: build without the tag slim")

func absentCommand(use string) *cobra.Command {
	return &cobra.Command{Use: use, Short: "Not in this build, which is for service", DisableFlagParsing: true,
		RunE: func(*cobra.Command, []string) error { return errSlim }}
}

func (t *tool) planSimulate() *cobra.Command { return absentCommand("simulate FILE") }
func (t *tool) traceCommand() *cobra.Command { return absentCommand("trace") }
func (t *tool) labCommand() *cobra.Command   { return absentCommand("lab") }
