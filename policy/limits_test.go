package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// decisionFiles returns the files that make the relay's decisions, which the deploy file lists, as paths relative to this
// folder.
func decisionFiles(t *testing.T) (paths []string) {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[([^\]]*)\]$`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("the deploy file has no list of policy files")
	}
	for _, quoted := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		paths = append(paths, filepath.Join("..", string(quoted[1])))
	}
	if len(paths) == 0 {
		t.Fatal("the list of policy files is empty")
	}
	return paths
}

// TestDecisionFilesStayReadable checks that each file that makes decisions is short and narrow enough to be read in one
// go.
func TestDecisionFilesStayReadable(t *testing.T) {
	const (
		maxFileLines = 500
		maxWidth     = 110
	)
	for _, path := range decisionFiles(t) {
		source, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(source), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s: %d lines, at most %d", path, len(lines), maxFileLines)
		}
		for i, line := range lines {
			if width := utf8.RuneCountInString(line); width > maxWidth {
				t.Errorf("%s:%d: %d characters, at most %d", path, i+1, width, maxWidth)
			}
		}
	}
}
