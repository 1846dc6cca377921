package demo

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestProgressIsPrintedByLine has several goroutines print, as the scenario and the deployer do: no line is lost or torn.
func TestProgressIsPrintedByLine(t *testing.T) {
	const goroutines, linesEach = 8, 500
	var out bytes.Buffer
	d := &demonstration{options: Options{Out: &out}, started: time.Now()}
	var printing sync.WaitGroup
	for range goroutines {
		printing.Go(func() {
			for range linesEach {
				d.printProgress("planner build %d: %s", 2, "released")
			}
		})
	}
	printing.Wait()
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	if len(lines) != goroutines*linesEach {
		t.Errorf("%d lines, not %d", len(lines), goroutines*linesEach)
	}
	for _, line := range lines {
		if !strings.HasSuffix(line, " s  planner build 2: released") {
			t.Fatalf("%q", line)
		}
	}
}
