//go:build review

// Command releases plays the relays of a release controller: "prepare" writes two plans, "vote" stands for a build until it is
// released, "watch" checks what the controller tells.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"lichenroad/lab/fakes"
	"lichenroad/review/tools/rig"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-releases prepare|vote|watch DIR BUILD")
		os.Exit(rig.CantRun)
	}
	work := map[string]func(dir, build string) error{"prepare": prepare, "vote": vote, "watch": watch}[os.Args[1]]
	if work == nil {
		os.Exit(rig.CantRun)
	}
	if err := work(os.Args[2], os.Args[3]); err != nil {
		fmt.Println(os.Args[1]+":", err)
		os.Exit(rig.Broken)
	}
}

// prepare writes plan.xml with two steps and next.xml with a third between them, and the addresses of the relays.
func prepare(dir, _ string) error {
	addresses, err := fakes.FreePorts(3)
	if err != nil {
		return err
	}
	for name, between := range map[string]string{
		"plan.xml": "",
		"next.xml": "    <step name=\"half\" share=\"0.5\" cap=\"0.5\" least=\"1s\"/>\n",
	} {
		text := fmt.Sprintf(`<?xml version="1.0" encoding="UTF-8"?>
<plan version="1">
  <site name="bole"/>
  <group name="all"><customer name="merkato-goods"/></group>
  <service name="planner" watch="%s" back-for="1s" settle="1s">
    <votes control="share" on="0.5" back="0.5" life="10s" per-second="100"/>
    <step name="pilot" share="0.1" cap="0.1" least="1s"><open site="bole" group="all"/></step>
%s    <step name="full" share="1" cap="0.8" least="1s"/>
    <relay name="n0" site="bole" listen="%s"/>
    <relay name="n1" site="bole" listen="%s"/>
  </service>
</plan>
`, addresses[0], between, addresses[1], addresses[2])
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return rig.WriteJSON(filepath.Join(dir, "relays.json"), addresses[1:])
}

type relay struct {
	net.Conn
	lines *bufio.Reader
}

// dial opens a connection for each relay of the plan.
func dial(dir string, within time.Duration) ([]relay, error) {
	text, err := os.ReadFile(filepath.Join(dir, "relays.json"))
	if err != nil {
		return nil, err
	}
	var addresses []string
	if err := json.Unmarshal(text, &addresses); err != nil {
		return nil, err
	}
	var relays []relay
	for until := time.Now().Add(within); len(relays) < len(addresses); {
		conn, err := net.DialTimeout("tcp", addresses[len(relays)], time.Second)
		if err == nil {
			relays = append(relays, relay{conn, bufio.NewReader(conn)})
			continue
		}
		if time.Now().After(until) {
			return nil, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return relays, nil
}

// call writes a line and returns the next one.
func (r relay) call(number int, line string) (string, error) {
	fmt.Printf("relay n%d: %s\n", number, line)
	if _, err := r.Write([]byte(line + "\r\n")); err != nil {
		return "", err
	}
	return r.next(number)
}

func (r relay) next(number int) (string, error) {
	if err := r.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return "", err
	}
	answer, err := r.lines.ReadString('\n')
	answer = strings.TrimRight(answer, "\r\n")
	fmt.Printf("relay n%d is told: %s\n", number, answer)
	return answer, err
}

// vote has both relays stand for the build, at the step that a watch tells, each 0.5 s until it is released.
func vote(dir, build string) error {
	relays, err := dial(dir, 5*time.Second)
	if err != nil {
		return err
	}
	watches, err := dial(dir, time.Second)
	if err != nil {
		return err
	}
	var step, phase atomic.Value
	step.Store("0")
	phase.Store("")
	go func() {
		if answer, err := watches[0].call(0, "WATCH"); err != nil || answer != "OK" {
			return
		}
		for {
			notice, err := watches[0].next(0)
			if err != nil {
				return
			}
			if words := strings.Fields(notice); len(words) >= 5 && words[2] == build {
				step.Store(words[3])
				phase.Store(words[4])
			}
		}
	}()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if phase.Load() == "stable" {
			return nil
		}
		for i, r := range relays {
			if _, err := r.call(i, "VOTE "+build+" "+step.Load().(string)+" approve"); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("build %s was not released", build)
}

// watch checks that each relay is told that the build is released.
func watch(dir, build string) error {
	relays, err := dial(dir, 8*time.Second)
	if err != nil {
		return fmt.Errorf("no release controller: %w", err)
	}
	for i, r := range relays {
		if answer, err := r.call(i, "WATCH"); err != nil || answer != "OK" {
			return fmt.Errorf("relay n%d: %q %w", i, answer, err)
		}
		answer, err := r.next(i)
		if err != nil {
			return err
		}
		if words := strings.Fields(answer); len(words) < 5 || words[2] != build || words[4] != "stable" {
			return fmt.Errorf("relay n%d is told %q in place of build %s, released", i, answer, build)
		}
	}
	return nil
}
