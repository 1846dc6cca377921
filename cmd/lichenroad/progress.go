//go:build !slim

package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"

	"lichenroad/lab"
)

// progressBar returns a progress bar on standard error, or nil if that is not a terminal. A total of -1 means unknown.
func (t *tool) progressBar(total int64, what string, more ...progressbar.Option) *progressbar.ProgressBar {
	const redrawInterval = 200 * time.Millisecond
	terminal, ok := t.stderr.(*os.File)
	if !ok {
		return nil
	}
	if info, err := terminal.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	options := append(more, progressbar.OptionSetWriter(terminal), progressbar.OptionSetDescription(what),
		progressbar.OptionThrottle(redrawInterval), progressbar.OptionClearOnFinish(), progressbar.OptionSetPredictTime(true))
	return progressbar.NewOptions64(total, options...)
}

// virtualProgress shows a progress bar of a simulation over a span of virtual time, in thousandths of the span's unit. It
// returns the function to call with the time reached, or nil if standard error is not a terminal.
func (t *tool) virtualProgress(span float64, what string) func(reached float64) {
	const perMille = 1000
	bar := t.progressBar(int64(span*perMille), what)
	if bar == nil {
		return nil
	}
	return func(reached float64) {
		_ = bar.Set64(int64(reached * perMille)) // a simulation goes on if the bar can't be drawn
	}
}

// writeJSON writes a result to a file, either as a whole or not at all. It does nothing if the name is empty.
func (t *tool) writeJSON(name string, result any) error {
	if name == "" {
		return nil
	}
	content, err := json.MarshalIndent(result, "", "  ")
	if err == nil {
		err = lab.WriteFile(name, append(content, '\n'))
	}
	return withExitFailed(err)
}
