//go:build !slim

package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lichenroad/lab/scale"
)

func TestLabScale(t *testing.T) {
	file := filepath.Join(t.TempDir(), "scale.json")
	args := []string{"lab", "scale", "--relays", "6", "--units", "20", "--services", "2", "--zones", "4", "--regions", "2",
		"--shape", "skewed", "--seconds", "3", "--rate", "10", "--fault", "loss", "--fault", "reorder", "--json", file}
	code, out, errs := runCommand(args...)
	if code != 0 || errs != "" || !strings.Contains(out, "broken: 0") {
		t.Fatalf("exit %d, output %q, errors %q", code, out, errs)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(b), `"broken": []`) {
		t.Errorf("the result does not have an empty list of violations: %s", b)
	}
	var r scale.Result
	if err := json.Unmarshal(b, &r); err != nil {
		t.Fatal(err)
	}
	if r.Relays != 6 || r.Hosted != 6 || len(r.Options.Faults) != 2 || r.Faults.Datagrams.Lost+r.Faults.Datagrams.Reordered == 0 {
		t.Errorf("unexpected result %+v", r)
	}
}

// TestLabScaleBadFlags checks that a bad flag, or a size that needs too much memory, is rejected with one line.
func TestLabScaleBadFlags(t *testing.T) {
	for _, c := range []struct {
		args []string
		code exitCode
		want string
	}{
		{[]string{"--relays", "0"}, exitUsage, "--relays: 0 is not from 1 to 20000"},
		{[]string{"--rate", "-3"}, exitUsage, "--rate: -3 is not from 0.1 to 1000"},
		{[]string{"--shape", "round"}, exitUsage, `--shape: "round" is neither wide nor skewed`},
		{[]string{"--fault", "flood"}, exitUsage, `--fault: "flood" is none of `},
		{[]string{"--without", "moat"}, exitUsage, `--without: "moat" is none of `},
		{[]string{"--shape", "wide", "--relays", "4300", "--units", "42000", "--measured", "4300"}, exitFailed, "this size needs about "},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			code, out, errs := runCommand(append([]string{"lab", "scale"}, c.args...)...)
			if code != int(c.code) || out != "" || !strings.HasPrefix(errs, "lichenroad: "+c.want) || strings.Count(errs, "\n") != 1 {
				t.Errorf("exit %d, output %q, errors %q", code, out, errs)
			}
		})
	}
}
