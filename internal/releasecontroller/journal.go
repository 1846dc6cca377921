package releasecontroller

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"lichenroad/rollout"
)

// Names of files in the controller's directory.
const (
	journalName     = "journal"
	nextJournalName = "journal.next" // a compacted journal while it is being written
	lockName        = "lock"
)

// CompactionThresholdBytes is the size from which a journal is compacted: some ten thousand votes.
const CompactionThresholdBytes = 4 << 20

// ErrLocked reports that another release controller has the directory open.
var ErrLocked = errors.New("another release controller uses this directory")

// Journal is the write-ahead log of the state machine's events: an event is on disk before anyone is notified of it. It is
// not safe for concurrent use.
type Journal struct {
	dir  string
	file *os.File
	lock *os.File
	size int64

	// TruncatedBytes is the size of the torn last record that Open cut off; 0 if there was none.
	TruncatedBytes int64

	// CrashPoint, if set, is called at named places between writes. Tests use it to end the process there, or to return an
	// error, which stops the operation.
	CrashPoint func(place string) error
}

// Open opens the journal in a directory, or creates one, and calls apply for each of its events. It fails with ErrLocked
// while another process has the journal open, and with ErrDamaged if a record other than the last one can't be read.
func Open(dir string, apply func(rollout.Event) error) (*Journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written to it
		return nil, fmt.Errorf("%s: %w", dir, ErrLocked)
	}
	j := &Journal{dir: dir, lock: lock}
	if err := j.replay(apply); err != nil {
		j.Close()
		return nil, err
	}
	return j, nil
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

// replay opens the journal file, calls apply for each of its events, and cuts off a torn last record.
func (j *Journal) replay(apply func(rollout.Event) error) error {
	_ = os.Remove(j.path(nextJournalName)) // left by a crash during a compaction, if it exists; the journal itself is complete
	file, err := os.OpenFile(j.path(journalName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	j.file = file
	content, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	if len(content) < len(journalHeader) && strings.HasPrefix(journalHeader, string(content)) {
		return j.initialize(len(content))
	}
	complete, err := Scan(content, apply)
	if err != nil {
		return fmt.Errorf("%s: %w", j.path(journalName), err)
	}
	j.size = int64(complete)
	if j.TruncatedBytes = int64(len(content) - complete); j.TruncatedBytes > 0 {
		if err := file.Truncate(j.size); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
	}
	_, err = file.Seek(j.size, io.SeekStart)
	return err
}

// initialize writes an empty journal to the file, which is new, or holds the first torn bytes of a header because of a crash.
func (j *Journal) initialize(torn int) error {
	j.TruncatedBytes = int64(torn)
	if err := writeHeader(j.file); err != nil {
		return err
	}
	j.size = int64(len(journalHeader))
	return j.syncDir()
}

// Append writes events as one record and flushes it to disk. After an error nobody may be notified of any event: it is
// unknown whether the record is on disk until the journal is opened again.
func (j *Journal) Append(events []rollout.Event) error {
	record, err := encodeRecord(events)
	if err != nil {
		return err
	}
	if err := j.reachCrashPoint("before append"); err != nil {
		return err
	}
	if _, err := j.file.Write(record); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.size += int64(len(record))
	return j.reachCrashPoint("after append")
}

// Close closes the journal and releases the lock. All that Append wrote is on disk already.
func (j *Journal) Close() {
	if j.file != nil {
		_ = j.file.Close() // every write was flushed
	}
	_ = j.lock.Close() // nothing was written to it
}

func (j *Journal) reachCrashPoint(place string) error {
	if j.CrashPoint != nil {
		return j.CrashPoint(place)
	}
	return nil
}

// syncDir flushes the directory, so that created and renamed files are found after a crash.
func (j *Journal) syncDir() error {
	dir, err := os.Open(j.dir)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // opened only for reading
	return dir.Sync()
}
