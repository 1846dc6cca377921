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

// The journal's format: a header line, then records. A record is the length and the CRC-32C of its payload, four bytes
// each, little endian, and the payload, a JSON array of events that are applied together. The header keeps the name that the
// release controller had first: journals written then stay readable.
const (
	journalHeader  = "lichenroad desk journal 1\n"
	recordHeader   = 8       // bytes before a payload
	maxRecordBytes = 1 << 20 // of a payload: some thousand events
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged says that a record can't be read while later ones can. A crash tears the last record only, so something else
// has changed the file.
var ErrDamaged = errors.New("damaged")

// writeHeader makes a file an empty journal and leaves its position behind the header.
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

// Scan hands the events of a journal's content to apply and returns how many bytes of it are complete records. A torn
// last record ends it; one that can't be read before a complete one is ErrDamaged, with its place.
func Scan(content []byte, apply func(rollout.Event) error) (complete int, err error) {
	if !strings.HasPrefix(string(content[:min(len(content), len(journalHeader))]), journalHeader) {
		return 0, errors.New("no journal of a release controller, or of another version")
	}
	at := len(journalHeader)
	for at < len(content) {
		payload, ok := decodeRecord(content[at:])
		if !ok {
			if next, found := nextRecord(content, at+1); found {
				return 0, fmt.Errorf("byte %d: %w, with a whole record at byte %d; restore a copy, or move the file away to begin anew",
					at, ErrDamaged, next)
			}
			return at, nil
		}
		if err := applyPayload(payload, apply); err != nil {
			return 0, fmt.Errorf("byte %d: %w", at, err)
		}
		at += recordHeader + len(payload)
	}
	return at, nil
}

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

// nextRecord finds the first complete record from a byte on.
func nextRecord(content []byte, from int) (at int, found bool) {
	for at := from; at+recordHeader < len(content); at++ {
		if _, ok := decodeRecord(content[at:]); ok {
			return at, true
		}
	}
	return 0, false
}

// decodeRecord returns the payload of the record at the start of raw, if it is complete.
func decodeRecord(raw []byte) (payload []byte, ok bool) {
	if len(raw) < recordHeader {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(raw)
	if length == 0 || length > maxRecordBytes || int(length) > len(raw)-recordHeader {
		return nil, false
	}
	payload = raw[recordHeader : recordHeader+int(length)]
	return payload, crc32.Checksum(payload, checksumTable) == binary.LittleEndian.Uint32(raw[4:])
}

func encodeRecord(events []rollout.Event) ([]byte, error) {
	payload, err := json.Marshal(events)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecordBytes {
		return nil, fmt.Errorf("a record of %d bytes", len(payload))
	}
	record := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	record = binary.LittleEndian.AppendUint32(record, crc32.Checksum(payload, checksumTable))
	return append(record, payload...), nil
}
