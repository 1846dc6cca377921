package demo

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"lichenroad/internal/releasecontroller"
	"lichenroad/relay"
	"lichenroad/rollout"
)

const (
	controllerDowntime = 2 * time.Second
	statusPollInterval = 100 * time.Millisecond
	plannerService     = 1 // index of the service planner in the plan
)

// runScenario starts all processes and goroutines, offers the good build and waits until it is released, then offers the
// bad build and waits until it is withdrawn. The result records which of these happened.
func (d *demonstration) runScenario(ctx context.Context, result *Result) error {
	listen, err := d.startAll()
	if err != nil {
		return err
	}
	scenario, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		d.background.Wait()
	}()
	for number, address := range listen.relays {
		d.startClients(scenario, number, address)
	}
	d.background.Go(func() { d.runDeployer(scenario) })
	if err := d.releaseGoodBuild(ctx); err != nil {
		return err
	}
	result.Released = true
	if err := d.rollBackBadBuild(ctx); err != nil {
		return err
	}
	result.RolledBack = true
	return nil
}

// releaseGoodBuild offers the good build of the service planner, and a build of map-data once planner waits for that service.
// It restarts the release controller during the second step of planner, and waits until the build is released.
func (d *demonstration) releaseGoodBuild(ctx context.Context) error {
	d.printProgress("offering build %d of planner, which is good and requires that map-data is released", goodBuild)
	if err := d.offerBuild(ctx, "planner", goodBuild); err != nil {
		return err
	}
	blocked := func(s rollout.Status) bool { return s.BlockCode == rollout.BlockedByDependency }
	if err := d.waitStatus(ctx, "the wait for map-data", blocked); err != nil {
		return err
	}
	d.printProgress("planner waits until map-data is released; offering map-data")
	if err := d.offerBuild(ctx, "map-data", goodBuild); err != nil {
		return err
	}
	inSecondStep := func(s rollout.Status) bool { return s.Step == "all" }
	if err := d.waitStatus(ctx, "the second step", inSecondStep); err != nil {
		return err
	}
	if err := d.restartController(ctx); err != nil {
		return err
	}
	released := func(s rollout.Status) bool { return s.Build == goodBuild && s.Phase == "released" }
	return d.waitStatus(ctx, "the release of the good build", released)
}

// restartController kills the release controller and starts it again after controllerDowntime.
func (d *demonstration) restartController(ctx context.Context) error {
	d.printProgress("killing the release controller during the step and restarting it %.0f s later", controllerDowntime.Seconds())
	d.controller.Signal(syscall.SIGKILL)
	<-d.controller.Done
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(controllerDowntime):
	}
	return d.startController()
}

// rollBackBadBuild offers the bad build and waits until the relays' votes have rolled it back and it is withdrawn.
func (d *demonstration) rollBackBadBuild(ctx context.Context) error {
	d.printProgress("build %d is released; offering build %d, which fails half of its requests", goodBuild, badBuild)
	if err := d.offerBuild(ctx, "planner", badBuild); err != nil {
		return err
	}
	withdrawn := func(s rollout.Status) bool { return s.Build == badBuild && s.Phase == "withdrawn" }
	if err := d.waitStatus(ctx, "the withdrawal of the bad build", withdrawn); err != nil {
		return err
	}
	d.printProgress("build %d was rolled back by the relays' votes", badBuild)
	return nil
}

// offerBuild asks the release controller to roll out a build of a service.
func (d *demonstration) offerBuild(ctx context.Context, service string, build relay.Build) error {
	_, err := releasecontroller.Call(ctx, d.stateDir, releasecontroller.Request{Verb: releasecontroller.VerbOffer, Service: service, Build: build,
		Actor: "demo", Reason: "a demonstration"})
	return err
}

// waitStatus polls the release controller until the status of the service planner is as wanted. Errors are ignored, as the
// release controller may be restarting.
func (d *demonstration) waitStatus(ctx context.Context, what string, wanted func(rollout.Status) bool) error {
	for {
		reply, err := releasecontroller.Call(ctx, d.stateDir, releasecontroller.Request{Verb: releasecontroller.VerbStatus})
		if err == nil && wanted(reply.Status[plannerService]) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		case <-time.After(statusPollInterval):
		}
	}
}
