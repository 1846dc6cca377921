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
				t.Errorf("%d %q %q", code, out.String(), errs.String())
			}
			if code == 1 && strings.Count(errs.String(), "\n") != 1 {
				t.Errorf("not one line: %q", errs.String())
			}
		})
	}
}

// blockedWriter is a writer that blocks until free is closed.
type blockedWriter struct {
	bytes.Buffer
	free chan struct{}
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(b)
}

func TestLogHoldsNobodyUp(t *testing.T) {
	counters := &metrics.Counters{}
	to := &blockedWriter{free: make(chan struct{})}
	l := newAsyncWriter(to, counters)
	for range limits.MaxQueuedLogLines + 10 {
		l.Write([]byte("line\n"))
	}
	dropped := int(counters.Get(metrics.LogDropped))
	if dropped < 9 || dropped > 10 { // one may be in the write that blocks
		t.Errorf("%d dropped", dropped)
	}
	close(to.free)
	l.Close()
	if got := strings.Count(to.String(), "line\n"); got != limits.MaxQueuedLogLines+10-dropped {
		t.Errorf("%d written, %d dropped", got, dropped)
	}
}
