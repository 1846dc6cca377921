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

// TestMain lets the test binary run as lichenroad, for tests of signals and of processes.
func TestMain(m *testing.M) {
	if os.Getenv("LICHENROAD_AS_PROGRAM") != "" {
		main()
	}
	if args := os.Getenv("LICHENROAD_ARGS"); args != "" {
		os.Exit(run(strings.Fields(args), os.Getenv, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestReloadBySignal sends SIGHUP to a relay, first with a truncated configuration, which is rejected, then with one that
// has another discovery address: its endpoints are used, and the end of the old watch is not logged as a failure.
func TestReloadBySignal(t *testing.T) {
	oldEndpoint, newEndpoint := newFakeEndpoint(t, always(succeed)), newFakeEndpoint(t, always(succeed))
	oldDiscovery, newDiscovery := newFakeDiscovery(t, oldEndpoint), newFakeDiscovery(t, newEndpoint)
	ln := newListener(t)
	listen := ln.Addr().String()
	ln.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	configFor := func(f *fakeDiscovery) []byte {
		return []byte(fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"known":%s,"settings":%s}`, listen,
			f.srv.Listener.Addr(), f.list(), testSettings))
	}
	write := func(b []byte) {
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(configFor(oldDiscovery))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "LICHENROAD_ARGS=serve --config "+path, "BALANCER_DISCOVERY="+oldDiscovery.srv.Listener.Addr().String())
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	log := bufio.NewScanner(out)
	logLine := func(part string) string {
		t.Helper()
		for log.Scan() {
			if strings.Contains(log.Text(), "call failed") {
				t.Error("the change of the address was logged as a failure:", log.Text())
			}
			if strings.Contains(log.Text(), part) {
				return log.Text()
			}
		}
		t.Fatalf("the relay exited without a log line with %q", part)
		return ""
	}
	request := func() string {
		n, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		n.SetDeadline(time.Now().Add(testTimeout))
		c := &client{t, n, bufio.NewReader(n)}
		n.Write(pgwire.Startup("worker", "catalog"))
		c.readUntil('Z')
		c.send("") // an empty query is answered once the relay is ready; load balancers wait for that
		c.readUntil('I')
		c.readUntil('Z')
		c.send(selectStatement("look", 1500))
		v, _ := c.readResponse()
		return v
	}
	logLine("serving")
	if request() == "" {
		t.Error("the request before the reload failed")
	}
	truncated := configFor(newDiscovery)
	write(truncated[:len(truncated)/2])
	cmd.Process.Signal(syscall.SIGHUP)
	logLine("configuration rejected")
	if request() == "" {
		t.Error("the request after the rejected reload failed")
	}
	write(configFor(newDiscovery))
	cmd.Process.Signal(syscall.SIGHUP)
	logLine("configuration reloaded")
	for until := time.Now().Add(testTimeout); len(newEndpoint.received) == 0; {
		if request() == "" && time.Now().After(until) {
			t.Fatal("no request went to the endpoint of the new discovery")
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if s := logLine("counters"); !strings.Contains(s, "reloads=1") || !strings.Contains(s, "reloads_refused=1") {
		t.Error("unexpected counters of reloads:", s)
	}
	if err := cmd.Wait(); err != nil {
		t.Error("the relay did not exit cleanly:", err)
	}
}

// TestReloadPlatformAddress changes the platform's address while a vote at the old one has no reply yet: that vote
// still gets its reply there, and is not sent again. The watch and the next vote go to the new address.
func TestReloadPlatformAddress(t *testing.T) {
	reply := func(line string) string {
		if line == "WATCH" {
			return "OK\r\n* news 1 0 stable 1 5000\r\n"
		}
		return ""
	}
	oldPlatform, newPlatform := newFakePlatform(t, reply), newFakePlatform(t, reply)
	p := startRelay(t, newFakeDiscovery(t, newFakeEndpoint(t, always(succeed))), func(c *config.Config) {
		withPlatform(oldPlatform)(c)
		c.Site.Rollout.CallTimeout = 10 * testTimeout.Seconds()
	})
	watch := <-oldPlatform.conns
	oldPlatform.nextLine(t, "WATCH")
	vote := func() { p.loop.Platform.Vote(relay.Vote{Build: 2, Verdict: relay.VotePromote}) }
	vote()
	oldPlatform.nextLine(t, "VOTE")
	votes := <-oldPlatform.conns
	next := p.config
	next.Platform = newPlatform.ln.Addr().String()
	p.reload(next, nil, p.loop.Clock.Now())
	newPlatform.nextLine(t, "WATCH")
	waitForCounter(t, p, metrics.RolloutStatuses, 2)
	vote()
	newPlatform.nextLine(t, "VOTE")
	fmt.Fprint(votes, "OK 2 0 canary 0.5 10\r\n")
	waitForCounter(t, p, metrics.VotesCounted, 1)
	fmt.Fprint(watch, "*\r\n")
	watch.SetDeadline(time.Now().Add(testTimeout))
	if _, err := watch.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("the watch at the old address was not closed:", err)
	}
	if len(oldPlatform.lines) != 0 || p.loop.Metrics.Get(metrics.VotesMaybeCounted) != 0 {
		t.Error("the open vote was sent again or given up")
	}
}
