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

// A release controller's journal is a first line, then records of a length and a CRC-32C, each four bytes in little endian,
// and a payload in JSON.
const journalHead = "lichenroad desk journal 1\n"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// journalLines reads a whole journal and returns its payloads, with the times of the running test masked.
func journalLines(t *testing.T, path string, masked timeSpan) (lines []string) {
	t.Helper()
	raw := readFile(t, path)
	rest, complete := bytes.CutPrefix(raw, []byte(journalHead))
	if !complete {
		t.Fatalf("%s begins with %.40q", path, raw)
	}
	for len(rest) > 0 {
		if len(rest) < 8 || len(rest)-8 < int(binary.LittleEndian.Uint32(rest)) {
			t.Fatalf("%s: %d bytes at its end are no record", path, len(rest))
		}
		payload := rest[8 : 8+binary.LittleEndian.Uint32(rest)]
		if sum := binary.LittleEndian.Uint32(rest[4:]); crc32.Checksum(payload, castagnoli) != sum {
			t.Fatalf("%s: the sum of %.80q is not %08x", path, payload, sum)
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

// keepJournals copies the journals of a state directory to testdata, if both flags for that are given.
func keepJournals(t *testing.T, state, name string) {
	t.Helper()
	if !*update || !*keep {
		return
	}
	files, err := filepath.Glob(filepath.Join(state, "journal*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		writeGolden(t, filepath.Join("desk", name, filepath.Base(file)), string(readFile(t, file)))
	}
}

// restoreJournals copies kept journals to a new state directory.
func restoreJournals(t *testing.T, name string) (state string) {
	t.Helper()
	state = t.TempDir()
	files, err := filepath.Glob(goldenPath(filepath.Join("desk", name, "journal*"), ".gz"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no journals are kept as %s (%v)", name, err)
	}
	for _, file := range files {
		base := strings.TrimSuffix(filepath.Base(file), ".gz")
		content := readGolden(t, filepath.Join("desk", name, base))
		if err := os.WriteFile(filepath.Join(state, base), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return state
}
