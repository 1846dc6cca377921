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

// releasePlan is the release plan that a relay follows. plan is nil if there is none.
type releasePlan struct {
	path    string // file from which the plan was read
	service string // name in the plan of the service that the relay serves
	plan    *plan.Plan
}

// relayProcess is a running relay. Its parts run on their own goroutines and post events to the loop. The loop runs on
// the goroutine of serve until stop is closed.
type relayProcess struct {
	config    config.Config // in effect; owned by the loop once that runs
	releases  releasePlan
	guard     *guard.Host // nil without a plan
	loop      *pipeline.Loop
	clients   *clients.Server
	discovery *discovery.Client
	platform  *platform.Client
	stop      chan struct{}
	end       func()                // closes stop; may be called more than once, from any goroutine
	listenErr atomic.Pointer[error] // error of the listener that stopped the relay; nil: none
}

// serve runs a relay until a signal or an error of the listener stops it. On SIGHUP it calls reload, which reads the
// configuration again. Two goroutines handle signals until the process exits.
func serve(c config.Config, reload func() (config.Config, error), releases releasePlan, log *logrus.Logger,
	counters *metrics.Counters) error {
	const maxQueuedSignals = 4
	signals := make(chan os.Signal, maxQueuedSignals)
	hangups := make(chan os.Signal, 1) // a SIGHUP that is still queued covers later ones
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
			toldAt := p.loop.Clock.Now()
			next, err := reload()
			p.reload(next, err, toldAt)
		}
	}()
	p.loop.Run(p.stop)
	_ = p.clients.Close() // after a graceful shutdown the listener is closed already; the process exits now
	log.WithFields(counters.Fields()).Info("counters")
	if err := p.listenErr.Load(); err != nil {
		return *err
	}
	return nil
}

// socketShares limits the number of sockets for each kind of connection.
type socketShares struct {
	clients   int // connections from clients
	endpoints int // connections to endpoints
	rejecting int // further connections from clients, each open only until it has been rejected
}

func divideSockets(total int) socketShares {
	spare := max(limits.MinSpareDescriptors, min(limits.MaxSpareDescriptors, int(limits.SpareDescriptorFraction*float64(total))))
	usable := total - spare
	endpoints := int(limits.EndpointDescriptorFraction * float64(usable))
	return socketShares{clients: usable - endpoints, endpoints: endpoints, rejecting: int(limits.OverflowClientFraction * float64(spare))}
}

// start creates and connects the parts and listens for clients. Events are queued until the loop runs.
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

	// The first events that the decision module gets are the cached list and the status of the current rollout.
	if known, err := reader.Parse(c.KnownList); err == nil {
		discoveryClient.UseCachedList(known)
	} else {
		log.WithField("peer", "discovery").WithError(err).Warn("no endpoint list at start")
	}
	platformClient.SetInitialStatus(c.RolloutStatus)
	discoveryClient.Start()
	platformClient.Start()
	if p.guard != nil {
		p.guard.Start()
	}
	p.clients = clients.New(loop, sockets.clients, sockets.rejecting)
	acceptFailed := func(err error) {
		p.listenErr.Store(&err)
		p.shutdownGracefully() // the connections that are open get their responses
	}
	if err := p.clients.Listen(c.Listen, acceptFailed); err != nil {
		return nil, err
	}
	log.WithFields(logrus.Fields{"name": c.Name, "listen": p.clients.Addr().String()}).Info("serving")
	return p, nil
}

// openGuard creates the guard, which keeps the relay within its release plan, if it has a plan.
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

// openPeers opens the socket for messages between relays, if the configuration has an address for it.
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

// shutdownGracefully starts a graceful shutdown of the server for clients, at whose end the loop stops.
func (p *relayProcess) shutdownGracefully() {
	p.loop.Post(pipeline.Func(func(*pipeline.Loop) { p.clients.Shutdown(p.end) }))
}

// finishShutdown ends a graceful shutdown as soon as every request that was taken has its final response.
func (p *relayProcess) finishShutdown() {
	p.loop.Post(pipeline.Func(func(*pipeline.Loop) { p.clients.FinishShutdown() }))
}

// reload applies the configuration that was read again, as the relay was told at a time: it switches to the new addresses of
// discovery and platform, and reloads the plan. Other differences are logged, as they need a restart. If err is not nil,
// nothing changes.
func (p *relayProcess) reload(next config.Config, err error, toldAt relay.Seconds) {
	if err != nil {
		p.loop.Metrics.Add(metrics.ReloadsRefused, 1)
		p.loop.Log.WithError(err).Error("configuration rejected, keeping the old one")
		return
	}
	p.reloadPlan()
	p.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		p.discovery.ChangeAddress(next.Discovery, toldAt)
		if next.Platform != "" {
			p.platform.SetAddress(next.Platform)
		}
		l.Metrics.Add(metrics.Reloads, 1)
		l.Log.WithFields(logrus.Fields{"discovery": next.Discovery, "platform": next.Platform,
			"needs_restart": p.config.NeedRestart(next)}).Info("configuration reloaded")
		p.config.Discovery, p.config.Platform = next.Discovery, next.Platform
	}))
}

// reloadPlan reads the plan again. If that fails, it logs the error and the old plan stays in effect.
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

// handleSignals starts a graceful shutdown at the first SIGTERM or interrupt, has it finish at once at the second, and logs
// the counters on SIGUSR1.
func (p *relayProcess) handleSignals(signals <-chan os.Signal) {
	shuttingDown := false
	for s := range signals {
		switch {
		case s == syscall.SIGUSR1:
			p.loop.Log.WithFields(p.loop.Metrics.Fields()).Info("counters")
		case shuttingDown:
			p.finishShutdown()
		default:
			shuttingDown = true
			p.loop.Log.WithField("signal", s.String()).Info("shutting down")
			p.shutdownGracefully()
		}
	}
}

// noPeers stands in for the peer transport where the configuration has no address for messages between relays.
type noPeers struct{ counters *metrics.Counters }

// SendMessage counts the message as dropped.
func (n noPeers) SendMessage(relay.SendMessage) { n.counters.Add(metrics.PeerMessagesDropped, 1) }
