package releasecontroller

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"lichenroad/rollout"
)

const (
	maxArchives                = 8 // archived journals kept for History
	maxEventsPerSnapshotRecord = 500
)

// NeedsCompaction reports whether the journal should be compacted.
func (j *Journal) NeedsCompaction() bool { return j.size >= CompactionThresholdBytes }

// Compact replaces the journal by one that begins with a snapshot: events that rebuild the current state. The old journal
// is archived for History. A crash at any point leaves either the old journal or the new one, complete: the new one is
// written and flushed under a temporary name, the old one is hard-linked as an archive, and a rename replaces it.
func (j *Journal) Compact(snapshot []rollout.Event) error {
	next, err := os.OpenFile(j.path(nextJournalName), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	size, err := j.writeSnapshot(next, snapshot)
	if err == nil {
		err = j.replaceJournalWith(nextJournalName)
	}
	if err != nil {
		_ = next.Close() // its error is dropped: err, the cause of the failure, is returned
		return err
	}
	_ = j.file.Close() // every write to it was flushed
	j.file, j.size = next, size
	return j.reachCrashPoint("after rename")
}

// writeSnapshot writes a journal that contains only the snapshot, flushes it, and returns its size in bytes.
func (j *Journal) writeSnapshot(file *os.File, snapshot []rollout.Event) (size int64, err error) {
	if err := writeHeader(file); err != nil {
		return 0, err
	}
	size = int64(len(journalHeader))
	for len(snapshot) > 0 {
		count := min(len(snapshot), maxEventsPerSnapshotRecord)
		record, err := encodeRecord(snapshot[:count])
		if err != nil {
			return 0, err
		}
		if err := j.reachCrashPoint("within snapshot"); err != nil {
			return 0, err
		}
		if _, err := file.Write(record); err != nil {
			return 0, err
		}
		size += int64(len(record))
		snapshot = snapshot[count:]
	}
	return size, file.Sync()
}

// replaceJournalWith archives the journal, renames the named file to be the journal, and removes the oldest archives beyond
// maxArchives.
func (j *Journal) replaceJournalWith(name string) error {
	if err := j.reachCrashPoint("before archive"); err != nil {
		return err
	}
	archived, err := archivePaths(j.dir)
	if err != nil {
		return err
	}
	if err := os.Link(j.path(journalName), j.path(nextArchive(archived))); err != nil {
		return err
	}
	if err := j.reachCrashPoint("before rename"); err != nil {
		return err
	}
	if err := os.Rename(j.path(name), j.path(journalName)); err != nil {
		return err
	}
	if err := j.syncDir(); err != nil {
		return err
	}
	for i := 0; i+maxArchives <= len(archived); i++ {
		_ = os.Remove(archived[i]) // if it fails, the next compaction tries again
	}
	return nil
}

// archivePaths returns the paths of the archived journals in a directory, oldest first.
func archivePaths(dir string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, journalName+".[0-9]*"))
	sort.Strings(paths)
	return paths, err
}

// nextArchive returns the file name of the archive that follows the given ones, which are sorted.
func nextArchive(archived []string) string {
	number := 1
	if len(archived) > 0 {
		last := filepath.Base(archived[len(archived)-1])
		_, _ = fmt.Sscanf(last, journalName+".%d", &number) // a name without a number counts as number 1
		number++
	}
	return fmt.Sprintf("%s.%08d", journalName, number)
}
