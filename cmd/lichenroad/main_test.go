package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
)

func TestCommandLine(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.json")
	text := `{"name":"n0","listen":"127.0.0.1:5433","discovery":"127.0.0.1:8500","settings":` + testSettings + `}`
	if err := os.WriteFile(good, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	bad := good + ".bad"
	if err := os.WriteFile(bad, []byte(strings.NewReplacer(`127.0.0.1:5433`, `x`, `127.0.0.1:8500`, ``).Replace(text)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		code int
		out  string
		errs string
	}{
		{"", 0, "Usage", ""}, {"help", 0, "Usage", ""}, {"fly", 2, "", "fly"}, {"version", 0, "lichenroad ", ""},
		{"check --config " + good, 0, "ok: n0", ""}, {"check --config " + bad, 1, "", "listen"},
		{"check --config " + bad, 1, "", "discovery"}, {"serve --config " + bad, 1, "", "listen"},
		{"check --config /none", 1, "", "none"}, {"check", 1, "", "BALANCER_CONFIG"}, {"check more", 2, "", "more"},
		{"serve --log-level loud --config " + good, 2, "", "loud"}, {"check --flag", 2, "", "flag"},
	} {
		t.Run(c.args, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := run(strings.Fields(c.args), func(string) string { return "" }, &out, &errs)
			if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.errs) {
				t.Errorf("exit %d, output %q, errors %q", code, out.String(), errs.String())
			}
			if code == 1 && strings.Count(errs.String(), "\n") != 1 {
				t.Errorf("the error is not one line: %q", errs.String())
			}
		})
	}
}

// blockedWriter is a writer whose Write blocks until unblock is closed.
type blockedWriter struct {
	bytes.Buffer
	unblock chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(b)
}

// TestLogNeverBlocks writes more lines than the queue holds while the log's reader is stuck: the surplus is dropped and
// counted, and the rest is written at the end.
func TestLogNeverBlocks(t *testing.T) {
	counters := &metrics.Counters{}
	destination := &blockedWriter{unblock: make(chan struct{})}
	writer := newAsyncWriter(destination, counters)
	for range limits.MaxQueuedLogLines + 10 {
		writer.Write([]byte("line\n"))
	}
	dropped := int(counters.Get(metrics.LogDropped))
	if dropped < 9 || dropped > 10 { // one line may be in the blocked Write instead of the queue
		t.Errorf("%d lines dropped, want 9 or 10", dropped)
	}
	close(destination.unblock)
	writer.Close()
	if got := strings.Count(destination.String(), "line\n"); got != limits.MaxQueuedLogLines+10-dropped {
		t.Errorf("%d lines written, %d dropped", got, dropped)
	}
}
