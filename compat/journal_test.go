package compat_test

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// journalHeader is the first line of a release controller's journal. Records follow it: the length and the CRC-32C of the
// payload, each four bytes in little-endian order, and the payload in JSON.
const journalHeader = "lichenroad desk journal 1\n"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// journalLines reads a journal and returns the payloads of its records, with the times in a span masked. It fails on an invalid
// record.
func journalLines(t *testing.T, path string, masked timeSpan) (lines []string) {
	t.Helper()
	raw := readFile(t, path)
	rest, hasHeader := bytes.CutPrefix(raw, []byte(journalHeader))
	if !hasHeader {
		t.Fatalf("%s begins with %.40q, want the header of a journal", path, raw)
	}
	for len(rest) > 0 {
		if len(rest) < 8 || len(rest)-8 < int(binary.LittleEndian.Uint32(rest)) {
			t.Fatalf("%s: the last %d bytes are not a complete record", path, len(rest))
		}
		payload := rest[8 : 8+binary.LittleEndian.Uint32(rest)]
		if sum := binary.LittleEndian.Uint32(rest[4:]); crc32.Checksum(payload, castagnoli) != sum {
			t.Fatalf("%s: the CRC-32C of %.80q is not %08x", path, payload, sum)
		}
		lines = append(lines, maskTimes(string(payload), masked))
		rest = rest[8+len(payload):]
	}
	return lines
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// recordJournals copies the journals of a state directory to testdata, if both -update and -keep-journals are set.
func recordJournals(t *testing.T, stateDir, name string) {
	t.Helper()
	if !*update || !*updateJournals {
		return
	}
	files, err := filepath.Glob(filepath.Join(stateDir, "journal*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		writeGolden(t, filepath.Join("desk", name, filepath.Base(file)), string(readFile(t, file)))
	}
}

// restoreJournals copies recorded journals to a new state directory.
func restoreJournals(t *testing.T, name string) (stateDir string) {
	t.Helper()
	stateDir = t.TempDir()
	files, err := filepath.Glob(goldenPath(filepath.Join("desk", name, "journal*"), ".gz"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no journals are recorded as %s (error %v)", name, err)
	}
	for _, file := range files {
		base := strings.TrimSuffix(filepath.Base(file), ".gz")
		content := readGolden(t, filepath.Join("desk", name, base))
		if err := os.WriteFile(filepath.Join(stateDir, base), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return stateDir
}
