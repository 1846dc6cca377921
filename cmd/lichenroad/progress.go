//go:build !slim

package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"

	"lichenroad/lab"
)

// progressBar is a bar on standard error, up to a total, -1 where it isn't known; nil where nobody sees it, as in a pipe.
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

// virtualProgress shows how much of a span of virtual time has been simulated, in thousandths of the span's unit. The
// function that it returns takes the time reached; it is nil where nobody sees the bar.
func (t *tool) virtualProgress(span float64, what string) func(reached float64) {
	const perMille = 1000
	bar := t.progressBar(int64(span*perMille), what)
	if bar == nil {
		return nil
	}
	return func(reached float64) {
		_ = bar.Set64(int64(reached * perMille)) // a bar that can't be drawn is no reason to stop
	}
}

// writeJSON puts a result in a file, complete or not at all; nothing where no file is named.
func (t *tool) writeJSON(name string, result any) error {
	if name == "" {
		return nil
	}
	content, err := json.MarshalIndent(result, "", "  ")
	if err == nil {
		err = lab.WriteFile(name, append(content, '\n'))
	}
	return failed(err)
}
