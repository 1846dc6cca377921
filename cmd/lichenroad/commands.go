package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// requireSubcommand is the RunE of a command that only groups subcommands. It always fails, and prints the help if there
// is no argument.
func requireSubcommand(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%s has no command %q; see lichenroad help %s", c.Name(), args[0], c.Name())
	}
	return errors.Join(c.Help(), errors.New("a command is missing"))
}

// markRequired panics if cobra's MarkFlagRequired returned an error, which means that the command does not define the
// flag.
func markRequired(err error) {
	if err != nil {
		panic(err)
	}
}

// countArgs returns how many arguments follow the verb in a command's use line.
func countArgs(use string) int { return len(strings.Fields(use)) - 1 }
