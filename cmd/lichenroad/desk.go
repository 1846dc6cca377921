package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"os/user"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"lichenroad/internal/releasecontroller"
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

func (t *tool) deskCommand() *cobra.Command {
	c := &cobra.Command{Use: "desk", Short: "Run a release desk, and speak to one that runs", RunE: needsVerb}
	state := c.PersistentFlags().String("state", "", "the desk's directory, with its journal")
	c.MarkPersistentFlagRequired("state")
	c.AddCommand(t.deskRun(state), t.deskStatus(state), t.deskHistory(state),
		t.deskVerb(state, "offer SERVICE BUILD", "Offer a new build; it begins when plan and operators let it", 2, func(r *releasecontroller.Request, args []string) error {
			b, err := strconv.ParseUint(args[1], 10, 16)
			r.Service, r.Build = args[0], relay.Build(b)
			if err != nil || b == 0 {
				return fmt.Errorf("%q is no build: a number from 1 to 65535", args[1])
			}
			return nil
		}),
		t.deskVerb(state, "freeze NAME", "Stop everything from going on, of one service (--service) or of all", 1, nil),
		t.deskVerb(state, "thaw NAME", "End a freeze that an operator set", 1, nil),
		t.deskVerb(state, "halt SERVICE", "Stop one service's releases from going on", 1, nil),
		t.deskVerb(state, "resume SERVICE", "End a halt", 1, nil),
		t.deskVerb(state, "back SERVICE", "Send a service's newest build back", 1, nil))
	return c
}

func (t *tool) deskRun(state *string) *cobra.Command {
	c := &cobra.Command{Use: "run", Short: "Run a release desk in the foreground", Args: cobra.NoArgs,
		Long: "Run a release desk in the foreground. It listens for each relay at the address that the plan keeps for it, counts\nits votes, moves steps as the plan lets it, and keeps its state in a journal under --state. SIGHUP reads the plan again."}
	file := c.Flags().String("plan", "", "the plan, an XML file")
	address := c.Flags().String("control", "", "address on loopback for operators; a free port where not given")
	c.MarkFlagRequired("plan")
	c.RunE = func(*cobra.Command, []string) error {
		p, err := plan.Load(*file)
		if err != nil {
			return failed(err)
		}
		log, _, done, err := t.logger()
		if err != nil {
			return err
		}
		defer done()
		ctx, cancel := untilSignal()
		defer cancel()
		hups := make(chan os.Signal, 1)
		signal.Notify(hups, syscall.SIGHUP)
		defer signal.Stop(hups)
		return failed(releasecontroller.Start(ctx, releasecontroller.Options{Plan: p, Dir: *state, Control: *address, Log: log,
			Ready: func(d *releasecontroller.Controller, at releasecontroller.Addresses) {
				log.WithFields(logrus.Fields{"control": at.Control, "watch": at.Watch, "relays": at.Relays}).Info("desk open")
				go func() {
					for range hups {
						d.Replan(plan.Load(*file))
					}
				}()
			}}))
	}
	return c
}

// operator names who speaks, where nobody is named.
func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func (t *tool) deskVerb(state *string, use, short string, args int, take func(*releasecontroller.Request, []string) error) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args)}
	r := releasecontroller.Request{Verb: releasecontroller.Verb(c.Name())}
	c.Flags().StringVar(&r.Who, "who", operator(), "who says so; kept in the journal")
	c.Flags().StringVar(&r.Why, "why", "", "why; kept in the journal")
	c.MarkFlagRequired("why")
	var length *time.Duration
	if r.Verb == "freeze" {
		c.Flags().StringVar(&r.Service, "service", "", "the service; all where not given")
		length = c.Flags().Duration("for", 0, "how long, such as 2h; until it is thawed where not given")
	}
	c.RunE = func(c *cobra.Command, args []string) error {
		switch r.Verb {
		case "freeze", "thaw":
			r.Name = args[0]
			if length != nil && *length > 0 {
				r.Until = float64(time.Now().Add(*length).UnixNano()) / 1e9
			}
		default:
			r.Service = args[0]
		}
		if take != nil {
			if err := take(&r, args); err != nil {
				return err
			}
		}
		out, err := releasecontroller.Call(c.Context(), *state, r)
		if err != nil {
			return failed(err)
		}
		t.status(out)
		return nil
	}
	return c
}

func (t *tool) deskStatus(state *string) *cobra.Command {
	c := &cobra.Command{Use: "status", Short: "Show where every service stands and what it waits for", Args: cobra.NoArgs}
	raw := c.Flags().Bool("json", false, "as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		out, err := releasecontroller.Call(c.Context(), *state, releasecontroller.Request{Verb: "status"})
		if err != nil {
			return failed(err)
		}
		if *raw {
			e := json.NewEncoder(t.out)
			e.SetIndent("", "  ")
			return failed(e.Encode(out))
		}
		t.status(out)
		return nil
	}
	return c
}

func (t *tool) status(r releasecontroller.Reply) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tBUILD\tPHASE\tSTEP\tSINCE\tCAP\tON\tBACK\tNEXT\tWAITS FOR")
	for _, s := range r.Status {
		next, why := "-", s.Why
		if s.Waiting != 0 {
			next = strconv.Itoa(int(s.Waiting))
		}
		if s.Code != "" {
			why = string(s.Code) + ": " + s.Why
		}
		if s.Lost {
			why += " (a need was lost)"
		}
		since := "-"
		if s.Since > 0 {
			since = plan.Time(s.Since).Format("01-02 15:04:05Z")
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%g%%\t%d/%d\t%d/%d\t%s\t%s\n", s.Service, s.Build, s.Phase, dash(s.Step), since, 100*s.Cap,
			s.On, s.OnOf, s.Back, s.BackOf, next, why)
	}
	w.Flush()
	for _, f := range r.Freezes {
		until := "until it is thawed"
		if f.Until > 0 {
			until = "until " + plan.Time(f.Until).Format(time.RFC3339)
		}
		of := f.Service
		if of == "" {
			of = "all services"
		}
		fmt.Fprintf(t.out, "freeze %s of %s %s, by %s: %s\n", f.Name, of, until, f.Who, f.Why)
	}
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (t *tool) deskHistory(state *string) *cobra.Command {
	c := &cobra.Command{Use: "history", Short: "Show what happened, from the journal; works without a running desk", Args: cobra.NoArgs}
	raw := c.Flags().Bool("json", false, "as JSON, a line an event")
	votes := c.Flags().Bool("votes", false, "votes too")
	last := c.Flags().Int("last", 100, "so many of the latest events, 10000 at most")
	c.RunE = func(*cobra.Command, []string) error {
		if *last < 1 || *last > 10000 {
			return errors.New("--last: from 1 to 10000")
		}
		events, err := releasecontroller.History(*state, *votes, *last)
		if err != nil {
			return failed(err)
		}
		for _, e := range events {
			if *raw {
				if err := json.NewEncoder(t.out).Encode(e); err != nil {
					return failed(err)
				}
				continue
			}
			fmt.Fprintln(t.out, eventText(e))
		}
		return nil
	}
	return c
}

func eventText(e rollout.Event) string {
	words := []string{plan.Time(e.At).Format(time.RFC3339), string(e.Kind)}
	if e.Service != "" {
		words = append(words, e.Service)
	}
	if e.Build != 0 {
		words = append(words, fmt.Sprintf("build %d", e.Build))
	}
	if e.Kind == rollout.EventPromoted || e.Kind == rollout.EventVoted {
		words = append(words, fmt.Sprintf("step %d", e.Step))
	}
	if e.Kind == rollout.EventVoted {
		words = append(words, fmt.Sprintf("%s: %s", e.Relay, [...]string{"none", "on", "hold", "back"}[e.Verdict]))
	}
	if e.Name != "" {
		words = append(words, e.Name)
	}
	if e.Who != "" {
		words = append(words, "by "+e.Who)
	}
	if e.Why != "" {
		words = append(words, "("+e.Why+")")
	}
	return strings.Join(words, " ")
}
