package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// requireSubcommand is the RunE of a command that only groups others: it prints the help, and fails.
func requireSubcommand(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%q is no command of %s; see lichenroad help %s", args[0], c.Name(), c.Name())
	}
	return errors.Join(c.Help(), errors.New("a command is missing"))
}

// markRequired takes the result of cobra's MarkFlagRequired, which fails only for a flag that the command does not have.
func markRequired(err error) {
	if err != nil {
		panic(err)
	}
}

// countArgs counts the arguments that a command's use line names behind its verb.
func countArgs(use string) int { return len(strings.Fields(use)) - 1 }
