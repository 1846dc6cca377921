package rollout

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lichenroad/relay"
)

// Sources of the tests.
const (
	watchSource StatusSource = iota + 1
	voteSource
	laterWatchSource
)

// testInterval is the interval in seconds at which the platform of the tests repeats a status.
const testInterval = 4.0

// receivedStatus is a step of a test: a status that a StatusOrder receives, and its decision.
type receivedStatus struct {
	source StatusSource
	after  StatusVersion
	status relay.RolloutStatus
	want   StatusDecision
}

func releasedStatus(build relay.Build) relay.RolloutStatus {
	return withPhase(canaryStatus(build, 2, 1, 0), relay.PhaseReleased)
}

// rollingBack returns the status of build 3 that is rolling back.
func rollingBack(stage relay.Stage) relay.RolloutStatus {
	return withPhase(canaryStatus(3, stage, 0, 0), relay.PhaseRollingBack)
}

// TestStatusesOfConnectionsThatAreBehind guards against a status that was sent earlier than the present one, and is read later on
// another connection, that takes its place.
func TestStatusesOfConnectionsThatAreBehind(t *testing.T) {
	first, second, third := canaryStatus(3, 0, 0.1, 0), canaryStatus(3, 1, 0.4, 0), canaryStatus(3, 2, 0.8, 0)
	narrowed := canaryStatus(3, 1, 0.2, 0)
	restricted := canaryStatus(3, 1, 0.1, 0)
	for _, c := range []struct {
		name  string
		steps []receivedStatus
		want  relay.RolloutStatus
	}{
		{"the reply to a vote after a rollback", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{voteSource, 1, first, StatusApplied},
			{watchSource, 0, second, StatusApplied},
			{watchSource, 0, rollingBack(1), StatusApplied},
			{voteSource, 1, second, StatusUnordered},
			{voteSource, 1, second, StatusUnordered}, // the notice of the same
			{voteSource, 1, rollingBack(1), StatusApplied},
		}, rollingBack(1)},
		{"the reply to a vote after a rollback, which the watch did not have", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{watchSource, 0, rollingBack(1), StatusApplied},
			{voteSource, 1, second, StatusUnordered},
		}, rollingBack(1)},
		{"a notice after the reply that told a rollback", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{voteSource, 1, second, StatusApplied},
			{voteSource, 1, rollingBack(1), StatusApplied},
			{watchSource, 0, second, StatusUnordered},
			{watchSource, 0, rollingBack(1), StatusApplied},
		}, rollingBack(1)},
		{"a release that was taken back", []receivedStatus{
			{watchSource, 0, third, StatusApplied},
			{watchSource, 0, rollingBack(2), StatusApplied},
			{voteSource, 1, releasedStatus(3), StatusUnordered},
		}, rollingBack(2)},
		{"the reply to a vote on the build before", []receivedStatus{
			{watchSource, 0, rollingBack(1), StatusApplied},
			{watchSource, 0, canaryStatus(4, 0, 0.1, 0), StatusApplied},
			{voteSource, 1, rollingBack(1), StatusUnordered},
		}, canaryStatus(4, 0, 0.1, 0)},
		{"a next build that a reply tells first", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{watchSource, 0, rollingBack(0), StatusApplied},
			{voteSource, 1, canaryStatus(4, 0, 0.1, 0), StatusApplied},
			{watchSource, 0, withPhase(rollingBack(0), relay.PhaseWithdrawn), StatusUnordered},
			{watchSource, 0, canaryStatus(4, 0, 0.1, 0), StatusApplied},
		}, canaryStatus(4, 0, 0.1, 0)},
		{"a limit that was lowered within a stage", []receivedStatus{
			{watchSource, 0, second, StatusApplied},
			{watchSource, 0, narrowed, StatusApplied},
			{voteSource, 0, second, StatusUnordered},
			{voteSource, 0, narrowed, StatusApplied},
		}, narrowed},
		{"a lower limit whose order is not known", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{voteSource, 1, second, StatusApplied},
			{watchSource, 0, first, StatusRestricting},
			{voteSource, 1, second, StatusApplied}, // it may still be from before
		}, restricted},
		{"a lower limit that its source takes back", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{voteSource, 1, second, StatusApplied},
			{watchSource, 0, first, StatusRestricting},
			{watchSource, 0, second, StatusApplied},
		}, second},
		{"a lower limit, and a connection that was opened after it", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{voteSource, 1, second, StatusApplied},
			{watchSource, 0, first, StatusRestricting},
			{laterWatchSource, 3, second, StatusApplied},
		}, second},
		{"a lower limit, and a higher stage", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{voteSource, 1, second, StatusApplied},
			{watchSource, 0, first, StatusRestricting},
			{voteSource, 1, third, StatusApplied},
		}, third},
		{"a limit that is raised again after a lower one of another connection", []receivedStatus{
			{watchSource, 0, second, StatusApplied},
			{watchSource, 0, narrowed, StatusApplied},
			{voteSource, 0, canaryStatus(3, 1, 0.1, 0), StatusRestricting},
			{watchSource, 0, second, StatusUnordered},
		}, restricted},
		{"a limit that rises above that of another connection", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{watchSource, 0, canaryStatus(3, 0, 0.05, 0), StatusApplied},
			{voteSource, 1, canaryStatus(3, 0, 0.08, 0), StatusUnordered},
			{watchSource, 0, canaryStatus(3, 0, 0.2, 0), StatusUnordered},
		}, canaryStatus(3, 0, 0.05, 0)},
		{"a watch that was requested before the reply was handled", []receivedStatus{
			{watchSource, 0, second, StatusApplied},
			{watchSource, 0, narrowed, StatusApplied},
			{voteSource, 1, second, StatusUnordered},
			{voteSource, 2, second, StatusApplied}, // the reply counts as version 3
		}, second},
		{"a lower stage on one connection", []receivedStatus{
			{watchSource, 0, second, StatusApplied},
			{watchSource, 0, first, StatusApplied},
			{watchSource, 0, second, StatusApplied},
		}, second},
		{"a watch that takes the place of another", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{laterWatchSource, 1, second, StatusApplied},
			{laterWatchSource, 1, rollingBack(1), StatusApplied},
			{watchSource, 0, first, StatusUnordered},
			{watchSource, 0, second, StatusUnordered},
		}, rollingBack(1)},
		{"a call that was sent after all other statuses", []receivedStatus{
			{watchSource, 0, first, StatusApplied},
			{watchSource, 0, narrowed, StatusApplied},
			{voteSource, 2, second, StatusApplied},
			{watchSource, 0, second, StatusApplied},
		}, second},
	} {
		t.Run(c.name, func(t *testing.T) {
			order := NewStatusOrder(testInterval)
			for i, step := range c.steps {
				report := StatusReport{Source: step.source, After: step.after, Status: step.status}
				if got := order.Receive(float64(i)/1e3, report); got != step.want {
					t.Errorf("step %d, %+v of source %d: %v, want %v", i, step.status, step.source, got, step.want)
				}
			}
			if present := order.Present(1); statusesDiffer(&present, &c.want) {
				t.Errorf("present status %+v, want %+v", present, c.want)
			}
		})
	}
}

// TestStatusThatGoesBackwardIsConfirmed guards against a true status that is refused for good: a platform that goes on saying it is
// believed within three of its intervals, and not at the first time.
func TestStatusThatGoesBackwardIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		name         string
		known, later relay.RolloutStatus
		source       StatusSource // of the later status; the known one comes from watchSource
		interval     float64
		wantFirst    StatusDecision
	}{
		{"a rollback is undone", rollingBack(1), canaryStatus(3, 1, 0.4, 0), watchSource, testInterval, StatusBackward},
		{"a rollback of a release is undone", rollingBack(2), releasedStatus(3), watchSource, testInterval, StatusBackward},
		{"an earlier build", canaryStatus(4, 0, 0.1, 0), releasedStatus(3), watchSource, testInterval, StatusBackward},
		{"a higher limit of another connection", canaryStatus(3, 1, 0.1, 0), canaryStatus(3, 1, 0.4, 0), voteSource, testInterval, StatusUnordered},
		{"a lower stage of another connection", canaryStatus(3, 1, 0.4, 0), canaryStatus(3, 0, 0.1, 0), voteSource, testInterval, StatusRestricting},
		{"a long interval", rollingBack(1), canaryStatus(3, 1, 0.4, 0), watchSource, 6, StatusBackward},
		{"no interval in the settings", rollingBack(1), canaryStatus(3, 1, 0.4, 0), watchSource, 0, StatusBackward},
	} {
		t.Run(c.name, func(t *testing.T) {
			order := NewStatusOrder(c.interval)
			interval := c.interval
			if interval == 0 {
				interval = defaultStatusInterval
			}
			order.Receive(0, StatusReport{Source: watchSource, Status: c.known})
			var decisions []StatusDecision
			for i := range 4 {
				decisions = append(decisions, order.Receive(float64(i+1)*interval, StatusReport{Source: c.source, Status: c.later}))
			}
			want := []StatusDecision{c.wantFirst, c.wantFirst, StatusConfirmed, StatusApplied}
			if fmt.Sprint(decisions) != fmt.Sprint(want) {
				t.Errorf("decisions %v, want %v", decisions, want)
			}
			if present := order.Present(4 * interval); statusesDiffer(&present, &c.later) {
				t.Errorf("present status %+v, want %+v", present, c.later)
			}
		})
	}
}

// TestContradictedStatusIsNotConfirmed repeats a status that goes backward, but the platform says the present one in between.
func TestContradictedStatusIsNotConfirmed(t *testing.T) {
	order := NewStatusOrder(testInterval)
	known, backward := rollingBack(1), canaryStatus(3, 1, 0.4, 0)
	order.Receive(0, StatusReport{Source: watchSource, Status: known})
	for i := range 10 {
		now := float64(i+1) * testInterval
		if got := order.Receive(now, StatusReport{Source: watchSource, Status: backward}); got != StatusBackward {
			t.Errorf("at %.0f s: %v, want %v", now, got, StatusBackward)
		}
		order.Receive(now+1, StatusReport{Source: watchSource, Status: known})
	}
}

// TestRestrictionOfAClosedConnectionEnds guards against a lower limit of a connection that has ended, which no other status of it
// can take back, that holds for good.
func TestRestrictionOfAClosedConnectionEnds(t *testing.T) {
	order := NewStatusOrder(testInterval)
	present := canaryStatus(3, 1, 0.4, 0)
	order.Receive(0, StatusReport{Source: watchSource, Status: canaryStatus(3, 0, 0.1, 0)})
	order.Receive(0, StatusReport{Source: voteSource, After: 1, Status: present})
	order.Receive(0, StatusReport{Source: watchSource, Status: canaryStatus(3, 0, 0.1, 0)})
	order.Close(watchSource)
	var limits []float64
	for i := range 3 {
		now := float64(i) * testInterval
		order.Receive(now, StatusReport{Source: voteSource, Status: present})
		limits = append(limits, order.Present(now).ExposureLimit)
	}
	if want := []float64{0.1, 0.1, 0.4}; !slices.Equal(limits, want) {
		t.Errorf("limits %v, want %v", limits, want)
	}
}

// writtenStatus is a status that the simulated platform has written to a connection, and not been read yet.
type writtenStatus struct {
	number int // position in the platform's order of writing
	after  StatusVersion
	status relay.RolloutStatus
}

// simulatedConn is a connection between the simulated platform and a StatusOrder.
type simulatedConn struct {
	source   StatusSource
	watching bool
	after    StatusVersion // when the watch was requested
	unread   []writtenStatus
}

// simulatedPlatform writes the statuses of a rollout to several connections, which are read in any order.
type simulatedPlatform struct {
	t          *rapid.T
	order      *StatusOrder
	now        float64
	status     relay.RolloutStatus
	written    int
	conns      []*simulatedConn
	lastSource StatusSource
	limits     int // number of changes of the limit within a stage
	latestRead writtenStatus
}

// changeStatus moves the rollout on, as a platform does.
func (p *simulatedPlatform) changeStatus() {
	const lastStage = 2
	next := p.status
	switch {
	case p.status.Phase == relay.PhaseRollingBack:
		next.Phase = relay.PhaseWithdrawn
	case p.status.Phase == relay.PhaseWithdrawn:
		next = canaryStatus(p.status.Build+1, 0, 0.1, 0)
	case rapid.IntRange(0, 3).Draw(p.t, "roll back") == 0:
		next.Phase, next.ExposureLimit = relay.PhaseRollingBack, 0
	case p.status.Phase == relay.PhaseReleased:
		next = canaryStatus(p.status.Build+1, 0, 0.1, 0)
	case rapid.Bool().Draw(p.t, "limit"):
		p.limits++ // a limit that returns while a connection is behind can't be told from one that has not changed
		next.ExposureLimit = rapid.SampledFrom([]float64{0.05, 0.2, 0.6}).Draw(p.t, "new limit") + float64(p.limits)/1e6
	case p.status.Stage == lastStage:
		next.Phase, next.ExposureLimit = relay.PhaseReleased, 1
	default:
		next.Stage++
		next.ExposureLimit = []float64{0.1, 0.4, 0.8}[next.Stage]
	}
	p.status = next
}

func (p *simulatedPlatform) write(c *simulatedConn, after StatusVersion) {
	c.unread = append(c.unread, writtenStatus{number: p.written, after: after, status: p.status})
}

func (p *simulatedPlatform) notify() {
	p.written++
	for _, c := range p.conns {
		if c.watching {
			p.write(c, c.after)
		}
	}
}

func (p *simulatedPlatform) connect(watching bool) {
	p.lastSource++
	c := &simulatedConn{source: p.lastSource}
	p.conns = append(p.conns, c)
	if watching {
		p.watch(c)
	}
}

// watch has a connection request a watch, which begins with the present status.
func (p *simulatedPlatform) watch(c *simulatedConn) {
	c.watching, c.after = true, p.order.Version()
	p.written++
	p.write(c, c.after)
}

// answerVote answers a vote that is cast now.
func (p *simulatedPlatform) answerVote(c *simulatedConn) {
	p.written++
	p.write(c, p.order.Version())
}

// read reads a line of a connection, and checks that the exposure limit is not above that of the latest status that was read.
func (p *simulatedPlatform) read(c *simulatedConn) {
	line := c.unread[0]
	c.unread = c.unread[1:]
	if line.number >= p.latestRead.number {
		p.latestRead = line
	}
	p.order.Receive(p.now, StatusReport{Source: c.source, After: line.after, Status: line.status})
	present := p.order.Present(p.now)
	if present.ExposureLimit > p.latestRead.status.ExposureLimit {
		p.t.Fatalf("present status %+v, but the platform has written %+v last", present, p.latestRead.status)
	}
}

// step does one thing of what may happen at any moment.
func (p *simulatedPlatform) step() {
	c := rapid.SampledFrom(p.conns).Draw(p.t, "connection")
	switch rapid.IntRange(0, 9).Draw(p.t, "step") {
	case 0, 1:
		p.changeStatus()
	case 2, 3:
		p.notify()
	case 4:
		p.answerVote(c)
		if !c.watching && rapid.Bool().Draw(p.t, "watch") {
			p.watch(c)
		}
	case 5:
		if len(p.conns) < 4 {
			p.connect(rapid.IntRange(0, 3).Draw(p.t, "watching") > 0)
		}
	case 6:
		if len(p.conns) > 1 && c != p.conns[0] {
			p.order.Close(c.source)
			p.conns = slices.DeleteFunc(p.conns, func(other *simulatedConn) bool { return other == c })
		}
	default:
		if len(c.unread) > 0 {
			p.read(c)
		}
	}
	p.now += 0.01
}

// readAll reads what is unread, in any order of the connections.
func (p *simulatedPlatform) readAll() {
	for {
		var waiting []*simulatedConn
		for _, c := range p.conns {
			if len(c.unread) > 0 {
				waiting = append(waiting, c)
			}
		}
		if len(waiting) == 0 {
			return
		}
		p.read(rapid.SampledFrom(waiting).Draw(p.t, "unread"))
	}
}

// TestStatusOrderFollowsThePlatform plays rollouts on connections that are read in any order. The exposure limit must never be above
// that of the status that the platform wrote last, of those that were read, and in the end its status must be the present one.
func TestStatusOrderFollowsThePlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &simulatedPlatform{t: t, order: NewStatusOrder(testInterval), status: canaryStatus(1, 0, 0.1, 0)}
		p.connect(true)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			p.step()
		}
		p.readAll()
		for range 4 {
			p.now += testInterval
			p.notify()
			p.readAll()
		}
		if present := p.order.Present(p.now); statusesDiffer(&present, &p.status) {
			t.Errorf("present status %+v, the platform has %+v", present, p.status)
		}
	})
}
