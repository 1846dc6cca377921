package compat_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

var (
	update         = flag.Bool("update", false, "rewrite the golden files with the results of the current binaries")
	updateJournals = flag.Bool("keep-journals", false, "rewrite the recorded journals too, which later binaries must be able to read; needs -update")
)

// binaryDir is the directory of the binaries under test.
var binaryDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "compat")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "./cmd/lichenroad", "./cmd/simhost")
	build.Dir = ".." // the module's root; tests run in the directory of their package
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// binaryPath returns the path of a binary under test.
func binaryPath(name string) string { return filepath.Join(binaryDir, name) }
