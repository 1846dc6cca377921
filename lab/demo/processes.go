package demo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"lichenroad/internal/planxml"
	"lichenroad/internal/releasecontroller"
	"lichenroad/lab/fakes"
)

const (
	dirPermissions         = 0o755
	filePermissions        = 0o644
	controllerPollInterval = 20 * time.Millisecond
)

var errControllerEnded = errors.New("the release controller ended before it answered")

// startProcess starts the lichenroad executable. Each line of its standard output is passed to onLine, unless that is nil.
func (d *demonstration) startProcess(onLine func(string), arguments ...string) (*fakes.Process, error) {
	process, err := fakes.StartProcess(d.options.Executable, d.options.Dir, onLine, arguments...)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.processes = append(d.processes, process)
	d.mu.Unlock()
	return process, nil
}

// stopProcesses kills all processes, waits until they have ended, and closes discovery.
func (d *demonstration) stopProcesses() {
	d.mu.Lock()
	processes := d.processes
	d.mu.Unlock()
	for _, process := range processes {
		process.Signal(syscall.SIGKILL)
	}
	for _, process := range processes {
		<-process.Done
	}
	if d.discovery != nil {
		d.discovery.Close()
	}
}

// startAll writes the plan and starts discovery, the planners of the first build, the release controller and the relays, in
// this order.
func (d *demonstration) startAll() (addresses, error) {
	if err := os.MkdirAll(d.options.Dir, dirPermissions); err != nil {
		return addresses{}, err
	}
	free, err := fakes.FreePorts(addressCount)
	if err != nil {
		return addresses{}, err
	}
	listen := splitAddresses(free)
	if err := d.writePlan(listen); err != nil {
		return addresses{}, err
	}
	if d.discovery, err = fakes.NewDiscovery(); err != nil {
		return addresses{}, err
	}
	d.printProgress("starting %d planners of build %d, a release controller and %d relays", len(sites)*plannersPerSite, firstBuild, relayCount)
	if err := d.startFirstPlanners(); err != nil {
		return addresses{}, err
	}
	if err := d.startController(); err != nil {
		return addresses{}, err
	}
	return listen, d.startRelays(listen)
}

// writePlan writes the plan to a file, and loads it to fail early if the processes could not.
func (d *demonstration) writePlan(listen addresses) error {
	d.watchAddress = listen.plannerWatch
	d.stateDir = filepath.Join(d.options.Dir, "desk")
	d.planFile = filepath.Join(d.options.Dir, "plan.xml")
	if err := os.WriteFile(d.planFile, []byte(planText(listen)), filePermissions); err != nil {
		return err
	}
	_, err := planxml.Load(d.planFile)
	return err
}

func (d *demonstration) startFirstPlanners() error {
	for _, site := range sites {
		for range plannersPerSite {
			if err := d.startPlanner(firstBuild, site); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *demonstration) startRelays(listen addresses) error {
	for number := range relayCount {
		file := filepath.Join(d.options.Dir, relayName(number)+".json")
		if err := d.relayConfiguration(number, listen).Write(file); err != nil {
			return err
		}
		process, err := d.startProcess(nil, "serve", "--config", file, "--plan", d.planFile, "--service", "planner")
		if err != nil {
			return err
		}
		if err := fakes.WaitListening(listen.relays[number], process); err != nil {
			return fmt.Errorf("relay %s: %w", relayName(number), err)
		}
	}
	return nil
}

// startController starts the release controller with the demonstration's state directory and waits until it answers requests.
func (d *demonstration) startController() error {
	process, err := d.startProcess(nil, "controller", "run", "--plan", d.planFile, "--state", d.stateDir)
	if err != nil {
		return err
	}
	d.controller = process
	if err := fakes.WaitListening(d.watchAddress, process); err != nil {
		return fmt.Errorf("release controller: %w", err)
	}
	for { // Call needs the control file, which the release controller writes only after it has begun to listen
		_, err := releasecontroller.Call(context.Background(), d.stateDir, releasecontroller.Request{Verb: releasecontroller.VerbStatus})
		if err == nil {
			return nil
		}
		select {
		case <-process.Done:
			return errControllerEnded
		case <-time.After(controllerPollInterval):
		}
	}
}
