package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/buffer"
	"lichenroad/internal/clients"
	"lichenroad/internal/config"
	"lichenroad/internal/limits"
	"lichenroad/internal/peers"
	"lichenroad/internal/platform"
	"lichenroad/internal/roster"
	"lichenroad/internal/stage"
	"lichenroad/internal/stats"
	"lichenroad/internal/units"
	"lichenroad/relay"
)

// program is a relay that runs.
type program struct {
	loop  *stage.Loop
	front *clients.Server
	stop  chan struct{}
	end   func() // at once; may be called again
	fault atomic.Pointer[error]
}

// serve runs a relay until it is told to end.
func serve(c config.Config, log *logrus.Logger, counters *stats.Counters) error {
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	debug.SetMemoryLimit(int64(limits.HeapPart * float64(c.MemoryMB<<20)))
	lib := netpoll.Config{PollerNum: limits.Pollers, LoggerOutput: log.WriterLevel(logrus.DebugLevel)}
	if err := netpoll.Configure(lib); err != nil {
		return err
	}
	p, err := start(c, log, counters)
	if err != nil {
		return err
	}
	go p.signals()
	p.loop.Run(p.stop)
	log.WithFields(counters.Fields()).Info("counters")
	if fault := p.fault.Load(); fault != nil {
		return *fault
	}
	return nil
}

// start puts the parts together and listens; what comes waits for the loop to run.
func start(c config.Config, log *logrus.Logger, counters *stats.Counters) (*program, error) {
	pool := buffer.NewPool(int64(limits.BufferPart * float64(c.MemoryMB<<20)))
	loop := stage.NewLoop(c.Site, c.Seed, pool, counters, log)
	spare := max(limits.SpareLeast, min(limits.SpareSockets, int(limits.SparePart*float64(c.Sockets))))
	sockets := c.Sockets - spare
	forUnits := int(limits.UnitPart * float64(sockets))
	legs := units.New(loop, forUnits)
	reader := roster.NewReader(c.Site.Zones, c.Site.Kinds, loop.Clock.Unix)
	asker := roster.New(loop, c.Discovery, reader, legs.Name)
	desk := platform.New(loop, c.Platform)
	loop.Units, loop.Roster, loop.Platform, loop.Peers = legs, asker, desk, noPeers{counters}
	if c.PeerListen != "" {
		tier, err := peers.Open(loop, c.PeerListen, c.Peers, c.PeersAll)
		if err != nil {
			return nil, err
		}
		loop.Peers = tier
		tier.Start()
	}

	// The module's first step sees the list as last held, then where the newest build stands.
	if known, err := reader.Parse(c.Known); err == nil {
		asker.Known(known)
	} else {
		log.WithField("peer", "roster").Warn("no list to start with")
	}
	loop.Post(stage.Call(func(l *stage.Loop) { l.Learn(c.News) }))
	asker.Start()
	desk.Start()
	front := clients.New(loop, sockets-forUnits, int(limits.OverPart*float64(spare)))
	p := &program{loop: loop, front: front, stop: make(chan struct{})}
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

// endGently goes on for a little while, closes each connection between its queries, and ends when none is
// left, or when every query must have been answered.
func (p *program) endGently() {
	longest := limits.LongestWait
	for _, t := range p.loop.Site.Settings.Categories {
		longest = max(longest, t.Patience)
	}
	p.loop.Post(stage.Call(func(l *stage.Loop) {
		p.front.Stop(p.end)
		l.At(l.Clock.Now()+longest+limits.LastWait, p.end)
	}))
}

// signals ends the program gently at the first SIGTERM or interrupt and at once at the second, and prints
// the counters on SIGUSR1.
func (p *program) signals() {
	got := make(chan os.Signal, 4)
	signal.Notify(got, syscall.SIGTERM, os.Interrupt, syscall.SIGUSR1)
	ending := false
	for s := range got {
		switch {
		case s == syscall.SIGUSR1:
			p.loop.Log.WithFields(p.loop.Stats.Fields()).Info("counters")
		case ending:
			p.end()
		default:
			ending = true
			p.loop.Log.WithField("signal", s.String()).Info("ending")
			p.endGently()
		}
	}
}

// noPeers stands in where the configuration names no address for memos.
type noPeers struct{ counters *stats.Counters }

func (n noPeers) Tell(relay.Tell) { n.counters.Add(stats.MemosDropped, 1) }
