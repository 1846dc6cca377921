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

// releasePlan is the plan of releases that a relay keeps to, and where it was read; plan is nil without one.
type releasePlan struct {
	path    string
	service string // of the plan, that this relay serves
	plan    *plan.Plan
}

// relayProcess is a relay that runs. Its parts run on goroutines of their own and post to the loop, which runs on the
// goroutine of serve until stop is closed.
type relayProcess struct {
	config    config.Config // in force; owned by the loop
	releases  releasePlan
	guard     *guard.Host // nil: no plan
	loop      *pipeline.Loop
	clients   *clients.Server
	discovery *discovery.Client
	platform  *platform.Client
	stop      chan struct{}
	end       func()                // closes stop; any goroutine may call it, more than once
	listenErr atomic.Pointer[error] // that ended the program; nil: none
}

// serve runs a relay until a signal ends it; reload reads the configuration again. Two more goroutines handle signals,
// until the program ends.
func serve(c config.Config, reload func() (config.Config, error), releases releasePlan, log *logrus.Logger,
	counters *metrics.Counters) error {
	const maxQueuedSignals = 4
	signals := make(chan os.Signal, maxQueuedSignals)
	hangups := make(chan os.Signal, 1) // one that finds another waiting is covered by that one
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGUSR1)
	signal.Notify(hangups, syscall.SIGHUP)
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	debug.SetMemoryLimit(int64(limits.HeapFraction * float64(c.MemoryMB<<20)))
	poller := netpoll.Config{PollerNum: limits.PollerCount, LoggerOutput: log.WriterLevel(logrus.DebugLevel)}
	if err := netpoll.Configure(poller); err != nil {
		return err
	}
	p, err := start(c, releases, log, counters)
	if err != nil {
		return err
	}
	go p.handleSignals(signals)
	go func() {
		for range hangups {
			p.reload(reload())
		}
	}()
	p.loop.Run(p.stop)
	_ = p.clients.Close() // a shutdown may have closed the listener before, and the process ends here
	log.WithFields(counters.Fields()).Info("counters")
	if err := p.listenErr.Load(); err != nil {
		return *err
	}
	return nil
}

// socketShares divides the sockets that a relay may open.
type socketShares struct {
	clients   int // connections from clients
	endpoints int // connections to endpoints
	rejecting int // connections from clients over the bound, which are rejected
}

func divideSockets(total int) socketShares {
	spare := max(limits.MinSpareDescriptors, min(limits.MaxSpareDescriptors, int(limits.SpareDescriptorFraction*float64(total))))
	usable := total - spare
	endpoints := int(limits.EndpointDescriptorFraction * float64(usable))
	return socketShares{clients: usable - endpoints, endpoints: endpoints, rejecting: int(limits.OverflowClientFraction * float64(spare))}
}

// start puts the parts together and listens; what is received waits for the loop to run.
func start(c config.Config, releases releasePlan, log *logrus.Logger, counters *metrics.Counters) (*relayProcess, error) {
	pool := buffer.NewPool(int64(limits.BufferFraction * float64(c.MemoryMB<<20)))
	loop := pipeline.NewLoop(c.Site, c.Seed, pool, counters, log)
	sockets := divideSockets(c.Sockets)
	endpoints := upstream.New(loop, sockets.endpoints)
	reader := discovery.NewReader(c.Site.Zones, c.Site.MachineTypes, loop.Clock.Unix)
	discoveryClient := discovery.New(loop, c.Discovery, reader, endpoints, c.Seed)
	platformClient := platform.New(loop, c.Platform)
	loop.Upstream, loop.Discovery, loop.Platform, loop.Peers = endpoints, discoveryClient, platformClient, noPeers{counters}
	p := &relayProcess{config: c, releases: releases, loop: loop, discovery: discoveryClient, platform: platformClient, stop: make(chan struct{})}
	p.end = sync.OnceFunc(func() { close(p.stop) })
	if err := p.openGuard(); err != nil {
		return nil, err
	}
	if err := p.openPeers(); err != nil {
		return nil, err
	}

	// The module's first step sees the cached list, then the status of the newest build.
	if known, err := reader.Parse(c.KnownList); err == nil {
		discoveryClient.UseKnownList(known)
	} else {
		log.WithField("peer", "discovery").WithError(err).Warn("no endpoint list at start")
	}
	loop.Post(pipeline.Func(func(l *pipeline.Loop) { l.RolloutStatusReceived(c.RolloutStatus) }))
	discoveryClient.Start()
	platformClient.Start()
	if p.guard != nil {
		p.guard.Start()
	}
	p.clients = clients.New(loop, sockets.clients, sockets.rejecting)
	acceptFailed := func(err error) {
		p.listenErr.Store(&err)
		p.end()
	}
	if err := p.clients.Listen(c.Listen, acceptFailed); err != nil {
		return nil, err
	}
	log.WithFields(logrus.Fields{"name": c.Name, "listen": p.clients.Addr().String()}).Info("serving")
	return p, nil
}

// openGuard makes the guard that holds the relay to its plan, if it has one.
func (p *relayProcess) openGuard() error {
	if p.releases.plan == nil {
		return nil
	}
	host, err := guard.New(p.loop, p.releases.plan, p.releases.service, p.platform, nil)
	if err != nil {
		return err
	}
	p.guard = host
	p.loop.Guard = host
	return nil
}

// openPeers opens the socket for messages between relays, if the configuration names one.
func (p *relayProcess) openPeers() error {
	if p.config.PeerListen == "" {
		return nil
	}
	transport, err := peers.Open(p.loop, p.config.PeerListen, p.config.Peers, p.config.PeersAll)
	if err != nil {
		return err
	}
	p.loop.Peers = transport
	transport.Membership = p.discovery
	transport.Start()
	return nil
}

// shutdownGracefully keeps serving for a little while, closes each connection between its requests, and ends when none is
// left, or when every request must have been answered.
func (p *relayProcess) shutdownGracefully() {
	maxWait := max(limits.PlatformMaxDeadline, p.loop.Site.MaxDeadline())
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		p.clients.Shutdown(p.end)
		l.RunAt(l.Clock.Now()+maxWait+limits.ForcedShutdownDelay, p.end)
	}))
}

// reload puts the next configuration in place of the one in force: discovery and platform are called at the addresses
// that it names. One that can't be read changes nothing.
func (p *relayProcess) reload(next config.Config, err error) {
	if err != nil {
		p.loop.Metrics.Add(metrics.ReloadsRefused, 1)
		p.loop.Log.WithError(err).Error("configuration rejected, keeping the old one")
		return
	}
	p.reloadPlan()
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		p.discovery.ChangeAddress(next.Discovery)
		if next.Platform != "" {
			p.platform.SetAddress(next.Platform)
		}
		l.Metrics.Add(metrics.Reloads, 1)
		l.Log.WithFields(logrus.Fields{"discovery": next.Discovery, "platform": next.Platform,
			"needs_restart": p.config.NeedRestart(next)}).Info("configuration reloaded")
		p.config.Discovery, p.config.Platform = next.Discovery, next.Platform
	}))
}

// reloadPlan reads the plan again. One with an error changes nothing and is logged.
func (p *relayProcess) reloadPlan() {
	if p.guard == nil {
		return
	}
	next, err := planxml.Load(p.releases.path)
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		if err == nil {
			err = p.guard.Replan(next)
		}
		if err != nil {
			l.Metrics.Add(metrics.ReloadsRefused, 1)
			l.Log.WithField("error", strings.ReplaceAll(err.Error(), "\n", "; ")).Error("plan rejected, keeping the old one")
			return
		}
		l.Log.WithField("plan", p.releases.path).Info("plan reloaded")
	}))
}

// handleSignals shuts the program down gracefully at the first SIGTERM or interrupt and at once at the second, and logs
// the counters on SIGUSR1.
func (p *relayProcess) handleSignals(signals <-chan os.Signal) {
	ending := false
	for s := range signals {
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

// noPeers takes the place of peers where the configuration names no address for messages.
type noPeers struct{ counters *metrics.Counters }

// SendMessage drops the message and counts it.
func (n noPeers) SendMessage(relay.SendMessage) { n.counters.Add(metrics.PeerMessagesDropped, 1) }
