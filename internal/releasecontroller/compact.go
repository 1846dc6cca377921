package releasecontroller

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"lichenroad/rollout"
)

const (
	maxArchives       = 8   // earlier journals that are kept for the history
	maxSnapshotEvents = 500 // in one record of a snapshot
)

// NeedsCompaction reports whether the journal should be compacted.
func (j *Journal) NeedsCompaction() bool { return j.size >= CompactionThresholdBytes }

// Compact begins the journal anew with a snapshot: events that lead to the present state. The earlier journal is kept for
// the history. A crash at any place leaves the earlier journal or the new one, each complete: the new one is written and
// flushed under another name, the old one gets a second name, and one rename puts the new one in its place.
func (j *Journal) Compact(snapshot []rollout.Event) error {
	next, err := os.OpenFile(j.path(nextName), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	size, err := j.writeSnapshot(next, snapshot)
	if err == nil {
		err = j.replaceBy(nextName)
	}
	if err != nil {
		_ = next.Close() // the error before it is the one to report
		return err
	}
	_ = j.file.Close() // every write to it was flushed
	j.file, j.size = next, size
	return j.crash("after rename")
}

// writeSnapshot writes a journal of the snapshot alone, flushes it, and returns its size in bytes.
func (j *Journal) writeSnapshot(file *os.File, snapshot []rollout.Event) (size int64, err error) {
	if err := writeHeader(file); err != nil {
		return 0, err
	}
	size = int64(len(journalHeader))
	for len(snapshot) > 0 {
		count := min(len(snapshot), maxSnapshotEvents)
		record, err := encodeRecord(snapshot[:count])
		if err != nil {
			return 0, err
		}
		if err := j.crash("within snapshot"); err != nil {
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

// replaceBy archives the journal, puts the named file in its place, and removes the archives that are too many.
func (j *Journal) replaceBy(name string) error {
	if err := j.crash("before archive"); err != nil {
		return err
	}
	earlier, err := archives(j.dir)
	if err != nil {
		return err
	}
	if err := os.Link(j.path(journalName), j.path(nextArchive(earlier))); err != nil {
		return err
	}
	if err := j.crash("before rename"); err != nil {
		return err
	}
	if err := os.Rename(j.path(name), j.path(journalName)); err != nil {
		return err
	}
	if err := j.syncDir(); err != nil {
		return err
	}
	for i := 0; i+maxArchives <= len(earlier); i++ {
		_ = os.Remove(earlier[i]) // one that stays is removed after the next compaction
	}
	return nil
}

// archives lists the earlier journals in a directory, the earliest first.
func archives(dir string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, journalName+".[0-9]*"))
	sort.Strings(paths)
	return paths, err
}

// nextArchive names the archive that follows those given.
func nextArchive(earlier []string) string {
	number := 1
	if len(earlier) > 0 {
		last := filepath.Base(earlier[len(earlier)-1])
		_, _ = fmt.Sscanf(last, journalName+".%d", &number) // a name with no number that fits counts as the first
		number++
	}
	return fmt.Sprintf("%s.%08d", journalName, number)
}
