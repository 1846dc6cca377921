package releasecontroller

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"strings"

	"lichenroad/rollout"
)

// The format of a journal is a header line followed by records. A record consists of the length of its payload, the CRC-32C
// of its payload (both as four bytes, little endian) and the payload, a JSON array of events that are applied together. The
// header contains the former name of the release controller ("desk"), so that old journals stay readable.
const (
	journalHeader     = "lichenroad desk journal 1\n"
	recordHeaderBytes = 8       // length and checksum
	maxRecordBytes    = 1 << 20 // size limit of a payload: some thousand events
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged reports that a record can't be read although a later one can. A crash damages only the last record, so the
// cause is something else, such as a disk error.
var ErrDamaged = errors.New("damaged")

// writeHeader turns a file into an empty journal and sets the file position to the end of the header.
func writeHeader(file *os.File) error {
	if err := file.Truncate(0); err != nil {
		return err
	}
	if _, err := file.WriteAt([]byte(journalHeader), 0); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	_, err := file.Seek(int64(len(journalHeader)), io.SeekStart)
	return err
}

// Scan calls apply for each event of a journal's content, and returns the length of the header and all complete records in
// bytes. It stops at a torn last record without an error. If a complete record follows one that can't be read, the error
// wraps ErrDamaged and gives the positions of both.
func Scan(content []byte, apply func(rollout.Event) error) (complete int, err error) {
	if !strings.HasPrefix(string(content[:min(len(content), len(journalHeader))]), journalHeader) {
		return 0, errors.New("not a release controller journal of this version")
	}
	offset := len(journalHeader)
	for offset < len(content) {
		payload, ok := decodeRecord(content[offset:])
		if !ok {
			if next, found := nextRecord(content, offset+1); found {
				return 0, fmt.Errorf("byte %d: %w record before an intact one at byte %d; restore a copy, or move the file away to start a new journal",
					offset, ErrDamaged, next)
			}
			return offset, nil
		}
		if err := applyPayload(payload, apply); err != nil {
			return 0, fmt.Errorf("byte %d: %w", offset, err)
		}
		offset += recordHeaderBytes + len(payload)
	}
	return offset, nil
}

// applyPayload decodes the events of a record and calls apply for each.
func applyPayload(payload []byte, apply func(rollout.Event) error) error {
	var events []rollout.Event
	if err := json.Unmarshal(payload, &events); err != nil {
		return err
	}
	for _, e := range events {
		if err := apply(e); err != nil {
			return err
		}
	}
	return nil
}

// nextRecord returns the position of the first complete record at or after a position.
func nextRecord(content []byte, from int) (offset int, found bool) {
	for offset := from; offset+recordHeaderBytes < len(content); offset++ {
		if _, ok := decodeRecord(content[offset:]); ok {
			return offset, true
		}
	}
	return 0, false
}

// decodeRecord returns the payload of the record at the start of raw if it is complete and its checksum is right.
func decodeRecord(raw []byte) (payload []byte, ok bool) {
	if len(raw) < recordHeaderBytes {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(raw)
	if length == 0 || length > maxRecordBytes || int(length) > len(raw)-recordHeaderBytes {
		return nil, false
	}
	payload = raw[recordHeaderBytes : recordHeaderBytes+int(length)]
	return payload, crc32.Checksum(payload, checksumTable) == binary.LittleEndian.Uint32(raw[4:])
}

func encodeRecord(events []rollout.Event) ([]byte, error) {
	payload, err := json.Marshal(events)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordBytes {
		return nil, fmt.Errorf("journal record of %d bytes is longer than the limit of %d", len(payload), maxRecordBytes)
	}
	record := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	record = binary.LittleEndian.AppendUint32(record, crc32.Checksum(payload, checksumTable))
	return append(record, payload...), nil
}
