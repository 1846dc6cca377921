package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/clients"
	"lichenroad/internal/config"
	"lichenroad/internal/discovery"
	"lichenroad/internal/guard"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/peers"
	"lichenroad/internal/pipeline"
	"lichenroad/internal/planxml"
	"lichenroad/internal/platform"
	"lichenroad/internal/upstream"
	"lichenroad/plan"
	"lichenroad/relay"
)

// guarded names the plan of releases that a relay keeps to; none where now is nil.
type guarded struct {
	plan, service string
	now           *plan.Plan
}

// program is a relay that runs.
type program struct {
	config config.Config // of the loop: what holds now
	plan   guarded
	guard  *guard.Host // nil: no plan
	loop   *pipeline.Loop
	front  *clients.Server
	asker  *discovery.Client
	desk   *platform.Client
	stop   chan struct{}
	end    func() // at once; may be called again
	fault  atomic.Pointer[error]
}

// serve runs a relay until it is told to end; load reads the configuration again.
func serve(c config.Config, load func() (config.Config, error), g guarded, log *logrus.Logger, counters *metrics.Counters) error {
	got, hups := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(got, syscall.SIGTERM, os.Interrupt, syscall.SIGUSR1)
	signal.Notify(hups, syscall.SIGHUP) // one that finds another waiting is covered by that one
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	debug.SetMemoryLimit(int64(limits.HeapFraction * float64(c.MemoryMB<<20)))
	lib := netpoll.Config{PollerNum: limits.PollerCount, LoggerOutput: log.WriterLevel(logrus.DebugLevel)}
	if err := netpoll.Configure(lib); err != nil {
		return err
	}
	p, err := start(c, g, log, counters)
	if err != nil {
		return err
	}
	go p.signals(got)
	go func() {
		for range hups {
			p.reload(load())
		}
	}()
	p.loop.Run(p.stop)
	p.front.Close()
	log.WithFields(counters.Fields()).Info("counters")
	if fault := p.fault.Load(); fault != nil {
		return *fault
	}
	return nil
}

// start puts the parts together and listens; what comes waits for the loop to run.
func start(c config.Config, g guarded, log *logrus.Logger, counters *metrics.Counters) (*program, error) {
	pool := buffer.NewPool(int64(limits.BufferFraction * float64(c.MemoryMB<<20)))
	loop := pipeline.NewLoop(c.Site, c.Seed, pool, counters, log)
	spare := max(limits.MinSpareDescriptors, min(limits.MaxSpareDescriptors, int(limits.SpareDescriptorFraction*float64(c.Sockets))))
	sockets := c.Sockets - spare
	forUnits := int(limits.EndpointDescriptorFraction * float64(sockets))
	legs := upstream.New(loop, forUnits)
	reader := discovery.NewReader(c.Site.Zones, c.Site.MachineTypes, loop.Clock.Unix)
	asker := discovery.New(loop, c.Discovery, reader, legs, c.Seed)
	desk := platform.New(loop, c.Platform)
	loop.Upstream, loop.Discovery, loop.Platform, loop.Peers = legs, asker, desk, noPeers{counters}
	var host *guard.Host
	if g.now != nil {
		var err error
		if host, err = guard.New(loop, g.now, g.service, desk, nil); err != nil {
			return nil, err
		}
		loop.Guard = host
	}
	if c.PeerListen != "" {
		tier, err := peers.Open(loop, c.PeerListen, c.Peers, c.PeersAll)
		if err != nil {
			return nil, err
		}
		loop.Peers = tier
		tier.Membership = asker
		tier.Start()
	}

	// The module's first step sees the list as last held, then where the newest build stands.
	if known, err := reader.Parse(c.KnownList); err == nil {
		asker.UseKnownList(known)
	} else {
		log.WithField("peer", "discovery").WithError(err).Warn("no endpoint list at start")
	}
	loop.Post(pipeline.Func(func(l *pipeline.Loop) { l.RolloutStatusReceived(c.RolloutStatus) }))
	asker.Start()
	desk.Start()
	if host != nil {
		host.Start()
	}
	front := clients.New(loop, sockets-forUnits, int(limits.OverflowClientFraction*float64(spare)))
	p := &program{config: c, plan: g, guard: host, loop: loop, front: front, asker: asker, desk: desk, stop: make(chan struct{})}
	p.end = sync.OnceFunc(func() { close(p.stop) })
	failed := func(err error) {
		p.fault.Store(&err)
		p.end()
	}
	if err := front.Listen(c.Listen, failed); err != nil {
		return nil, err
	}
	log.WithFields(logrus.Fields{"name": c.Name, "listen": front.Addr().String()}).Info("serving")
	return p, nil
}

// shutdownGracefully goes on for a little while, closes each connection between its queries, and ends when none is
// left, or when every query must have been answered.
func (p *program) shutdownGracefully() {
	longest := max(limits.PlatformMaxDeadline, p.loop.Site.MaxDeadline())
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		p.front.Shutdown(p.end)
		l.RunAt(l.Clock.Now()+longest+limits.ForcedShutdownDelay, p.end)
	}))
}

// reload puts the next configuration in the place of the one that holds: discovery and platform are asked at
// the addresses that it names. One that can't be read leaves everything as it is.
func (p *program) reload(next config.Config, err error) {
	if err != nil {
		p.loop.Metrics.Add(metrics.ReloadsRefused, 1)
		p.loop.Log.WithError(err).Error("configuration rejected, keeping the old one")
		return
	}
	p.replan()
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		p.asker.ChangeAddress(next.Discovery)
		if next.Platform != "" {
			p.desk.SetAddress(next.Platform)
		}
		l.Metrics.Add(metrics.Reloads, 1)
		l.Log.WithFields(logrus.Fields{"discovery": next.Discovery, "platform": next.Platform,
			"needs_restart": p.config.NeedRestart(next)}).Info("configuration reloaded")
		p.config.Discovery, p.config.Platform = next.Discovery, next.Platform
	}))
}

// replan reads the plan again. One with a fault leaves the old one as it is, with one line.
func (p *program) replan() {
	if p.guard == nil {
		return
	}
	next, err := planxml.Load(p.plan.plan)
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		if err == nil {
			err = p.guard.Replan(next)
		}
		if err != nil {
			l.Metrics.Add(metrics.ReloadsRefused, 1)
			l.Log.WithField("error", strings.ReplaceAll(err.Error(), "\n", "; ")).Error("plan rejected, keeping the old one")
			return
		}
		l.Log.WithField("plan", p.plan.plan).Info("plan reloaded")
	}))
}

// signals ends the program gently at the first SIGTERM or interrupt and at once at the second, and prints
// the counters on SIGUSR1.
func (p *program) signals(got <-chan os.Signal) {
	ending := false
	for s := range got {
		switch {
		case s == syscall.SIGUSR1:
			p.loop.Log.WithFields(p.loop.Metrics.Fields()).Info("counters")
		case ending:
			p.end()
		default:
			ending = true
			p.loop.Log.WithField("signal", s.String()).Info("shutting down")
			p.shutdownGracefully()
		}
	}
}

// noPeers stands in where the configuration names no address for messages.
type noPeers struct{ counters *metrics.Counters }

func (n noPeers) SendMessage(relay.SendMessage) { n.counters.Add(metrics.PeerMessagesDropped, 1) }
