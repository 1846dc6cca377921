//go:build review

package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// WriteJSON writes a value to a file under a temporary name and renames it.
func WriteJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".next", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// WaitPID waits until run.sh has written the id of a process that it started to DIR/NAME.pid.
func WaitPID(dir, name string, within time.Duration) (int, error) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		text, err := os.ReadFile(filepath.Join(dir, name+".pid"))
		if pid, bad := strconv.Atoi(strings.TrimSpace(string(text))); err == nil && bad == nil && pid > 1 {
			return pid, nil
		}
	}
	return 0, errors.New("no process id of " + name)
}

// PeakMemory returns the highest resident memory of a process so far, in KiB, as the system counts it.
func PeakMemory(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			return strconv.Atoi(fields[1])
		}
	}
	return 0, errors.New("no VmHWM")
}
