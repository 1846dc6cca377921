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
	plannerService     = 1 // index in the plan
)

// play starts everything, then takes the good build to its release and the bad build back.
func (d *demonstration) play(ctx context.Context, result *Result) error {
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

// releaseGoodBuild offers the good build, which waits for a build of map-data, and restarts the release controller in the
// middle of a step.
func (d *demonstration) releaseGoodBuild(ctx context.Context) error {
	d.printProgress("offering build %d of the planners, which is good; it needs map-data to be released", goodBuild)
	if err := d.offer(ctx, "planner", goodBuild); err != nil {
		return err
	}
	blocked := func(s rollout.Status) bool { return s.BlockCode == rollout.BlockedByDependency }
	if err := d.waitStatus(ctx, "planner waits", blocked); err != nil {
		return err
	}
	d.printProgress("planner waits: map-data released is needed; offering it")
	if err := d.offer(ctx, "map-data", goodBuild); err != nil {
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
	return d.waitStatus(ctx, "the release", released)
}

// restartController kills the release controller and starts it again some time later.
func (d *demonstration) restartController(ctx context.Context) error {
	d.printProgress("killing the release controller in the middle of the step, and starting it again %.0f s later", controllerDowntime.Seconds())
	d.controller.Signal(syscall.SIGKILL)
	<-d.controller.Done
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(controllerDowntime):
	}
	return d.startController()
}

// rollBackBadBuild offers the bad build and waits until the relays' votes withdrew it.
func (d *demonstration) rollBackBadBuild(ctx context.Context) error {
	d.printProgress("build %d is out; offering build %d, which fails half of its queries", goodBuild, badBuild)
	if err := d.offer(ctx, "planner", badBuild); err != nil {
		return err
	}
	withdrawn := func(s rollout.Status) bool { return s.Build == badBuild && s.Phase == "withdrawn" }
	if err := d.waitStatus(ctx, "the way back", withdrawn); err != nil {
		return err
	}
	d.printProgress("build %d went back by the relays' votes", badBuild)
	return nil
}

// offer offers a build of a service to the release controller.
func (d *demonstration) offer(ctx context.Context, service string, build relay.Build) error {
	_, err := releasecontroller.Call(ctx, d.stateDir, releasecontroller.Request{Verb: releasecontroller.VerbOffer, Service: service, Build: build,
		Actor: "demo", Reason: "a demonstration"})
	return err
}

// waitStatus polls the release controller, also while it restarts, until the planners' status is as wanted.
func (d *demonstration) waitStatus(ctx context.Context, what string, wanted func(rollout.Status) bool) error {
	for {
		reply, err := releasecontroller.Call(ctx, d.stateDir, releasecontroller.Request{Verb: releasecontroller.VerbStatus})
		if err == nil && wanted(reply.Status[plannerService]) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not come: %w", what, ctx.Err())
		case <-time.After(statusPollInterval):
		}
	}
}
