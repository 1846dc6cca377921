package main

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"lichenroad/internal/releasecontroller"
	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// newTable returns a writer to standard output that aligns columns separated by tabs. Call its Flush after the last row.
func (t *tool) newTable() *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(t.stdout, 0, 0, padding, ' ', 0)
}

// printStatus prints the services of a reply as a table, and below it the freezes that operators set.
func (t *tool) printStatus(reply releasecontroller.Reply) error {
	table := t.newTable()
	printf(table, "SERVICE\tBUILD\tPHASE\tSTEP\tSINCE\tCAP\tON\tBACK\tNEXT\tWAITS FOR\n")
	for _, s := range reply.Status {
		printf(table, "%s\t%d\t%s\t%s\t%s\t%g%%\t%d/%d\t%d/%d\t%s\t%s\n", s.Service, s.Build, s.Phase, orDash(s.Step), sinceText(s), 100*s.ExposureLimit,
			s.PromoteVotes, s.PromoteVotesNeeded, s.RollBackVotes, s.RollBackVotesNeeded, nextBuildText(s), waitsForText(s))
	}
	if err := table.Flush(); err != nil {
		return withExitFailed(err)
	}
	for _, f := range reply.Freezes {
		until := "until it is thawed"
		if f.Until > 0 {
			until = "until " + plan.Time(f.Until).Format(time.RFC3339)
		}
		service := f.Service
		if service == "" {
			service = "all services"
		}
		printf(t.stdout, "freeze %s of %s %s, by %s: %s\n", f.FreezeName, service, until, f.Actor, f.Reason)
	}
	return nil
}

func sinceText(s rollout.Status) string {
	if s.Since <= 0 {
		return "-"
	}
	return plan.Time(s.Since).Format("01-02 15:04:05Z")
}

func nextBuildText(s rollout.Status) string {
	if s.WaitingBuild == 0 {
		return "-"
	}
	return strconv.Itoa(int(s.WaitingBuild))
}

func waitsForText(s rollout.Status) string {
	text := s.BlockText
	if s.BlockCode != "" {
		text = string(s.BlockCode) + ": " + s.BlockText
	}
	if s.DependencyLost {
		text += " (a need was lost)"
	}
	return text
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// verdictTexts are the words that `controller history` prints for the verdicts of votes.
var verdictTexts = [...]string{relay.NoVote: "none", relay.VotePromote: "on", relay.VoteHold: "hold", relay.VoteRollBack: "back"}

// eventText returns an event as one line of text.
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
		words = append(words, fmt.Sprintf("%s: %s", e.Relay, verdictTexts[e.Verdict]))
	}
	if e.FreezeName != "" {
		words = append(words, e.FreezeName)
	}
	if e.Actor != "" {
		words = append(words, "by "+e.Actor)
	}
	if e.Reason != "" {
		words = append(words, "("+e.Reason+")")
	}
	return strings.Join(words, " ")
}
