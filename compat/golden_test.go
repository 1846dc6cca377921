package compat_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// maxDifferences is the number of differing lines that a failed comparison prints; the first one usually shows the cause.
const maxDifferences = 5

// checkGolden compares lines with the golden file testdata/NAME.gz, and their digest with testdata/NAME.sha256.
func checkGolden(t *testing.T, name string, got []string) {
	t.Helper()
	text := strings.Join(got, "\n") + "\n"
	if *update {
		writeGolden(t, name, text)
		return
	}
	want := readGolden(t, name)
	if differences := diffLines(strings.Split(strings.TrimSuffix(want, "\n"), "\n"), strings.Split(strings.TrimSuffix(text, "\n"), "\n")); differences != "" {
		t.Fatalf("%s differs from its golden file:\n%s", name, differences)
	}
	digest, err := os.ReadFile(goldenPath(name, ".sha256"))
	if err != nil {
		t.Fatal(err)
	}
	if want, got := strings.TrimSpace(string(digest)), digestOf(text); got != want {
		t.Fatalf("%s: sha256 is %s, want %s", name, got, want)
	}
}

// diffLines describes the first lines that differ. The result is empty if all lines are equal.
func diffLines(want, got []string) string {
	var b strings.Builder
	differing := 0
	for i := range max(len(want), len(got)) {
		wantLine, gotLine := "(no line)", "(no line)"
		if i < len(want) {
			wantLine = want[i]
		}
		if i < len(got) {
			gotLine = got[i]
		}
		if wantLine == gotLine {
			continue
		}
		if differing++; differing <= maxDifferences {
			if differing == 1 && i > 0 && i <= len(want) {
				fmt.Fprintf(&b, "line %d (unchanged): %s\n", i, excerpt(want[i-1], 0))
			}
			at := firstDifference(wantLine, gotLine)
			fmt.Fprintf(&b, "line %d, from byte %d:\n  want %s\n  got  %s\n", i+1, at+1, excerpt(wantLine, at), excerpt(gotLine, at))
		}
	}
	if differing > 0 {
		fmt.Fprintf(&b, "%d lines differ; want %d lines, got %d\n", differing, len(want), len(got))
	}
	return b.String()
}

// firstDifference returns the index of the first byte that differs.
func firstDifference(a, b string) int {
	at := 0
	for at < min(len(a), len(b)) && a[at] == b[at] {
		at++
	}
	return at
}

// excerpt returns the part of a line around an index.
func excerpt(line string, at int) string {
	const bytesBefore, bytesAfter = 80, 160
	from, to := max(0, at-bytesBefore), min(len(line), at+bytesAfter)
	text := line[from:to]
	if from > 0 {
		text = "..." + text
	}
	if to < len(line) {
		text += "..."
	}
	return text
}

func goldenPath(name, extension string) string { return filepath.Join("testdata", name+extension) }

func digestOf(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

func readGolden(t *testing.T, name string) string {
	t.Helper()
	file, err := os.Open(goldenPath(name, ".gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	decompressed, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(decompressed)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func writeGolden(t *testing.T, name, text string) {
	t.Helper()
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	for path, content := range map[string][]byte{
		goldenPath(name, ".gz"):     compressed.Bytes(),
		goldenPath(name, ".sha256"): []byte(digestOf(text) + "\n"),
	} {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("wrote %s, %d bytes", goldenPath(name, ".gz"), compressed.Len())
}
