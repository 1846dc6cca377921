//go:build !slim

package main

import (
	"cmp"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLabFit(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bench.txt")
	text := "BenchmarkTick/units=100 1 1200 ns/op\nBenchmarkTick/units=200 1 2200 ns/op\nBenchmarkTick/units=400 1 4200 ns/op\nBenchmarkTick/units=800 1 8200 ns/op\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"--at 1600 --budget 5200", 0, "Tick: ns/op = 200 +10 units; 4 sizes from 100 to 800, residual 0.0%; at 1600: 1.62e+04, 2.00 times the largest size; 5200 at units=500 (0.3125 of 1600)\n"},
		{"", 0, "residual 0.0%\n"},
		{"--form power", 0, "units^0."},
		{"--from 200", 1, "fewer than 4 sizes"},
		{"--to 400", 1, "fewer than 4 sizes"},
		{"--form cubic", 2, "neither line nor power"},
		{"--size relays", 1, "no benchmark with a size relays="},
		{"--unit B/op", 1, "no benchmark"},
	} {
		t.Run(cmp.Or(c.args, "all sizes"), func(t *testing.T) {
			code, out, errs := runCommand(append([]string{"lab", "fit", file}, strings.Fields(c.args)...)...)
			if code != c.code || !strings.Contains(out+errs, c.want) || c.code != 0 && strings.Count(errs, "\n") != 1 {
				t.Errorf("exit %d, output %q, errors %q", code, out, errs)
			}
		})
	}
	if code, _, errs := runCommand("lab", "fit", "/none"); code != 1 || strings.Count(errs, "\n") != 1 {
		t.Errorf("a file that does not exist: exit %d, errors %q", code, errs)
	}
}
