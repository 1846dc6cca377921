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

// Names of the files in the controller's directory.
const (
	journalName = "journal"
	nextName    = "journal.next" // of a compacted one that is being written
	lockName    = "lock"
)

// CompactionThresholdBytes is the size in bytes from which a journal is compacted; some ten thousand votes.
const CompactionThresholdBytes = 4 << 20

// ErrLocked says that another release controller has the directory open.
var ErrLocked = errors.New("another release controller has it open")

// Journal is the write-ahead log of the state machine's events: an event is on disk before anyone is notified of it. One
// goroutine at a time may use it.
type Journal struct {
	dir  string
	file *os.File
	lock *os.File
	size int64

	// TruncatedBytes is the size of a torn last record that Open cut off.
	TruncatedBytes int64

	// CrashPoint, if set, is called at named places, for tests that end the process or the writing there.
	CrashPoint func(place string) error
}

// Open opens the journal in a directory, or begins one, and hands each of its events to apply. It fails with ErrLocked
// while another process has it open, and with ErrDamaged where a record in the middle can't be read.
func Open(dir string, apply func(rollout.Event) error) (*Journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // an empty file
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

// replay opens the file, hands its events to apply, and cuts off a torn last record.
func (j *Journal) replay(apply func(rollout.Event) error) error {
	_ = os.Remove(j.path(nextName)) // of a crash while it was written, if any; the journal itself is complete
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
		return j.begin(len(content))
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

// begin makes the file an empty journal. It is new, or a crash left so many bytes of the header.
func (j *Journal) begin(torn int) error {
	j.TruncatedBytes = int64(torn)
	if err := writeHeader(j.file); err != nil {
		return err
	}
	j.size = int64(len(journalHeader))
	return j.syncDir()
}

// Append writes events as one record and flushes it to disk. After an error no one may be notified of anything: what is
// on disk is not known, and only a new start finds out.
func (j *Journal) Append(events []rollout.Event) error {
	record, err := encodeRecord(events)
	if err != nil {
		return err
	}
	if err := j.crash("before append"); err != nil {
		return err
	}
	if _, err := j.file.Write(record); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.size += int64(len(record))
	return j.crash("after append")
}

// Close releases the directory. What Append wrote is on disk already.
func (j *Journal) Close() {
	if j.file != nil {
		_ = j.file.Close() // every write was flushed
	}
	_ = j.lock.Close() // an empty file
}

func (j *Journal) crash(place string) error {
	if j.CrashPoint != nil {
		return j.CrashPoint(place)
	}
	return nil
}

// syncDir flushes the directory, and with it the names of files.
func (j *Journal) syncDir() error {
	dir, err := os.Open(j.dir)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // opened for reading
	return dir.Sync()
}
