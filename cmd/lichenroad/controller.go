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

const maxHistoryEvents = 10000 // that one call prints

// controllerCommand runs the release controller, and calls one that runs.
func (t *tool) controllerCommand() *cobra.Command {
	return t.controllerCommandNamed("controller", "Run the release controller, and operate one that runs")
}

// deprecatedControllerCommand is controllerCommand under the name that it had first, for scripts that use it.
func (t *tool) deprecatedControllerCommand() *cobra.Command {
	return t.controllerCommandNamed("desk", "Deprecated: use controller, which is the same")
}

func (t *tool) controllerCommandNamed(name, short string) *cobra.Command {
	c := &cobra.Command{Use: name, Short: short, RunE: requireSubcommand}
	dir := c.PersistentFlags().String("state", "", "the release controller's directory, with its journal")
	markRequired(c.MarkPersistentFlagRequired("state"))
	c.AddCommand(
		t.controllerRun(dir),
		t.controllerStatus(dir),
		t.controllerHistory(dir),
		t.controllerOffer(dir),
		t.controllerFreeze(dir),
		t.operatorCommand(dir, "thaw NAME", "End a freeze that an operator set", setFreezeName),
		t.operatorCommand(dir, "halt SERVICE", "Stop one service's builds from starting and being promoted", setService),
		t.operatorCommand(dir, "resume SERVICE", "End a halt", setService),
		t.operatorCommand(dir, "back SERVICE", "Roll a service's newest build back", setService))
	return c
}

func (t *tool) controllerRun(dir *string) *cobra.Command {
	c := &cobra.Command{Use: "run", Short: "Run a release controller in the foreground", Args: cobra.NoArgs,
		Long: "Run a release controller in the foreground. It listens for each relay at the address that the plan keeps for it, counts\nits votes, promotes builds as the plan lets it, and keeps its state in a journal under --state. SIGHUP reads the plan again."}
	file := c.Flags().String("plan", "", "the plan, an XML file")
	address := c.Flags().String("control", "", "address on loopback for operators; a free port where not given")
	markRequired(c.MarkFlagRequired("plan"))
	c.RunE = func(*cobra.Command, []string) error {
		releases, err := planxml.Load(*file)
		if err != nil {
			return failed(err)
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
			go func() { // ends with the program
				for range hangups {
					controller.Replan(planxml.Load(*file))
				}
			}()
		}
		return failed(releasecontroller.Start(ctx, releasecontroller.Options{Plan: releases, Dir: *dir, Control: *address, Log: log,
			Ready: ready}))
	}
	return c
}

// operator names who calls, where the call doesn't.
func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// fillRequest puts a command's arguments into a request.
type fillRequest func(request *releasecontroller.Request, args []string) error

func setFreezeName(request *releasecontroller.Request, args []string) error {
	request.FreezeName = args[0]
	return nil
}

func setService(request *releasecontroller.Request, args []string) error {
	request.Service = args[0]
	return nil
}

// operatorCommand is a command that sends one request with the operator and the reason, and prints the status that it leads
// to. The first word of use is the verb; each other word is an argument.
func (t *tool) operatorCommand(dir *string, use, short string, fill fillRequest) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(countArgs(use))}
	request := releasecontroller.Request{Verb: releasecontroller.Verb(c.Name())}
	c.Flags().StringVar(&request.Actor, "who", operator(), "who says so; kept in the journal")
	c.Flags().StringVar(&request.Reason, "why", "", "why; kept in the journal")
	markRequired(c.MarkFlagRequired("why"))
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := fill(&request, args); err != nil {
			return err
		}
		reply, err := releasecontroller.Call(c.Context(), *dir, request)
		if err != nil {
			return failed(err)
		}
		return t.printStatus(reply)
	}
	return c
}

func (t *tool) controllerOffer(dir *string) *cobra.Command {
	fill := func(request *releasecontroller.Request, args []string) error {
		build, err := strconv.ParseUint(args[1], 10, 16)
		if err != nil || build == 0 {
			return fmt.Errorf("%q is no build: a number from 1 to 65535", args[1])
		}
		request.Service, request.Build = args[0], relay.Build(build)
		return nil
	}
	return t.operatorCommand(dir, "offer SERVICE BUILD", "Offer a new build; it begins when plan and operators let it", fill)
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
	c := t.operatorCommand(dir, "freeze NAME", "Stop starts and promotions of builds, of one service (--service) or of all", fill)
	c.Flags().StringVar(&service, "service", "", "the service; all where not given")
	c.Flags().DurationVar(&length, "for", 0, "how long, such as 2h; until it is thawed where not given")
	return c
}

func (t *tool) controllerStatus(dir *string) *cobra.Command {
	c := &cobra.Command{Use: "status", Short: "Show where every service is and what it waits for", Args: cobra.NoArgs}
	asJSON := c.Flags().Bool("json", false, "as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		reply, err := releasecontroller.Call(c.Context(), *dir, releasecontroller.Request{Verb: releasecontroller.VerbStatus})
		if err != nil {
			return failed(err)
		}
		if *asJSON {
			encoder := json.NewEncoder(t.stdout)
			encoder.SetIndent("", "  ")
			return failed(encoder.Encode(reply))
		}
		return t.printStatus(reply)
	}
	return c
}

func (t *tool) controllerHistory(dir *string) *cobra.Command {
	c := &cobra.Command{Use: "history", Short: "Show what happened, from the journal; works without a running release controller", Args: cobra.NoArgs}
	asJSON := c.Flags().Bool("json", false, "as JSON, a line an event")
	votes := c.Flags().Bool("votes", false, "votes too")
	last := c.Flags().Int("last", 100, "so many of the latest events, 10000 at most")
	c.RunE = func(*cobra.Command, []string) error {
		if *last < 1 || *last > maxHistoryEvents {
			return errors.New("--last: from 1 to 10000")
		}
		events, err := releasecontroller.History(*dir, *votes, *last)
		if err != nil {
			return failed(err)
		}
		for _, e := range events {
			if !*asJSON {
				printf(t.stdout, "%s\n", eventText(e))
				continue
			}
			if err := json.NewEncoder(t.stdout).Encode(e); err != nil {
				return failed(err)
			}
		}
		return nil
	}
	return c
}
