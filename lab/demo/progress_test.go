package demo

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestProgressIsPrintedByLine prints from several goroutines, as Run and the deployer do, and guards against lines that are
// lost or interleaved.
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
		t.Errorf("got %d lines, want %d", len(lines), goroutines*linesEach)
	}
	for _, line := range lines {
		if !strings.HasSuffix(line, " s  planner build 2: released") {
			t.Fatalf("line %q is not one that was printed", line)
		}
	}
}
