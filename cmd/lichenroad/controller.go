package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"os/user"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"lichenroad/internal/planxml"
	"lichenroad/internal/releasecontroller"
	"lichenroad/relay"
)

const maxHistoryEvents = 10000 // limit of --last

// controllerCommand returns the command whose subcommands run a release controller and operate a running one.
func (t *tool) controllerCommand() *cobra.Command {
	return t.controllerCommandNamed("controller", "Run a release controller, or operate a running one")
}

// deprecatedControllerCommand returns the same command under its former name, which is kept for existing scripts.
func (t *tool) deprecatedControllerCommand() *cobra.Command {
	return t.controllerCommandNamed("desk", "Deprecated: use controller, which is the same")
}

func (t *tool) controllerCommandNamed(name, short string) *cobra.Command {
	c := &cobra.Command{Use: name, Short: short, RunE: requireSubcommand}
	dir := c.PersistentFlags().String("state", "", "the release controller's state directory, with its journal")
	markRequired(c.MarkPersistentFlagRequired("state"))
	c.AddCommand(
		t.controllerRun(dir),
		t.controllerStatus(dir),
		t.controllerHistory(dir),
		t.controllerOffer(dir),
		t.controllerFreeze(dir),
		t.operatorCommand(dir, "thaw NAME", "End a freeze that an operator set", setFreezeName),
		t.operatorCommand(dir, "halt SERVICE", "Stop starts and promotions of builds of one service", setService),
		t.operatorCommand(dir, "resume SERVICE", "End a halt", setService),
		t.operatorCommand(dir, "back SERVICE", "Roll a service's newest build back", setService))
	return c
}

func (t *tool) controllerRun(dir *string) *cobra.Command {
	c := &cobra.Command{Use: "run", Short: "Run a release controller in the foreground", Args: cobra.NoArgs,
		Long: "Run a release controller in the foreground. It listens for each relay at the address that the plan has for it, counts\nthe relays' votes, promotes builds when the plan allows it, and keeps its state in a journal under --state. On SIGHUP\nit reads the plan again."}
	file := c.Flags().String("plan", "", "release plan, an XML file")
	address := c.Flags().String("control", "", "loopback address and port for operators (default a free port)")
	markRequired(c.MarkFlagRequired("plan"))
	c.RunE = func(*cobra.Command, []string) error {
		releases, err := planxml.Load(*file)
		if err != nil {
			return withExitFailed(err)
		}
		log, _, flush, err := t.logger()
		if err != nil {
			return err
		}
		defer flush()
		ctx, cancel := untilSignal()
		defer cancel()
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		ready := func(controller *releasecontroller.Controller, at releasecontroller.Addresses) {
			log.WithFields(logrus.Fields{"control": at.Control, "watch": at.Watch, "relays": at.Relays}).Info("release controller ready")
			go func() { // runs until the process exits
				for range hangups {
					controller.Replan(planxml.Load(*file))
				}
			}()
		}
		return withExitFailed(releasecontroller.Start(ctx, releasecontroller.Options{Plan: releases, Dir: *dir, ControlAddress: *address, Log: log,
			Ready: ready}))
	}
	return c
}

// operatorName returns the name of the user who runs the command: the default of --who.
func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// fillRequest sets the fields of a request that come from a command's arguments.
type fillRequest func(request *releasecontroller.Request, args []string) error

func setFreezeName(request *releasecontroller.Request, args []string) error {
	request.FreezeName = args[0]
	return nil
}

func setService(request *releasecontroller.Request, args []string) error {
	request.Service = args[0]
	return nil
}

// operatorCommand returns a command that sends one request, with the operator's name and the reason, to the release
// controller and prints the status in its reply. The first word of use is the verb, each other word an argument.
func (t *tool) operatorCommand(dir *string, use, short string, fill fillRequest) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(countArgs(use))}
	request := releasecontroller.Request{Verb: releasecontroller.Verb(c.Name())}
	c.Flags().StringVar(&request.Actor, "who", operatorName(), "the operator, for the journal")
	c.Flags().StringVar(&request.Reason, "why", "", "the reason, for the journal")
	markRequired(c.MarkFlagRequired("why"))
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := fill(&request, args); err != nil {
			return err
		}
		reply, err := releasecontroller.Call(c.Context(), *dir, request)
		if err != nil {
			return withExitFailed(err)
		}
		return t.printStatus(reply)
	}
	return c
}

func (t *tool) controllerOffer(dir *string) *cobra.Command {
	fill := func(request *releasecontroller.Request, args []string) error {
		build, err := strconv.ParseUint(args[1], 10, 16)
		if err != nil || build == 0 {
			return fmt.Errorf("%q is no build number: must be from 1 to 65535", args[1])
		}
		request.Service, request.Build = args[0], relay.Build(build)
		return nil
	}
	return t.operatorCommand(dir, "offer SERVICE BUILD", "Offer a new build; its rollout begins when the plan and the operators allow it", fill)
}

func (t *tool) controllerFreeze(dir *string) *cobra.Command {
	var service string
	var length time.Duration
	fill := func(request *releasecontroller.Request, args []string) error {
		request.FreezeName, request.Service = args[0], service
		if length > 0 {
			request.Until = float64(time.Now().Add(length).UnixNano()) / 1e9
		}
		return nil
	}
	c := t.operatorCommand(dir, "freeze NAME", "Stop starts and promotions of builds of one service (--service) or of all", fill)
	c.Flags().StringVar(&service, "service", "", "the service (default all)")
	c.Flags().DurationVar(&length, "for", 0, "duration, such as 2h; without the flag the freeze lasts until it is thawed")
	return c
}

func (t *tool) controllerStatus(dir *string) *cobra.Command {
	c := &cobra.Command{Use: "status", Short: "Show the state of each service's rollout and what it waits for", Args: cobra.NoArgs}
	asJSON := c.Flags().Bool("json", false, "print JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		reply, err := releasecontroller.Call(c.Context(), *dir, releasecontroller.Request{Verb: releasecontroller.VerbStatus})
		if err != nil {
			return withExitFailed(err)
		}
		if *asJSON {
			encoder := json.NewEncoder(t.stdout)
			encoder.SetIndent("", "  ")
			return withExitFailed(encoder.Encode(reply))
		}
		return t.printStatus(reply)
	}
	return c
}

func (t *tool) controllerHistory(dir *string) *cobra.Command {
	c := &cobra.Command{Use: "history", Short: "Show the events in the journal; works without a running release controller", Args: cobra.NoArgs}
	asJSON := c.Flags().Bool("json", false, "print JSON, one line for each event")
	votes := c.Flags().Bool("votes", false, "include votes")
	last := c.Flags().Int("last", 100, "number of latest events to show, at most 10000")
	c.RunE = func(*cobra.Command, []string) error {
		if *last < 1 || *last > maxHistoryEvents {
			return errors.New("--last: must be from 1 to 10000")
		}
		events, err := releasecontroller.History(*dir, *votes, *last)
		if err != nil {
			return withExitFailed(err)
		}
		for _, e := range events {
			if !*asJSON {
				printf(t.stdout, "%s\n", eventText(e))
				continue
			}
			if err := json.NewEncoder(t.stdout).Encode(e); err != nil {
				return withExitFailed(err)
			}
		}
		return nil
	}
	return c
}
