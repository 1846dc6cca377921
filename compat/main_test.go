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
	update = flag.Bool("update", false, "rewrite the golden files from what the binaries do now")
	keep   = flag.Bool("keep-journals", false, "keep the journals that the release controller writes now, for later binaries to read; needs -update")
)

// binaries is the folder that holds the binaries under test.
var binaries string

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
	build.Dir = ".." // the module's root: tests run in their package's folder
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	return m.Run()
}

// program is the path of one of the binaries under test.
func program(name string) string { return filepath.Join(binaries, name) }
