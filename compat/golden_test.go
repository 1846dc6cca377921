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

// maxDifferences is how many differing lines a failed comparison prints: the first one mostly shows the cause.
const maxDifferences = 5

// checkGolden compares lines with those kept under testdata/NAME.gz, of which testdata/NAME.sha256 holds the digest.
func checkGolden(t *testing.T, name string, got []string) {
	t.Helper()
	text := strings.Join(got, "\n") + "\n"
	if *update {
		writeGolden(t, name, text)
		return
	}
	want := readGolden(t, name)
	if differences := compareLines(strings.Split(strings.TrimSuffix(want, "\n"), "\n"), strings.Split(strings.TrimSuffix(text, "\n"), "\n")); differences != "" {
		t.Fatalf("%s differs from its golden file:\n%s", name, differences)
	}
	digest, err := os.ReadFile(goldenPath(name, ".sha256"))
	if err != nil {
		t.Fatal(err)
	}
	if want, got := strings.TrimSpace(string(digest)), digestOf(text); got != want {
		t.Fatalf("%s: sha256 %s, kept is %s", name, got, want)
	}
}

// compareLines describes the first lines that differ; it returns an empty text if none do.
func compareLines(want, got []string) string {
	var b strings.Builder
	differing := 0
	for i := range max(len(want), len(got)) {
		before, now := "(no line)", "(no line)"
		if i < len(want) {
			before = want[i]
		}
		if i < len(got) {
			now = got[i]
		}
		if before == now {
			continue
		}
		if differing++; differing <= maxDifferences {
			if differing == 1 && i > 0 && i <= len(want) {
				fmt.Fprintf(&b, "line %d (same): %s\n", i, excerpt(want[i-1], 0))
			}
			at := firstDifference(before, now)
			fmt.Fprintf(&b, "line %d, from byte %d:\n  want %s\n  got  %s\n", i+1, at+1, excerpt(before, at), excerpt(now, at))
		}
	}
	if differing > 0 {
		fmt.Fprintf(&b, "%d lines differ; %d are kept, %d came\n", differing, len(want), len(got))
	}
	return b.String()
}

// firstDifference is the index of the first byte that differs.
func firstDifference(a, b string) int {
	at := 0
	for at < min(len(a), len(b)) && a[at] == b[at] {
		at++
	}
	return at
}

// excerpt is the part of a line around an index.
func excerpt(line string, at int) string {
	const before, after = 80, 160
	from, to := max(0, at-before), min(len(line), at+after)
	text := line[from:to]
	if from > 0 {
		text = "..." + text
	}
	if to < len(line) {
		text += "..."
	}
	return text
}

func goldenPath(name, ending string) string { return filepath.Join("testdata", name+ending) }

func digestOf(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

func readGolden(t *testing.T, name string) string {
	t.Helper()
	file, err := os.Open(goldenPath(name, ".gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	unzipped, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(unzipped)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func writeGolden(t *testing.T, name, text string) {
	t.Helper()
	var zipped bytes.Buffer
	w, err := gzip.NewWriterLevel(&zipped, gzip.BestCompression)
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
		goldenPath(name, ".gz"):     zipped.Bytes(),
		goldenPath(name, ".sha256"): []byte(digestOf(text) + "\n"),
	} {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("wrote %s, %d bytes", goldenPath(name, ".gz"), zipped.Len())
}
