package releasecontroller

import (
	"fmt"
	"os"
	"path/filepath"

	"lichenroad/rollout"
)

// History returns the latest events of the journal and its archives in a directory, oldest first and at most limit. Votes
// are included only if votes is set. It may be called while a release controller uses the directory.
func History(dir string, votes bool, limit int) ([]rollout.Event, error) {
	paths, err := archivePaths(dir)
	if err != nil {
		return nil, err
	}
	var history []rollout.Event
	for i, path := range append(paths, filepath.Join(dir, journalName)) {
		events, err := readEvents(path)
		if err != nil {
			return nil, err
		}
		if i > 0 {
			events = withoutSnapshot(events) // the archive before it has the events that led to the snapshot
		}
		for _, e := range events {
			if votes || e.Kind != rollout.EventVoted {
				history = append(history, e)
			}
		}
	}
	return history[max(0, len(history)-limit):], nil
}

// readEvents returns the events of one journal file.
func readEvents(path string) ([]rollout.Event, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var events []rollout.Event
	collect := func(e rollout.Event) error {
		events = append(events, e)
		return nil
	}
	if _, err := Scan(content, collect); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}

// withoutSnapshot returns the events after the snapshot at the beginning of a compacted journal. The last event of a
// snapshot is an EventControllerStarted with the reason "snapshot".
func withoutSnapshot(events []rollout.Event) []rollout.Event {
	for i, e := range events {
		if e.Kind == rollout.EventControllerStarted && e.Reason == "snapshot" {
			return events[i+1:]
		}
	}
	return events
}
