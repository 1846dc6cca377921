package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lichenroad/internal/config"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pgwire"
	"lichenroad/relay"
)

// TestMain lets the test's own program run as lichenroad, for tests of signals and of processes.
func TestMain(m *testing.M) {
	if os.Getenv("LICHENROAD_AS_PROGRAM") != "" {
		main()
	}
	if args := os.Getenv("LICHENROAD_ARGS"); args != "" {
		os.Exit(run(strings.Fields(args), os.Getenv, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestReloadBySignal has a relay read its file again while a watch is open: a good file, and a half-written one.
func TestReloadBySignal(t *testing.T) {
	before, after := newFakeEndpoint(t, always(succeed)), newFakeEndpoint(t, always(succeed))
	old, fresh := newFakeDiscovery(t, before), newFakeDiscovery(t, after)
	ln := newListener(t)
	listen := ln.Addr().String()
	ln.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	file := func(f *fakeDiscovery) []byte {
		return []byte(fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"known":%s,"settings":%s}`, listen,
			f.srv.Listener.Addr(), f.list(), testSettings))
	}
	write := func(b []byte) {
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(file(old))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "LICHENROAD_ARGS=serve --config "+path, "BALANCER_DISCOVERY="+old.srv.Listener.Addr().String())
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	log := bufio.NewScanner(out)
	line := func(part string) string {
		t.Helper()
		for log.Scan() {
			if strings.Contains(log.Text(), "call failed") {
				t.Error("a move of our own was logged as a failure:", log.Text())
			}
			if strings.Contains(log.Text(), part) {
				return log.Text()
			}
		}
		t.Fatalf("the relay ended with no line of %q", part)
		return ""
	}
	ask := func() string {
		n, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		n.SetDeadline(time.Now().Add(testTimeout))
		c := &client{t, n, bufio.NewReader(n)}
		n.Write(pgwire.Startup("worker", "catalog"))
		c.readUntil('Z')
		c.send("") // answered when the relay is ready, as a load balancer waits for
		c.readUntil('I')
		c.readUntil('Z')
		c.send(selectStatement("look", 1500))
		v, _ := c.readResponse()
		return v
	}
	line("serving")
	if ask() == "" {
		t.Error("not served before the reload")
	}
	half := file(fresh)
	write(half[:len(half)/2])
	cmd.Process.Signal(syscall.SIGHUP)
	line("configuration rejected")
	if ask() == "" {
		t.Error("not served after a refused reload")
	}
	write(file(fresh))
	cmd.Process.Signal(syscall.SIGHUP)
	line("configuration reloaded")
	for until := time.Now().Add(testTimeout); len(after.received) == 0; { // the new list has another endpoint
		if ask() == "" && time.Now().After(until) {
			t.Fatal("the list of the new discovery does not serve")
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if s := line("counters"); !strings.Contains(s, "reloads=1") || !strings.Contains(s, "reloads_refused=1") {
		t.Error(s)
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// TestPlatformMoves reloads with a vote in flight at the old address: it is answered there; the next vote and the watch
// go to the new one.
func TestPlatformMoves(t *testing.T) {
	answer := func(line string) string {
		if line == "WATCH" {
			return "OK\r\n* news 1 0 stable 1 5000\r\n"
		}
		return ""
	}
	old, fresh := newFakePlatform(t, answer), newFakePlatform(t, answer)
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), func(c *config.Config) {
		withPlatform(old)(c)
		c.Site.Rollout.CallTimeout = 10 * testTimeout.Seconds()
	})
	watch := <-old.conns
	old.nextLine(t, "WATCH")
	vote := func() { p.loop.Platform.Vote(relay.Vote{Build: 2, Verdict: relay.VotePromote}) }
	vote()
	old.nextLine(t, "VOTE")
	votes := <-old.conns
	next := p.config
	next.Platform = fresh.ln.Addr().String()
	p.reload(next, nil)
	fresh.nextLine(t, "WATCH")
	waitForCounter(t, p, metrics.RolloutStatuses, 2)
	vote()
	fresh.nextLine(t, "VOTE")
	fmt.Fprint(votes, "OK 2 0 canary 0.5 10\r\n")
	waitForCounter(t, p, metrics.VotesCounted, 1)
	fmt.Fprint(watch, "*\r\n")
	watch.SetDeadline(time.Now().Add(testTimeout))
	if _, err := watch.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("the watch at the old address is kept:", err)
	}
	if len(old.lines) != 0 || p.loop.Metrics.Get(metrics.VotesMaybeCounted) != 0 {
		t.Error("the open vote was cast again or given up")
	}
}
