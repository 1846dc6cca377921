package compat_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// resultCase is a command whose results are compared: its exit code, its standard output, and the file that it writes. In
// its arguments, FILE stands for that file and DIR for a temporary directory of the case. It runs in testdata/input.
type resultCase struct {
	name            string
	args            string
	setup           []string          // commands that create its input
	hasMeasurements bool              // the results contain measurements of time and memory, which are not compared
	goldenTerms     *strings.Replacer // replaces current terms by those in the golden file, for text that only people read; nil: none
}

const (
	replayCommand   = "trace replay alibaba-2018.csv --layout alibaba-2018 --mapping mapping.xml --seed 11 --json FILE"
	scaleCommand    = "lab scale --zones 6 --regions 3 --seed 11 --jobs 2 --json FILE"
	sweepCommand    = "lab sweep alibaba-2018.csv --layout alibaba-2018 --mapping mapping.xml --seeds 3 --json FILE"
	simulateCommand = "plan simulate plan.xml --relays 9 --planners 12 --seed 11 --json FILE"
)

var resultCases = []resultCase{
	{name: "exit-codes", args: "exit-codes", goldenTerms: strings.NewReplacer("a release controller refused", "a desk refused")},
	{name: "plan-check", args: "plan check plan.xml"},
	{name: "plan-show", args: "plan show plan.xml --at 2026-12-04T18:30:00Z"},
	{name: "plan-show-open", args: "plan show plan.xml --at 2026-12-04T10:00:00Z"},
	{name: "plan-simulate", args: simulateCommand + " --days 0.45"},
	{name: "plan-simulate-unguarded", args: simulateCommand + " --days 0.45 --guard off"},
	{name: "plan-simulate-by-clock", args: simulateCommand + " --days 0.4 --by-clock"},
	{name: "plan-simulate-faults", args: simulateCommand + " --days 0.45 --faults silence+late+desk+journal --bad 0.6"},
	{name: "plan-simulate-without", args: simulateCommand + " --days 0.45 --without desk-needs --load 0.5"},
	{name: "trace-check-alibaba", args: "trace check alibaba-2018.csv --layout alibaba-2018 --json FILE"},
	{name: "trace-check-azure", args: "trace check azure-2021.csv --layout azure-2021 --json FILE"},
	{name: "trace-check-google", args: "trace check google-2011.csv --layout google-2011 --json FILE"},
	{name: "trace-check-window", args: "trace check azure-2021.csv --layout azure-2021 --window 1 --json FILE"},
	{name: "trace-check-mapping", args: "trace check alibaba-2018.csv --layout alibaba-2018 --mapping mapping.xml --json FILE"},
	{name: "trace-replay", args: replayCommand},
	{name: "trace-replay-dying", args: replayCommand + " --fault dying"},
	{name: "trace-replay-pauses", args: replayCommand + " --fault pauses --relays 2 --planners 5"},
	{name: "trace-replay-site-slow", args: replayCommand + " --fault site-slow"},
	{name: "trace-replay-memos", args: replayCommand + " --fault memos --from 30 --for 60"},
	{name: "trace-replay-google", args: "trace replay google-2011.csv --layout google-2011 --mapping mapping.xml --seed 3 --json FILE"},
	{name: "trace-replay-bursty", args: "trace replay DIR/made.csv --layout azure-2021 --mapping bursty.xml --seed 3 --json FILE",
		setup: []string{"lab shape bursty DIR/made.csv --span 40 --rate 20 --seed 5"}},
	{name: "trace-replay-failing-hours", args: "trace replay DIR/made.csv --layout google-2011 --mapping failing-hours.xml --seed 3 --json FILE",
		setup: []string{"lab shape failing DIR/made.csv --span 40 --rate 20 --seed 5"}},
	{name: "lab-shape-bursty", args: "lab shape bursty FILE --span 20 --rate 20 --seed 5"},
	{name: "lab-shape-tails", args: "lab shape tails FILE --span 20 --rate 20 --seed 5"},
	{name: "lab-shape-failing", args: "lab shape failing FILE --span 20 --rate 20 --seed 5"},
	{name: "lab-sweep-relays", args: sweepCommand + " --vary relays=2,4"},
	{name: "lab-sweep-module", args: sweepCommand + " --vary module=policy,random,least-in-flight --fault failing"},
	{name: "lab-sweep-fault", args: sweepCommand + " --vary fault=none,slow --margin 0.05 --confidence 0.9"},
	{name: "lab-sweep-setting", args: sweepCommand + " --vary legs=1,3 --planners 4"},
	{name: "lab-compare", args: "lab compare DIR/a.json DIR/b.json --margin 0.01",
		setup: []string{strings.Replace(sweepCommand, "FILE", "DIR/a.json", 1) + " --vary relays=4", strings.Replace(sweepCommand, "FILE", "DIR/b.json", 1) + " --vary relays=4 --planners 3"}},
	{name: "lab-ledger", args: "lab ledger logs"},
	{name: "lab-ledger-span", args: "lab ledger logs --from 1 --to 28"},
	{name: "lab-fit", args: "lab fit bench.txt --at 1600 --budget 5200"},
	{name: "lab-fit-power", args: "lab fit bench.txt --form power --from 100 --at 1600"},
	{name: "lab-scale-wide", args: scaleCommand + " --relays 60 --units 300 --shape wide --seconds 8 --fault restarts-x100 --fault duplicates", hasMeasurements: true},
	{name: "lab-scale-skewed", args: scaleCommand + " --relays 60 --units 300 --services 12 --shape skewed --seconds 8 --tenants 30 --routes 100 --fault relay-kills-x100 --fault loss --fault reorder --fault rack", hasMeasurements: true},
}

// TestResults compares the output and the files of commands.
func TestResults(t *testing.T) {
	input, err := filepath.Abs(filepath.Join("testdata", "input"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range resultCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			file := filepath.Join(dir, "result")
			fields := func(args string) []string {
				return strings.Fields(strings.NewReplacer("FILE", file, "DIR", dir).Replace(args))
			}
			for _, args := range c.setup {
				if r := runToolIn(t, input, fields(args)...); r.code != 0 {
					t.Fatalf("%s: exit %d: %s", args, r.code, r.stderr)
				}
			}
			r := runToolIn(t, input, fields(c.args)...)
			if r.code == 2 {
				t.Fatalf("invalid command line: %s", r.stderr)
			}
			lines := []string{"lichenroad " + c.args, fmt.Sprintf("exit %d, %d lines of fault", r.code, len(r.errorLines())), "standard output:"}
			out := strings.ReplaceAll(r.stdout, dir, "DIR")
			if c.goldenTerms != nil {
				out = c.goldenTerms.Replace(out)
			}
			lines = append(lines, resultLines(out, c.hasMeasurements)...)
			if strings.Contains(c.args, "FILE") {
				written, err := os.ReadFile(file)
				if err != nil {
					t.Fatal(err)
				}
				lines = append(lines, "file:")
				lines = append(lines, withoutMeasurements(strings.Split(strings.ReplaceAll(string(written), dir, "DIR"), "\n"), c.hasMeasurements)...)
			}
			checkGolden(t, "results/"+c.name, lines)
		})
	}
}

var (
	measuredWords = regexp.MustCompile(`cpu|heap|peak|wall`)
	measuredKey   = regexp.MustCompile(`^( *)"[^"]*(cpu|heap|peak|wall)[^"]*": (\{)?`)
	spaces        = regexp.MustCompile(` +`)
)

// resultLines returns the lines of an output. If it contains measurements of time and memory, their lines are left out, and
// runs of spaces are reduced to one, because measurements can change the width of columns.
func resultLines(text string, hasMeasurements bool) (lines []string) {
	for _, line := range strings.Split(text, "\n") {
		if hasMeasurements && (measuredWords.MatchString(line) || strings.HasPrefix(line, "process:")) {
			continue
		}
		if hasMeasurements {
			line = spaces.ReplaceAllString(line, " ")
		}
		lines = append(lines, line)
	}
	return lines
}

// withoutMeasurements removes the keys with measurements of time and memory from an indented JSON text.
func withoutMeasurements(lines []string, hasMeasurements bool) (kept []string) {
	if !hasMeasurements {
		return lines
	}
	for i := 0; i < len(lines); i++ {
		key := measuredKey.FindStringSubmatch(lines[i])
		if key == nil {
			kept = append(kept, lines[i])
			continue
		}
		for end := key[1] + "}"; key[3] == "{" && !strings.HasPrefix(lines[i], end); {
			i++ // to the line that ends the object
		}
	}
	return kept
}
