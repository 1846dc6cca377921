package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// decisionFiles reads the list of the files that hold every decision from the deploy file, as paths from this folder.
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

// TestDecisionsFitTheirLimits holds the files of all decisions together to their limit of lines, and each to its width.
func TestDecisionsFitTheirLimits(t *testing.T) {
	const mostLines, mostWidth = 1040, 110
	lines := 0
	for _, path := range decisionFiles(t) {
		source, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(source), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if width := utf8.RuneCountInString(line); width > mostWidth {
				t.Errorf("%s:%d: %d characters, at most %d", path, i+1, width, mostWidth)
			}
		}
	}
	if lines > mostLines {
		t.Errorf("%d lines that are not blank, at most %d", lines, mostLines)
	}
}
