// Package releasecontroller is the release desk on sockets: it keeps the state of package rollout in a journal, speaks the
// platform's lines to relays, and takes operators' words on a control socket. It decides nothing about releases.
package releasecontroller

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"

	"lichenroad/rollout"
)

// The journal's form: a first line, then records. A record is the length and the CRC-32C of its payload, four bytes
// each, little endian, and the payload, a JSON array of events that happened as one. What is told to anybody was
// written and flushed before.
const (
	journalHead = "lichenroad desk journal 1\n"
	recordHead  = 8
	mostRecord  = 1 << 20 // bytes of a payload: some thousand events
	journalName = "journal"
	nextName    = "journal.next" // of a shorter one that is being written
	lockName    = "lock"
	archives    = 8 // earlier journals that are kept for the history
)

// CompactAt is the size in bytes from which a journal is begun anew with a snapshot; some ten thousand votes.
const CompactAt = 4 << 20

var table = crc32.MakeTable(crc32.Castagnoli)

// Journal is the desk's record on disk.
type Journal struct {
	dir            string
	file           *os.File
	lock           *os.File
	size           int64
	TruncatedBytes int64 // bytes of a torn last record that were cut off at the start

	// Crash is called at named places, for tests that end the process or the writing there.
	CrashPoint func(place string) error
}

// errDamaged says that a record in the middle can't be read while later ones can: not the work of a crash.
var errDamaged = errors.New("damaged")

// Open reads the journal in a directory and folds it: each record is handed to apply. One desk at a time may have a
// directory open.
func Open(dir string, apply func(rollout.Event) error) (*Journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: another desk has it open", dir)
	}
	j := &Journal{dir: dir, lock: lock}
	if err := j.open(apply); err != nil {
		j.Close()
		return nil, err
	}
	return j, nil
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

func (j *Journal) open(apply func(rollout.Event) error) error {
	os.Remove(j.path(nextName)) // of a crash while it was written; the journal itself is whole
	file, err := os.OpenFile(j.path(journalName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	j.file = file
	raw, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	if len(raw) < len(journalHead) && strings.HasPrefix(journalHead, string(raw)) {
		j.TruncatedBytes = int64(len(raw))
		if err := j.start(file); err != nil {
			return err
		}
		j.size = int64(len(journalHead))
		return j.syncDir()
	}
	whole, err := Scan(raw, apply)
	if err != nil {
		return fmt.Errorf("%s: %w", j.path(journalName), err)
	}
	if j.TruncatedBytes = int64(len(raw) - whole); j.TruncatedBytes > 0 {
		if err := file.Truncate(int64(whole)); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
	}
	j.size = int64(whole)
	_, err = file.Seek(j.size, io.SeekStart)
	return err
}

// start writes the head of an empty file.
func (j *Journal) start(f *os.File) error {
	if err := f.Truncate(0); err != nil {
		return err
	}
	if _, err := f.WriteAt([]byte(journalHead), 0); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	_, err := f.Seek(int64(len(journalHead)), io.SeekStart)
	return err
}

// Scan folds a journal's records and gives how many bytes of it are whole. A last record that is torn ends it; one
// that can't be read with whole ones behind it is damage, and an error with its place.
func Scan(raw []byte, apply func(rollout.Event) error) (whole int, err error) {
	if !strings.HasPrefix(string(raw[:min(len(raw), len(journalHead))]), journalHead) {
		return 0, errors.New("no journal of a desk, or of another version")
	}
	at := len(journalHead)
	for at < len(raw) {
		payload, ok := record(raw[at:])
		if !ok {
			for next := at + 1; next+recordHead < len(raw); next++ {
				if _, ok := record(raw[next:]); ok {
					return 0, fmt.Errorf("byte %d: %w, with a whole record at byte %d; restore a copy, or move the file away to begin anew", at, errDamaged, next)
				}
			}
			return at, nil
		}
		var events []rollout.Event
		if err := json.Unmarshal(payload, &events); err != nil {
			return 0, fmt.Errorf("byte %d: %w", at, err)
		}
		for _, e := range events {
			if err := apply(e); err != nil {
				return 0, fmt.Errorf("byte %d: %w", at, err)
			}
		}
		at += recordHead + len(payload)
	}
	return at, nil
}

// record gives the payload of the record at the start of some bytes, if it is whole.
func record(raw []byte) ([]byte, bool) {
	if len(raw) < recordHead {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(raw)
	if n == 0 || n > mostRecord || int(n) > len(raw)-recordHead {
		return nil, false
	}
	payload := raw[recordHead : recordHead+int(n)]
	return payload, crc32.Checksum(payload, table) == binary.LittleEndian.Uint32(raw[4:])
}

func encode(events []rollout.Event) ([]byte, error) {
	payload, err := json.Marshal(events)
	if err != nil {
		return nil, err
	}
	if len(payload) > mostRecord {
		return nil, fmt.Errorf("a record of %d bytes", len(payload))
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, table))
	return append(b, payload...), nil
}

func (j *Journal) crash(place string) error {
	if j.CrashPoint != nil {
		return j.CrashPoint(place)
	}
	return nil
}

// Append writes events as one record and flushes it. After an error nothing more may be told: what is on disk is not
// known, and only a new start finds out.
func (j *Journal) Append(events []rollout.Event) error {
	b, err := encode(events)
	if err != nil {
		return err
	}
	if err := j.crash("before append"); err != nil {
		return err
	}
	if _, err := j.file.Write(b); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.size += int64(len(b))
	return j.crash("after append")
}

// Large says that the journal should be begun anew.
func (j *Journal) Large() bool { return j.size >= CompactAt }

// Compact begins the journal anew with events that fold into the present state. The earlier one is kept for the
// history. A crash at any place leaves the earlier journal or the new one, each whole: the new one is written and
// flushed under another name, the old one gets a second name, and one rename puts the new one in its place.
func (j *Journal) Compact(snapshot []rollout.Event) error {
	next, err := os.OpenFile(j.path(nextName), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	fail := func(err error) error {
		next.Close()
		return err
	}
	if err := j.start(next); err != nil {
		return fail(err)
	}
	size := int64(len(journalHead))
	for len(snapshot) > 0 {
		n := min(len(snapshot), 500)
		b, err := encode(snapshot[:n])
		if err != nil {
			return fail(err)
		}
		if err := j.crash("within snapshot"); err != nil {
			return fail(err)
		}
		if _, err := next.Write(b); err != nil {
			return fail(err)
		}
		size, snapshot = size+int64(len(b)), snapshot[n:]
	}
	if err := next.Sync(); err != nil {
		return fail(err)
	}
	if err := j.crash("before archive"); err != nil {
		return fail(err)
	}
	old, err := j.archived()
	if err != nil {
		return fail(err)
	}
	number := 1
	if len(old) > 0 {
		fmt.Sscanf(filepath.Base(old[len(old)-1]), journalName+".%d", &number)
		number++
	}
	if err := os.Link(j.path(journalName), j.path(fmt.Sprintf("%s.%08d", journalName, number))); err != nil {
		return fail(err)
	}
	if err := j.crash("before rename"); err != nil {
		return fail(err)
	}
	if err := os.Rename(j.path(nextName), j.path(journalName)); err != nil {
		return fail(err)
	}
	if err := j.syncDir(); err != nil {
		return fail(err)
	}
	for i := 0; i+archives <= len(old); i++ {
		os.Remove(old[i])
	}
	j.file.Close()
	j.file, j.size = next, size
	return j.crash("after rename")
}

func (j *Journal) syncDir() error {
	d, err := os.Open(j.dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// archived lists the earlier journals, the earliest first.
func (j *Journal) archived() ([]string, error) { return archived(j.dir) }

func archived(dir string) ([]string, error) {
	list, err := filepath.Glob(filepath.Join(dir, journalName+".[0-9]*"))
	sort.Strings(list)
	return list, err
}

// History gives the events of the journals in a directory that are kept, the earliest first, without the votes where
// only moves are wanted, and at most so many of the latest.
func History(dir string, votes bool, most int) ([]rollout.Event, error) {
	list, err := archived(dir)
	if err != nil {
		return nil, err
	}
	var out []rollout.Event
	for i, name := range append(list, filepath.Join(dir, journalName)) {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var events []rollout.Event
		if _, err := Scan(raw, func(e rollout.Event) error { events = append(events, e); return nil }); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if i > 0 { // it begins with a snapshot of what was said before
			for k, e := range events {
				if e.Kind == rollout.EventControllerStarted && e.Reason == "snapshot" {
					events = events[k+1:]
					break
				}
			}
		}
		for _, e := range events {
			if votes || e.Kind != rollout.EventVoted {
				out = append(out, e)
			}
		}
	}
	return out[max(0, len(out)-most):], nil
}

// Close lets go of the directory.
func (j *Journal) Close() {
	if j.file != nil {
		j.file.Close()
	}
	j.lock.Close()
}
